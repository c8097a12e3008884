/**
 * Classifies a caller that comes back after a refusal.
 *
 * Load pattern: some refused callers come back at once, whatever `Retry-After` says. If they went before new requests,
 * coming back early would pay, and the callers that honour it would lose their places to them.
 */

/** Shortest `Retry-After` that a refusal of a ranked service gives, in milliseconds. */
export const SHORTEST_RETURN_MS = 500;

/** Standing of a caller in the queue. */
export type ReturnStanding =
    /** Not a returning caller. */
    | "first"
    /** Came back after at least the shortest time that is given. */
    | "returned"
    /** Came back sooner; treated as new. */
    | "early";

/** What a request shows of an earlier attempt. */
export interface ReturnView {
    /** Whether it states less time than a first attempt does. */
    readonly isLikelyRetry: boolean;
    /** The route's time-out, with which a first attempt starts, in milliseconds. */
    readonly timeoutMs: number;
    /** Deadline that the request states, in milliseconds; undefined without one. */
    readonly deadlineMs: number | undefined;
}

/**
 * Classifies a caller. It states its first deadline less the time since, so that time can be computed without state.
 * @param view - its deadline
 * @returns its standing
 */
export function classifyReturn({ isLikelyRetry, timeoutMs, deadlineMs = timeoutMs }: ReturnView): ReturnStanding {
    if (!isLikelyRetry) {
        return "first";
    }
    return timeoutMs - deadlineMs >= SHORTEST_RETURN_MS ? "returned" : "early";
}
