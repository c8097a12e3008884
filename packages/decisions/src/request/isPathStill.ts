/**
 * Whether a path of engines stands still, by the streams that one entry reads from it. Engines report a stall some
 * hundred milliseconds late, which is longer than a contracted pause; the streams themselves tell sooner. All streams
 * of a path get their tokens in the same passes, so that all of them are silent together only where the path is.
 */

/** How the streams of one path move. */
export interface PathMovement {
    /** Streams that are past their first event. */
    readonly streams: number;
    /** Time since any of them had an event, in milliseconds. */
    readonly silentMs: number;
    /** Longest such time of late, in milliseconds; long where prompts are read between tokens. */
    readonly longestGapMs: number;
}

/** With fewer streams a lost packet looks the same: its repeat comes after 200 ms or more (RFC 6298). */
const LEAST_STREAMS = 3;
/** Part of the contracted pause after which a move still brings the next event in time, or nearly so. */
const PAUSE_SHARE = 0.45;
/** How much longer than the longest gap of late a silence must be. */
const GAP_FACTOR = 1.8;

/**
 * Tells whether a path stands still.
 * @param movement - its streams
 * @param pauseMs - longest pause between two events that the contract allows
 * @returns true where streams had better go on elsewhere
 */
export function isPathStill(movement: PathMovement, pauseMs: number): boolean {
    const limitMs = Math.max(pauseMs * PAUSE_SHARE, movement.longestGapMs * GAP_FACTOR);
    return movement.streams >= LEAST_STREAMS && movement.silentMs > limitMs;
}
