/**
 * When callers come back to upstreams that rest.
 *
 * Load pattern: all upstreams of a service rest, and every caller is refused. The end of the first rest is known; told to all of
 * them alike, they would all come in one moment, and the upstreams would ask for rest again. So the times are handed out one
 * after another, as fast as the upstreams that return take requests.
 */

/** Times behind the end of a rest that are handed out; who comes later starts from the end again. */
const MOST_SPREAD_MS = 2_000;

/** Hands out times for one service. */
export class RetryAfterSpreader {
    private offsetMs = 0;
    private endMs = Number.NEGATIVE_INFINITY;

    /**
     * Takes the next time.
     * @param endMs - end of the first rest, on the monotonic clock
     * @param gapMs - between two requests that the service takes from this instance once it is back
     * @returns when to come back, on the monotonic clock; never before the end
     */
    assignRetryTime(endMs: number, gapMs: number): number {
        const isLater = endMs > this.endMs + MOST_SPREAD_MS;
        this.offsetMs = isLater ? 0 : (this.offsetMs + gapMs) % MOST_SPREAD_MS;
        this.endMs = isLater ? endMs : Math.max(this.endMs, endMs);
        return endMs + this.offsetMs;
    }
}

/** What a service that returns takes. */
export interface RecoveryCapacity {
    /** Requests that its upstreams work on at a time, all of them together. */
    readonly slots: number;
    readonly answerMs: number;
    /** Entries that send to it. */
    readonly entries: number;
    /** Requests a second that each upstream takes; undefined for one that named no limit. */
    readonly limits: readonly (number | undefined)[];
}

/** Upstreams that return are not filled to the brim at once. */
const RETURN_SHARE = 0.5;
const MS_A_SECOND = 1_000;

/**
 * Computes the time between two requests from one entry that a service takes.
 * @param pace - slots and the usual time of an answer
 * @returns milliseconds
 */
export function computeRetryIntervalMs({ slots, answerMs, entries, limits }: RecoveryCapacity): number {
    const gapMs = answerMs * entries / (Math.max(1, slots) * RETURN_SHARE);
    return Math.max(gapMs, computeLimitGapMs(entries, limits));
}

/** One upstream without a limit takes more than the others. */
function computeLimitGapMs(entries: number, limits: readonly (number | undefined)[]): number {
    const requestsASecond = limits.reduce<number>((sum, limit) => sum + (limit ?? Number.POSITIVE_INFINITY), 0);
    return limits.length === 0 ? 0 : Math.min(MOST_SPREAD_MS, MS_A_SECOND * entries / requestsASecond);
}
