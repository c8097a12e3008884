/**
 * Incarnations of upstreams. An incarnation is identified by the name under which the upstream registers and its start time.
 * A restarted upstream may register under the same name; it keeps no state of the earlier incarnation.
 */
import * as z from "zod";

/** An incarnation in the log and in messages. */
export const upstreamIncarnationSchema = z.object({
    /** Name under which the upstream registers. */
    name: z.string(),
    /** Unix time of the start, in milliseconds; absent if the upstream does not report it. */
    started_at_ms: z.int().nonnegative().optional(),
});

/** One incarnation of an upstream. */
export type UpstreamIncarnation = z.infer<typeof upstreamIncarnationSchema>;

/**
 * Formats an incarnation as an id. State is stored under this id, so that incarnations of the same name share none.
 * @param incarnation - name and start time
 * @returns name and start time, or the name alone if the start time is unknown
 */
export function formatIncarnationId({ name, started_at_ms }: UpstreamIncarnation): string {
    return started_at_ms === undefined ? name : `${name}@${String(started_at_ms)}`;
}

/**
 * Checks whether an incarnation was superseded by another one of the same name.
 * @param incarnation - incarnation to check
 * @param other - another incarnation of the same name
 * @returns true if the other one started later; an unknown start time sorts before all known ones
 */
export function isEarlierIncarnation(incarnation: UpstreamIncarnation, other: UpstreamIncarnation): boolean {
    return (incarnation.started_at_ms ?? UNKNOWN_START) < (other.started_at_ms ?? UNKNOWN_START);
}

/**
 * Checks whether a reported start time is consistent with an incarnation.
 * @param incarnation - expected incarnation
 * @param startedAtMs - reported start time; undefined if none was reported
 * @returns true if the start times are equal, or if that of the incarnation is unknown
 */
export function matchesStart(incarnation: UpstreamIncarnation, startedAtMs: number | undefined): boolean {
    return incarnation.started_at_ms === undefined || incarnation.started_at_ms === startedAtMs;
}

/**
 * Gets the incarnation of an upstream.
 * @param upstream - facts of the upstream; records written by versions without incarnations have only an id
 * @returns the incarnation
 */
export function getIncarnation(
    { id, life }: { readonly id: string; readonly life?: UpstreamIncarnation | undefined; },
): UpstreamIncarnation {
    return life ?? { name: id };
}

/** Sorts before every known start time. */
const UNKNOWN_START = -1;
