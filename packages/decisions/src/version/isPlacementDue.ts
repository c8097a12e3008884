/**
 * Whether layers are placed now. Engines that start together register one after another, within about a heartbeat. A
 * plan made for the first few of them puts slow engines where fast ones belong.
 */

/** The engines of one service, as the leader knows them. */
export interface EngineArrivals {
    /** Whether any engine holds layers, or was ordered to. */
    readonly isBegun: boolean;
    /** Time since an engine registered for the first time, in milliseconds. */
    readonly sinceArrivalMs: number;
    /** Time since the first of them registered, in milliseconds. */
    readonly sinceFirstMs: number;
    /** Between two heartbeats of an engine. */
    readonly heartbeatMs: number;
}

/** Heartbeats after the first engine; a fleet that goes on growing for longer is served by what is there. */
const MOST_HEARTBEATS = 4;

/**
 * Tells whether layers are placed now. Purpose: only with the whole fleet in view the fastest engines of a failure domain get the
 * most layers.
 * @param arrivals - what is known
 * @returns false while more engines are expected, unless some hold layers already
 */
export function isPlacementDue(arrivals: EngineArrivals): boolean {
    const { isBegun, sinceArrivalMs, sinceFirstMs, heartbeatMs } = arrivals;
    return isBegun || sinceArrivalMs >= heartbeatMs || sinceFirstMs >= heartbeatMs * MOST_HEARTBEATS;
}
