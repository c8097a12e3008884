/**
 * Finds the prompt segments that explain crashes of upstreams. Sound segments are in some of the crashes as well, since they are
 * in prompts that ran beside a crashing one, or that hold its segment, too.
 */
import { computeSegmentScore, type SegmentRecord } from "@crankfork/schemas";

/**
 * Finds the fewest segments that explain the crashes, by the greedy approximation of a set cover: the segment with the most
 * crashes first, then others by the crashes that it does not explain.
 * @param records - crashes by segment
 * @param minScore - least score of a segment, and least number of crashes that it must explain
 * @returns groups of segments that were in the same crashes, which do not distinguish them
 */
export function findCrashingSegments(
    records: readonly SegmentRecord[],
    minScore: number,
): readonly (readonly string[])[] {
    const explained = new Set<string>();
    const groups: (readonly string[])[] = [];
    let candidates = records.filter((record) => computeSegmentScore(record) >= minScore);
    for (;;) {
        const open = candidates.map(({ segment, upstreams }) => ({
            segment,
            upstreams: upstreams.filter((upstream) => !explained.has(upstream)),
        }));
        const first = open.reduce<(typeof open)[number] | undefined>(
            (best, one) => best === undefined || one.upstreams.length > best.upstreams.length ? one : best,
            undefined,
        );
        if (first === undefined || first.upstreams.length < minScore) {
            return groups;
        }
        first.upstreams.forEach((upstream) => explained.add(upstream));
        const group = open.filter(({ upstreams }) =>
            upstreams.length === first.upstreams.length && upstreams.every((upstream) => explained.has(upstream))
        ).map(({ segment }) => segment);
        groups.push(group);
        candidates = candidates.filter(({ segment }) => !group.includes(segment));
    }
}
