/**
 * Whether to place layers now. Engines that start together register one after another, within about a heartbeat
 * interval. A plan made for the first few of them would assign to slow engines what fast ones should hold.
 */

/** The engines of one service as the leader knows them. */
export interface EngineArrivals {
    /** Whether any engine holds layers or was ordered to. */
    readonly isPlacementStarted: boolean;
    /** Time since the latest first registration of an engine, in milliseconds. */
    readonly sinceArrivalMs: number;
    /** Time since the first of them registered, in milliseconds. */
    readonly sinceFirstMs: number;
    /** Interval between heartbeats of an engine. */
    readonly heartbeatMs: number;
}

/**
 * Heartbeat intervals after the first registration from which a fleet that is still growing is served by the engines
 * that are there.
 */
const MAX_HEARTBEAT_INTERVALS = 4;

/**
 * Tells whether to place layers now: only with the whole fleet known do the fastest engines of a failure domain get the
 * most layers.
 * @param arrivals - what is known
 * @returns false while more engines are expected, unless some hold layers already
 */
export function isPlacementDue(arrivals: EngineArrivals): boolean {
    const { isPlacementStarted, sinceArrivalMs, sinceFirstMs, heartbeatMs } = arrivals;
    return isPlacementStarted || sinceArrivalMs >= heartbeatMs || sinceFirstMs >= heartbeatMs * MAX_HEARTBEAT_INTERVALS;
}
