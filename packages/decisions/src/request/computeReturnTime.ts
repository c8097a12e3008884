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
    /** Callers that were told to come back and are still due. */
    readonly returns: number;
}

/** What a refused caller competes with. */
export interface ReturnTimeView {
    /** Classes by rank, the most urgent first. */
    readonly classes: readonly ClassLoad[];
    readonly rank: number;
    /** Requests a second that the service takes while it is short of room. */
    readonly throughputPerS: number;
    readonly entries: number;
    /** Time until the caller's deadline, in milliseconds. */
    readonly leftMs: number;
}

/** Share of the time left after which a caller comes back at the latest; it honours up to a third. */
const LATEST_SHARE = 0.3;
const MS_PER_SECOND = 1_000;
/** Time constant of the throughput, twice that of the rates from which it is taken. */
const THROUGHPUT_AVERAGE_MS = 2_000;
/** Most time for which one sample counts. Nothing is sampled while no path exists, and the first rates after are low. */
const MAX_SAMPLE_MS = 1_000;

/**
 * Computes when a refused caller may come back. Work of less urgent ranks does not count, since it gives way.
 * @param view - the classes and the caller
 * @returns the window in which `RetryAfterSpreader` assigns a place
 */
export function computeReturnWindow({ classes, rank, throughputPerS, entries, leftMs }: ReturnTimeView): ReturnWindow {
    const ahead = classes.slice(0, rank + 1);
    const work = ahead.reduce((sum, { waiting, returns }) => sum + waiting + returns, 0);
    const sparePerS = throughputPerS - ahead.reduce((sum, { slowArrivalsPerS }) => sum + slowArrivalsPerS, 0);
    const latestMs = Math.max(SHORTEST_RETURN_MS, leftMs * LATEST_SHARE);
    const perSpareMs = sparePerS > 0 ? MS_PER_SECOND / sparePerS : Number.POSITIVE_INFINITY;
    return {
        roomMs: sparePerS > 0 ? work * perSpareMs : Number.POSITIVE_INFINITY,
        intervalMs: entries * perSpareMs,
        earliestMs: SHORTEST_RETURN_MS,
        latestMs,
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
 * Requests a second that a service takes while it is short of room. The average is slow in both directions: a burst
 * into free memory is taken faster than what follows, and a pause of a second is no loss of all room.
 */
export class ShortThroughput {
    private perS: number | undefined;
    private knownMs = 0;

    /**
     * Records what is admitted while requests are refused.
     * @param admittedPerS - requests a second, all classes
     * @param nowMs - the monotonic clock
     * @returns the estimate
     */
    record(admittedPerS: number, nowMs: number): number {
        const ageMs = Math.min(nowMs - this.knownMs, MAX_SAMPLE_MS);
        this.knownMs = nowMs;
        const before = this.perS ?? admittedPerS;
        this.perS = before + (admittedPerS - before) * (1 - Math.exp(-ageMs / THROUGHPUT_AVERAGE_MS));
        return this.perS;
    }
}
