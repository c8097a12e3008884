/**
 * Classifies the results of probes that an entry and others made: whether the entry is cut off from all upstreams.
 */

/** Results of probes of the same upstreams. */
export interface ReachEvidence {
    /** Upstreams to which the entry connected. */
    readonly reached: number;
    /** Upstreams to which it could not connect. */
    readonly failed: number;
    /** Other entries that answered. */
    readonly others: number;
    /** The largest number of upstreams that one of them reached. */
    readonly reachedByOthers: number;
}

/** What the probes show. */
export type ReachVerdict =
    /** The entry reaches upstreams itself. */
    | "reachable"
    /** It reaches none, and others do. */
    | "cut-off"
    /** Nobody reaches them. */
    | "upstreams-down"
    /** No other entry could be asked. */
    | "undetermined";

/**
 * Classifies the results of probes.
 * @param evidence - the results
 * @returns the verdict
 */
export function classifyReach({ reached, failed, others, reachedByOthers }: ReachEvidence): ReachVerdict {
    if (reached > 0) {
        return "reachable";
    }
    if (failed === 0 || others === 0) {
        return "undetermined";
    }
    return reachedByOthers > 0 ? "cut-off" : "upstreams-down";
}
