/**
 * Which path a request takes: the one on which it is expected to be answered soonest.
 */
import type { Chain } from "../version/computeChains.js";

/** A path and what runs on it. */
export interface LoadedChain {
    readonly chain: Chain;
    /** Requests that are open on it, from all entries as far as known. */
    readonly open: number;
}

/** Size of a request. */
export interface RequestSize {
    readonly promptTokens: number;
    readonly answerTokens: number;
}

/**
 * Part of a path's step time that each open request adds. From the trials on the grown calm day in
 * docs/design/layer-plan.md: a path that is shared by six requests is taken as twice as slow.
 */
const OPEN_SHARE = 1 / 6;

/**
 * Chooses a path.
 * @param chains - paths that work may be sent to
 * @param size - the request
 * @returns the path with the least expected time, or undefined where there is none
 */
export function chooseChain(chains: readonly LoadedChain[], size: RequestSize): LoadedChain | undefined {
    let best: LoadedChain | undefined;
    let bestMs = Number.POSITIVE_INFINITY;
    for (const loaded of chains) {
        const expectedMs = computeExpectedMs(loaded, size);
        if (expectedMs < bestMs) {
            best = loaded;
            bestMs = expectedMs;
        }
    }
    return best;
}

/**
 * Computes the time that a request is expected to take on a path.
 * @param loaded - the path and what runs on it
 * @param size - the request
 * @returns milliseconds
 */
export function computeExpectedMs({ chain, open }: LoadedChain, size: RequestSize): number {
    const aloneMs = size.promptTokens * chain.readMs + size.answerTokens * chain.stepMs;
    return aloneMs * (1 + open * OPEN_SHARE);
}
