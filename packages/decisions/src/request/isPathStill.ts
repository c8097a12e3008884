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

/** What a silence must be longer than. */
interface SilenceLimits {
    /** Part of the contracted pause after which a move still brings the next event in time, or nearly so. */
    readonly pauseShare: number;
    /** How much longer than the longest gap of late it must be. */
    readonly gapFactor: number;
}

/** So many streams are not silent together for packets that were lost. */
const SURE_STREAMS = 3;
const SURE: SilenceLimits = { pauseShare: 0.35, gapFactor: 1.6 };
/** Fewer streams may wait for lost packets, which are sent again after 200 ms or more (RFC 6298). */
const UNSURE: SilenceLimits = { pauseShare: 0.6, gapFactor: 2.2 };

/**
 * Tells whether a path stands still.
 * @param movement - its streams
 * @param pauseMs - longest pause between two events that the contract allows
 * @returns true where streams had better go on elsewhere
 */
export function isPathStill(movement: PathMovement, pauseMs: number): boolean {
    const { pauseShare, gapFactor } = isSurePath(movement) ? SURE : UNSURE;
    const limitMs = Math.max(pauseMs * pauseShare, movement.longestGapMs * gapFactor);
    return movement.streams > 0 && movement.silentMs > limitMs;
}

/**
 * Tells whether the streams of a path are so many that their silence is no accident of the network.
 * @param movement - its streams
 * @returns false where a move may turn out to be in vain
 */
export function isSurePath(movement: PathMovement): boolean {
    return movement.streams >= SURE_STREAMS;
}
