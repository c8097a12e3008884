/**
 * Quarantine of prompt segments that crash upstreams. Prompts share segments, so that a crash speaks against those of all
 * prompts that ran on the upstream; one that crashes every upstream is in each crash, and no prompt with it completes.
 */
import * as z from "zod";

/** Crashes under prompts with one segment. */
export const segmentRecordSchema = z.object({
    segment: z.string(),
    /** Incarnations of upstreams that crashed since a prompt with the segment last completed. */
    upstreams: z.array(z.string()),
    /** Crashes of upstreams that had hardly begun to answer, since one answered for some time; simultaneous ones count once. */
    early: z.int().nonnegative(),
    /** The same for crashes of upstreams that had answered for some time. */
    late: z.int().nonnegative(),
    /** Number of trial sends permitted while the segment was quarantined. */
    trials: z.int().nonnegative(),
    /** Unix time of the latest counted crash, by the clock of the leader at that time. */
    changed_at_ms: z.number(),
});

/** Status of a segment, as sent to entries. */
export const segmentStatusSchema = z.object({
    segment: z.string(),
    /** See {@link computeSegmentScore}. */
    score: z.number().nonnegative(),
    /**
     * Only for a quarantined segment: the number of its group, whose segments were in the same crashes, and the size of the
     * group. A prompt that lacks one of them may be sent as a trial.
     */
    quarantine: z.object({ group: z.int().nonnegative(), size: z.int().positive() }).optional(),
    trials: z.int().nonnegative(),
});

/** Crashes under prompts with one segment. */
export type SegmentRecord = z.infer<typeof segmentRecordSchema>;
/** Status of a segment, as sent to entries. */
export type SegmentStatus = z.infer<typeof segmentStatusSchema>;

/** Score at which a segment is quarantined; the contract with upstreams allows at most three sends after the fifth crash. */
export const SEGMENT_SCORE_LIMIT = 5;
/**
 * Score from which on the leader must agree to each prompt with the segment. An engine failure by itself speaks against all
 * segments that ran there, and must not hold up their prompts.
 */
export const SUSPECTED_SEGMENT_SCORE = 2;
/** Score from which on the leader agrees to one prompt with the segment at a time. */
export const EXCLUSIVE_SEGMENT_SCORE = 3;
/** Weight of a crash of an upstream that had answered a prompt for some time, relative to an early one. */
const LATE_CRASH_WEIGHT = 0.5;
/** Crashes within this time count as one: a power loss breaks off all prompts with a segment at once. */
export const SIMULTANEOUS_CRASHES_MS = 30;
/** Trial sends for each segment; the third send that the contract allows is reserved for a send already in flight. */
export const MAX_SEGMENT_TRIALS = 2;

/** Time from the last crash to the first trial of a quarantined segment; the second one follows after several times as long. */
const SEGMENT_TRIAL_DELAY_MS = 10_000;
const SEGMENT_TRIAL_DELAY_FACTOR = 6;

/**
 * Checks whether a prompt with a quarantined segment may be sent to find out whether it still crashes upstreams. Nothing else
 * would clear a segment that is in all prompts of a service.
 * @param record - crashes of the segment
 * @param nowMs - Unix time, in milliseconds
 * @returns true once the segment has caused no crash for some time, while a trial is left
 */
export function isSegmentTrialDue(
    { trials, changed_at_ms }: Pick<SegmentRecord, "trials" | "changed_at_ms">,
    nowMs: number,
): boolean {
    return trials < MAX_SEGMENT_TRIALS
        && nowMs - changed_at_ms >= SEGMENT_TRIAL_DELAY_MS * SEGMENT_TRIAL_DELAY_FACTOR ** trials;
}

/** Crashes that a segment was in. */
export type SegmentCrashCounts = Pick<SegmentRecord, "early" | "late">;

/**
 * Counts a crash. A segment crashes its upstreams when they begin to answer, while failures for other reasons come at any
 * time; so a late crash shows that the upstream had survived the beginning.
 * @param counts - crashes so far
 * @param isLate - whether the upstream had answered the prompt for some time
 * @returns crashes including this one
 */
export function addSegmentCrash({ early, late }: SegmentCrashCounts, isLate: boolean): SegmentCrashCounts {
    return isLate ? { early: 0, late: late + 1 } : { early: early + 1, late };
}

/**
 * Computes how strongly crashes speak against a segment.
 * @param counts - crashes that it was in
 * @returns the number of early crashes, or of late ones by their weight
 */
export function computeSegmentScore({ early, late }: SegmentCrashCounts): number {
    return Math.max(early, late * LATE_CRASH_WEIGHT);
}

const KEY_PREFIX = "segment:";

/**
 * Formats the key under which a segment is reported, released and granted beside the fingerprints of requests.
 * @param segment - id of the segment
 * @returns the key, which no fingerprint equals
 */
export function formatSegmentKey(segment: string): string {
    return `${KEY_PREFIX}${segment}`;
}

/**
 * Parses the key of a segment.
 * @param key - key of a segment, or fingerprint of a request
 * @returns id of the segment; undefined for a fingerprint
 */
export function parseSegmentKey(key: string): string | undefined {
    return key.startsWith(KEY_PREFIX) ? key.slice(KEY_PREFIX.length) : undefined;
}

/**
 * Decides whether a prompt is quarantined because of its segments.
 * @param segments - shared segments of the prompt
 * @param getStatus - status of a segment; undefined if it is not suspected
 * @param isCleared - whether a prompt with the segment has just completed, so that it is no reason; never by default
 * @returns the segment that quarantines it; undefined if none does, or if it may be sent as a trial
 */
export function findQuarantiningSegment(
    segments: readonly string[],
    getStatus: (segment: string) => SegmentStatus | undefined,
    isCleared: (segment: string) => boolean = () => false,
): string | undefined {
    const counts = new Map<number, number>();
    segments.forEach((segment) => {
        const group = getStatus(segment)?.quarantine?.group;
        if (group !== undefined) {
            counts.set(group, (counts.get(group) ?? 0) + 1);
        }
    });
    return segments.find((segment) => {
        const status = getStatus(segment);
        return status?.quarantine !== undefined && !isCleared(segment)
            && (status.trials >= MAX_SEGMENT_TRIALS || counts.get(status.quarantine.group) === status.quarantine.size);
    });
}
