/**
 * Whether a chain of engines is stalled, judged by the streams that one entry reads from it. Engines report a stall
 * some hundred milliseconds late, longer than a contracted pause; the streams show it sooner. All streams of a chain
 * get their tokens in the same passes, so they are all silent together only where the chain is stalled.
 */

/** Activity of the streams of one chain. */
export interface ChainActivity {
    /** Streams that are past their first event. */
    readonly streams: number;
    /** Time since the last event of any of them, in milliseconds. */
    readonly silentMs: number;
    /** Longest recent time without an event, in milliseconds; long where prefill runs between tokens. */
    readonly longestGapMs: number;
    /**
     * Time since the last event of a stream on another chain through the same later stages, in milliseconds; undefined
     * where there is no such chain.
     */
    readonly siblingSilentMs?: number | undefined;
}

/** Thresholds of a silence; both must be exceeded. */
interface SilenceLimits {
    /** Share of the contracted pause; a stream moved after that still gets its next event in time, or nearly so. */
    readonly pauseShare: number;
    /** Factor on the longest recent gap. */
    readonly gapFactor: number;
}

/** Streams that are not all silent by chance because of lost packets. */
const CONCLUSIVE_STREAMS = 3;
/**
 * A sibling chain with an event in the later part of a silence shows that the shared stages work. Without this check,
 * 47 of 117 abandoned chains had no failed engine (50 s of load with failures).
 */
const SIBLING_SHARE = 0.5;
const CONCLUSIVE: SilenceLimits = { pauseShare: 0.35, gapFactor: 1.6 };
/**
 * Few streams may be waiting for lost packets, which are retransmitted after 200 ms or more (RFC 6298); and a chain
 * whose later stages serve others is most likely waiting for its turn there.
 */
const INCONCLUSIVE: SilenceLimits = { pauseShare: 0.6, gapFactor: 2.2 };

/**
 * Tells whether a chain is stalled.
 * @param activity - its streams
 * @param pauseMs - longest contracted pause between two events
 * @returns true where its streams should be resumed on another chain
 */
export function isChainStalled(activity: ChainActivity, pauseMs: number): boolean {
    const { pauseShare, gapFactor } = isSilenceConclusive(activity) ? CONCLUSIVE : INCONCLUSIVE;
    const limitMs = Math.max(pauseMs * pauseShare, activity.longestGapMs * gapFactor);
    return activity.streams > 0 && activity.silentMs > limitMs;
}

/**
 * Tells whether a silence is conclusive: there are too many streams for it to be caused by packet loss, and the chains
 * through the same later stages are silent as well.
 * @param activity - the chain's streams
 * @returns false where moving the streams may prove unnecessary
 */
export function isSilenceConclusive({ streams, silentMs, siblingSilentMs }: ChainActivity): boolean {
    const hasActiveSibling = siblingSilentMs !== undefined && siblingSilentMs < silentMs * SIBLING_SHARE;
    return streams >= CONCLUSIVE_STREAMS && !hasActiveSibling;
}
