/**
 * Spreads the retries of callers over the time after a backoff, or over the places that come free on full paths.
 *
 * Load pattern: all upstreams of a service back off, and every caller is refused. The end of the first backoff is
 * known; if all callers were told that time, they would return at once, and the upstreams would ask for backoff again.
 * So callers get successive times, at the rate at which the returning upstreams can take requests. The same holds where
 * all paths are full and callers are refused until there is room.
 */

/** Longest time after the end of a backoff that is assigned; later callers start from the end again. */
const MAX_SPREAD_MS = 2_000;

/** Time after which a report of this entry is in the leader's sum: a long poll there and one back. */
const UNREPORTED_MS = 1_200;
/** Successive multiples of this fraction, modulo 1, are spread evenly whatever their number. */
const GOLDEN_FRACTION = 0.618_033_988_749_895;

/** Assigns retry times for one service, or for one class of it. */
export class RetryAfterSpreader {
    private offsetMs = 0;
    private endMs = Number.NEGATIVE_INFINITY;
    private nextPlaceMs = Number.NEGATIVE_INFINITY;
    /** When the latest places were assigned. */
    private readonly assignedMs: number[] = [];
    private overflow: number;

    /**
     * @param phase - from 0 to 1, different at each entry, so that the first places of all entries do not coincide
     */
    constructor(private readonly phase = 0) {
        this.overflow = phase;
    }

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

    /**
     * Assigns the next place of a caller that was refused because all paths are full.
     * @param window - when there is room, and how many callers of this entry fit
     * @param nowMs - the monotonic clock
     * @returns time until it may retry, in milliseconds, between the window's earliest and latest
     */
    assignPlace(window: ReturnWindow, nowMs: number): number {
        const { intervalMs, latestMs, earliestMs, overflowMs } = window;
        const placeMs = this.findPlace(window, nowMs);
        if (placeMs <= nowMs + latestMs) {
            this.nextPlaceMs = placeMs + intervalMs;
            this.assignedMs.push(nowMs);
            return placeMs - nowMs;
        }
        this.overflow = (this.overflow + GOLDEN_FRACTION) % 1;
        return Math.max(earliestMs, latestMs - overflowMs * this.overflow);
    }

    private findPlace({ roomMs, intervalMs, earliestMs }: ReturnWindow, nowMs: number): number {
        if (!Number.isFinite(roomMs + intervalMs)) {
            return Number.POSITIVE_INFINITY;
        }
        while ((this.assignedMs[0] ?? nowMs) < nowMs - UNREPORTED_MS) {
            this.assignedMs.shift();
        }
        const firstMs = nowMs + Math.max(roomMs, earliestMs) + intervalMs * this.phase;
        // Places assigned longer ago are in the work ahead, by the reports of the entries.
        const afterUnreportedMs = firstMs + this.assignedMs.length * intervalMs;
        return Math.max(firstMs, Math.min(this.nextPlaceMs, afterUnreportedMs));
    }
}

/** When callers that one entry refuses may come back, in milliseconds from now. */
export interface ReturnWindow {
    /** When there is room for one more; infinite where the work ahead does not shrink. */
    readonly roomMs: number;
    /** Time between two places for callers of this entry; infinite where there are none. */
    readonly intervalMs: number;
    readonly earliestMs: number;
    readonly latestMs: number;
    /** Time before the latest over which callers are spread for whom there is no place. */
    readonly overflowMs: number;
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
