/**
 * Whether a path of engines stands still, by the streams that one entry reads from it. Engines report a stall some
 * hundred milliseconds late, which is longer than a contracted pause; the streams themselves tell sooner. All streams
 * of a path get their tokens in the same passes, so that all of them are silent together only where the path is.
 */

/** How the streams of one path move. */
export interface ChainActivity {
    /** Streams that are past their first event. */
    readonly streams: number;
    /** Time since any of them had an event, in milliseconds. */
    readonly silentMs: number;
    /** Longest such time of late, in milliseconds; long where prompts are read between tokens. */
    readonly longestGapMs: number;
    /**
     * Time since a stream of another path through the same later stages had an event, in milliseconds; undefined where
     * no other path runs there.
     */
    readonly siblingSilentMs?: number | undefined;
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
/**
 * A sibling that moved in the later part of a silence shows that the stages they share are well. Of 117 paths that were
 * left before this was asked, 47 had no engine at fault (50 s of load with faults).
 */
const SIBLING_SHARE = 0.5;
const SURE: SilenceLimits = { pauseShare: 0.35, gapFactor: 1.6 };
/**
 * Fewer streams may wait for lost packets, which are sent again after 200 ms or more (RFC 6298); and a path whose later
 * stages move for others most likely waits for its turn there.
 */
const UNSURE: SilenceLimits = { pauseShare: 0.6, gapFactor: 2.2 };

/**
 * Tells whether a path stands still.
 * @param movement - its streams
 * @param pauseMs - longest pause between two events that the contract allows
 * @returns true where streams had better go on elsewhere
 */
export function isChainStalled(movement: ChainActivity, pauseMs: number): boolean {
    const { pauseShare, gapFactor } = isSilenceConclusive(movement) ? SURE : UNSURE;
    const limitMs = Math.max(pauseMs * pauseShare, movement.longestGapMs * gapFactor);
    return movement.streams > 0 && movement.silentMs > limitMs;
}

/**
 * Tells whether the streams of a path are so many that their silence is no accident of the network, and whether all paths
 * through the same later stages are silent with it.
 * @param movement - its streams
 * @returns false where a move may turn out to be in vain
 */
export function isSilenceConclusive({ streams, silentMs, siblingSilentMs }: ChainActivity): boolean {
    const isAlone = siblingSilentMs !== undefined && siblingSilentMs < silentMs * SIBLING_SHARE;
    return streams >= SURE_STREAMS && !isAlone;
}
