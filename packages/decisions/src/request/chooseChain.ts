/**
 * Chooses the chain of engines on which a request is expected to be answered soonest.
 */
import type { Chain } from "../version/computeChains.js";
import type { ChainLoad } from "./hasChainCapacity.js";

/** A chain and its load. */
export interface LoadedChain extends ChainLoad {
    readonly chain: Chain;
    /** The load without the requests that others are expected to have sent since they reported theirs. */
    readonly reported?: ChainLoad;
}

/** Size of a request. */
export interface RequestSize {
    readonly promptTokens: number;
    readonly answerTokens: number;
}

/**
 * Share of its time alone by which each open request on the chain slows a request down: with six open requests it takes
 * twice as long.
 */
const SLOWDOWN_PER_OPEN_REQUEST = 1 / 6;

/**
 * Chooses a chain.
 * @param chains - chains that may get requests
 * @param size - the request
 * @returns the chain with the shortest expected time, or undefined where there is none
 */
export function chooseChain(chains: readonly LoadedChain[], size: RequestSize): LoadedChain | undefined {
    return chains[findCheapest(chains.map((loaded) => computeExpectedMs(loaded, size)))];
}

/** Returns the index of the lowest finite cost; -1 where there is none. */
function findCheapest(costs: readonly number[]): number {
    let best = -1;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const [index, cost] of costs.entries()) {
        if (cost < bestCost) {
            best = index;
            bestCost = cost;
        }
    }
    return best;
}

/**
 * Computes the time that a request is expected to take on a chain.
 * @param loaded - the chain and its load
 * @param size - the request
 * @returns milliseconds
 */
export function computeExpectedMs({ chain, open, unstarted }: LoadedChain, size: RequestSize): number {
    const promptMs = size.promptTokens * chain.prefillMs;
    const aloneMs = promptMs + size.answerTokens * chain.stepMs;
    return aloneMs * (1 + open * SLOWDOWN_PER_OPEN_REQUEST) + unstarted * promptMs;
}

/** What is known where load reports are stale. */
export interface StaleLoadView {
    readonly chains: readonly LoadedChain[];
    readonly size: RequestSize;
    /** Requests that other entries are expected to have sent since the last load report. */
    readonly unreportedRequests: number;
    readonly hasCapacity: (loaded: LoadedChain) => boolean;
    /** Cost of a request on a chain; the expected time where it is absent. */
    readonly computeCost?: ((loaded: LoadedChain) => number) | undefined;
    /** Records that an unreported request is assigned to a chain, for what chains share. */
    readonly recordAssigned?: (chain: Chain) => void;
    /** From 0 up to 1; position of this request among the unreported ones. */
    readonly draw: number;
}

/**
 * Chooses a chain by stale load reports. Entries that all took the best chain of the last report would overload it
 * together (Mitzenmacher, "How Useful Is Old Information?", 2000). The unreported requests are therefore assigned to
 * chains one by one, as their entries would have chosen, and this one takes its position among them, so that all
 * entries together load the chains evenly (Dahlin, "Interpreting Stale Load Information", 2000).
 * @param view - chains, loads and the number of unreported requests
 * @returns the chain, or undefined where none has capacity
 */
export function chooseChainByStaleLoad(view: StaleLoadView): LoadedChain | undefined {
    const chains = [...view.chains];
    const computeCost = view.computeCost ?? ((loaded: LoadedChain) => computeExpectedMs(loaded, view.size));
    const evaluate = (loaded: LoadedChain): number =>
        view.hasCapacity(loaded) ? computeCost(loaded) : Number.POSITIVE_INFINITY;
    let costs = chains.map(evaluate);
    for (let ahead = Math.floor(view.draw * (view.unreportedRequests + 1));; ahead -= 1) {
        const index = findCheapest(costs);
        const best = chains[index];
        if (best === undefined || ahead <= 0) {
            return best;
        }
        const loaded = { ...best, open: best.open + 1, unstarted: best.unstarted + 1 };
        chains[index] = loaded;
        if (view.recordAssigned === undefined) {
            costs[index] = evaluate(loaded);
        }
        else {
            // What chains share may have run out for others as well.
            view.recordAssigned(best.chain);
            costs = chains.map(evaluate);
        }
    }
}
