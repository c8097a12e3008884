/**
 * Which paths a request may take while engines go missing.
 *
 * Load pattern: full load, and an engine goes dark whose layers many paths share. Until the voters have told, which takes
 * half a second to a second, every path that is left leads through it. Requests that were sent along one after another of
 * these used up four tries and their repeats in 30 ms each, and were refused while the next path was already being loaded.
 * So a path through an engine that is not there is no path: the request waits for one.
 */
import type { Chain } from "../version/computeChains.js";

/** What is known of the paths of a service. */
export interface CandidateChainsView {
    /** Paths of engines that nothing speaks against. */
    readonly usable: readonly Chain[];
    /** Paths of engines that are there, also those that had no room a moment ago; asked where none is usable. */
    readonly listReachable: () => readonly Chain[];
    /** Whether the request has been on a path that begins like this one. */
    readonly isTried: (chain: Chain) => boolean;
    /** Whether the path stood still a moment ago. */
    readonly isStalled: (chain: Chain) => boolean;
}

/**
 * Lists the paths that a request may take: first those that it has not been on and that move; where there are none, those
 * that it has not been on, then any.
 * @param view - what is known
 * @returns paths of engines that are there; none where each leads through one that is not
 */
export function listCandidateChains(view: CandidateChainsView): readonly Chain[] {
    const chains = view.usable.length > 0 ? view.usable : view.listReachable();
    const untried = chains.filter((chain) => !view.isTried(chain));
    const moving = untried.filter((chain) => !view.isStalled(chain));
    return [moving, untried, chains].find((some) => some.length > 0) ?? [];
}
