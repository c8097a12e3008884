/**
 * When a caller that was refused for want of room comes back.
 *
 * Load pattern: a burst, or the loss of engines, leaves more work than fits for some seconds. Callers come back once
 * and wait for at most a third of the time they have left. One that comes back before there is room is lost; those that
 * come back together are the next burst.
 */
import { SHORTEST_RETURN_MS } from "./classifyReturn.js";
import type { RetryAfterSpreader, ReturnWindow } from "./retryAfterSpreader.js";

/** Demand of one class of a service, over all entries. */
export interface ClassLoad {
    readonly admittedPerS: number;
    readonly refusedPerS: number;
    /** Average of the arrivals over some ten seconds, which a burst raises little. */
    readonly slowArrivalsPerS: number;
    /** Requests waiting now. */
    readonly waiting: number;
    /** Refused callers whose `Retry-After` has not passed yet. */
    readonly returns: number;
}

/** What a refused caller competes with. */
export interface ReturnTimeView {
    /** Classes by rank, the most urgent first. */
    readonly classes: readonly ClassLoad[];
    readonly rank: number;
    /** Requests a second that the service takes while it is short of room; undefined where that is not known. */
    readonly throughputPerS: number | undefined;
    readonly entries: number;
    /** Time until the caller's deadline, in milliseconds. */
    readonly leftMs: number;
}

/** Share of the time left after which a caller comes back at the latest; it honours up to a third. */
const LATEST_SHARE = 0.3;
const MS_PER_SECOND = 1_000;
/** What a rate with a time constant of one second shows one second after a single refusal. */
export const ONE_REFUSAL_PER_S = Math.exp(-1);
/** Time after which the burst into free memory that begins a shortage is out of the rates, which average over 1 s. */
const SETTLE_MS = 1_500;
/** Time constant with which the estimate rises, twice that of the rates from which it is taken. */
const RISE_MS = 2_000;
/**
 * Last share of the allowed time over which callers are spread for whom there is no place in it. Some of them find room
 * there, since others leave or do not come back. Where the throughput is not known, more time spreads them better.
 */
const OVERFLOW_SHARE = 1 / 3;
const UNKNOWN_SHARE = 2 / 3;

/**
 * Computes when a refused caller may come back. Work of less urgent ranks does not count, since it gives way.
 * @param view - the classes and the caller
 * @returns the window in which `RetryAfterSpreader` assigns a place
 */
export function computeReturnWindow({ classes, rank, throughputPerS, entries, leftMs }: ReturnTimeView): ReturnWindow {
    const ahead = classes.slice(0, rank + 1);
    const work = ahead.reduce((sum, { waiting, returns }) => sum + waiting + returns, 0);
    const sparePerS = (throughputPerS ?? 0) - ahead.reduce((sum, { slowArrivalsPerS }) => sum + slowArrivalsPerS, 0);
    const latestMs = Math.max(SHORTEST_RETURN_MS, leftMs * LATEST_SHARE);
    const perSpareMs = sparePerS > 0 ? MS_PER_SECOND / sparePerS : Number.POSITIVE_INFINITY;
    return {
        roomMs: sparePerS > 0 ? work * perSpareMs : Number.POSITIVE_INFINITY,
        intervalMs: entries * perSpareMs,
        earliestMs: SHORTEST_RETURN_MS,
        latestMs,
        overflowMs: latestMs * (throughputPerS === undefined ? UNKNOWN_SHARE : OVERFLOW_SHARE),
    };
}

/**
 * Computes when a refused caller comes back, and assigns it that place.
 * @param view - the classes and the caller
 * @param spreader - places assigned at this entry to callers of the same service and rank
 * @param nowMs - the monotonic clock
 * @returns time until it may come back, in milliseconds
 */
export function computeReturnTimeMs(view: ReturnTimeView, spreader: RetryAfterSpreader, nowMs: number): number {
    return spreader.assignPlace(computeReturnWindow(view), nowMs);
}

/**
 * Requests a second that a service takes while it is short of room. It falls at once and rises slowly: a caller that is
 * given a time too late is served as well as one that is given the right one, and one that comes too early is lost.
 */
export class ShortThroughput {
    private known: number | undefined;
    private shortSinceMs: number | undefined;
    private recordedMs = 0;

    /** The estimate; undefined before the first shortage that lasted. */
    get perS(): number | undefined {
        return this.known;
    }

    /**
     * Records rates over all classes; called for each report of the fleet's demand.
     * @param admittedPerS - requests a second that were sent
     * @param refusedPerS - requests a second that were refused
     * @param nowMs - the monotonic clock
     */
    record(admittedPerS: number, refusedPerS: number, nowMs: number): void {
        const elapsedMs = nowMs - this.recordedMs;
        this.recordedMs = nowMs;
        this.shortSinceMs = refusedPerS < ONE_REFUSAL_PER_S ? undefined : this.shortSinceMs ?? nowMs;
        if (this.shortSinceMs === undefined || nowMs - this.shortSinceMs < SETTLE_MS) {
            return;
        }
        const before = this.known ?? admittedPerS;
        const rise = Math.max(0, admittedPerS - before) * (1 - Math.exp(-elapsedMs / RISE_MS));
        this.known = Math.min(admittedPerS, before + rise);
    }
}
