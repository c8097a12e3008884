/**
 * Spreads the retries of callers over the time after a backoff.
 *
 * Load pattern: all upstreams of a service back off, and every caller is refused. The end of the first backoff is
 * known; if all callers were told that time, they would return at once, and the upstreams would ask for backoff again.
 * So callers get successive times, at the rate at which the returning upstreams can take requests.
 */

/** Longest time after the end of a backoff that is assigned; later callers start from the end again. */
const MAX_SPREAD_MS = 2_000;

/** Assigns retry times for one service. */
export class RetryAfterSpreader {
    private offsetMs = 0;
    private endMs = Number.NEGATIVE_INFINITY;

    /**
     * Assigns the next retry time.
     * @param endMs - end of the first backoff, on the monotonic clock
     * @param intervalMs - between two requests that the service takes from this instance after the backoff
     * @returns when to retry, on the monotonic clock; never before the end
     */
    assignRetryTime(endMs: number, intervalMs: number): number {
        const isLater = endMs > this.endMs + MAX_SPREAD_MS;
        this.offsetMs = isLater ? 0 : (this.offsetMs + intervalMs) % MAX_SPREAD_MS;
        this.endMs = isLater ? endMs : Math.max(this.endMs, endMs);
        return endMs + this.offsetMs;
    }
}

/** Capacity of a service after a backoff. */
export interface RecoveryCapacity {
    /** Requests that all its upstreams together process at a time. */
    readonly slots: number;
    readonly answerMs: number;
    /** Entries that send to it. */
    readonly entries: number;
    /** Rate limit of each upstream in requests a second; undefined for one that stated none. */
    readonly limits: readonly (number | undefined)[];
}

/** Share of the capacity that returning upstreams are given at first. */
const RECOVERY_SHARE = 0.5;
const MS_PER_SECOND = 1_000;

/**
 * Computes the time between two requests from one entry that a service can take.
 * @param capacity - slots, limits and the usual time of an answer
 * @returns milliseconds
 */
export function computeRetryIntervalMs({ slots, answerMs, entries, limits }: RecoveryCapacity): number {
    const intervalMs = answerMs * entries / (Math.max(1, slots) * RECOVERY_SHARE);
    return Math.max(intervalMs, computeLimitIntervalMs(entries, limits));
}

/** Zero where an upstream stated no limit, since it takes what the others don't. */
function computeLimitIntervalMs(entries: number, limits: readonly (number | undefined)[]): number {
    const requestsPerSecond = limits.reduce<number>((sum, limit) => sum + (limit ?? Number.POSITIVE_INFINITY), 0);
    return limits.length === 0 ? 0 : Math.min(MAX_SPREAD_MS, MS_PER_SECOND * entries / requestsPerSecond);
}
