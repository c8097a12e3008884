/**
 * How long a request of a ranked service may wait while all paths are full.
 *
 * Load pattern: a burst of one class fills all paths for some seconds. A request that waits past the point where its
 * first event can still be in time takes room from requests that would be served in time.
 */
import type { ReturnStanding } from "./classifyReturn.js";

/** A waiting request and what competes with it. */
export interface QueueWaitView {
    readonly objectiveMs: number;
    /** Measured mean time from a send to the first event, in milliseconds; undefined before the first one. */
    readonly firstEventMs: number | undefined;
    readonly standing: ReturnStanding;
    /** Whether its rank is the last of several. */
    readonly isLeastUrgent: boolean;
    /** Whether a more urgent request waits, or was refused lately. */
    readonly isMoreUrgentShort: boolean;
}

/**
 * Shortest wait as a fraction of the objective. A path completes a request about every 50 ms, so also a short wait
 * often finds room.
 */
const SHORTEST_WAIT_FACTOR = 0.15;
/** Longest wait of a request whose answer is late, as a multiple of the objective: callers stay for four objectives. */
const LATE_WAIT_FACTOR = 2.5;
/** The objective is met by nearly all requests and the measured time is a mean; twice the mean is reserved for it. */
const FIRST_EVENT_FACTOR = 2;

/**
 * Computes how long a request may wait from its arrival.
 * @param view - the request and what competes with it
 * @returns milliseconds
 */
export function computeQueueWaitMs(view: QueueWaitView): number {
    const mayBeLate = view.standing === "returned" || view.isLeastUrgent;
    const hasToGiveWay = view.isLeastUrgent && view.isMoreUrgentShort;
    return mayBeLate && !hasToGiveWay ? view.objectiveMs * LATE_WAIT_FACTOR : computeInTimeWaitMs(view);
}

function computeInTimeWaitMs({ objectiveMs, firstEventMs }: QueueWaitView): number {
    const shortestMs = objectiveMs * SHORTEST_WAIT_FACTOR;
    return firstEventMs === undefined
        ? shortestMs
        : Math.max(shortestMs, objectiveMs - firstEventMs * FIRST_EVENT_FACTOR);
}
