/**
 * Which path a request takes: the one on which it is expected to be answered soonest.
 */
import type { Chain } from "../version/computeChains.js";
import type { ChainLoad } from "./hasChainCapacity.js";

/** A path and what runs on it. */
export interface LoadedChain extends ChainLoad {
    readonly chain: Chain;
}

/** Size of a request. */
export interface RequestSize {
    readonly promptTokens: number;
    readonly answerTokens: number;
}

/**
 * Part of a path's step time that each open request adds: a path that is shared by six requests is taken as twice as slow.
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
export function computeExpectedMs({ chain, open, unstarted }: LoadedChain, size: RequestSize): number {
    const promptMs = size.promptTokens * chain.prefillMs;
    const aloneMs = promptMs + size.answerTokens * chain.stepMs;
    return aloneMs * (1 + open * OPEN_SHARE) + unstarted * promptMs;
}

/** What is known where loads are told late. */
export interface StaleLoadView {
    readonly chains: readonly LoadedChain[];
    readonly size: RequestSize;
    /** Requests that other entries are expected to have sent since their loads were told. */
    readonly unreportedRequests: number;
    readonly hasRoom: (loaded: LoadedChain) => boolean;
    /** From 0 up to 1; the place of this request among the unseen ones. */
    readonly draw: number;
}

/**
 * Chooses a path where the loads are some time old. Entries that all take the path that was best then fill it together
 * (Mitzenmacher, "How Useful Is Old Information?", 2000). The unseen requests are laid on the paths one by one, as their
 * entries would have chosen, and this one takes its place among them: so all entries together fill the paths evenly
 * (Dahlin, "Interpreting Stale Load Information", 2000).
 * @param view - paths, loads and what is unseen
 * @returns the path, or undefined where none has room
 */
export function chooseChainByStaleLoad(view: StaleLoadView): LoadedChain | undefined {
    const chains = [...view.chains];
    for (let ahead = Math.floor(view.draw * (view.unreportedRequests + 1));; ahead -= 1) {
        const best = chooseChain(chains.filter(view.hasRoom), view.size);
        if (best === undefined || ahead <= 0) {
            return best;
        }
        chains[chains.indexOf(best)] = { ...best, open: best.open + 1, unstarted: best.unstarted + 1 };
    }
}
