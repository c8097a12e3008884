/**
 * Which chains a request may take while engines are failing.
 *
 * Load pattern: at full load, an engine fails whose layers many chains share. Until the voters have announced it, half
 * a second to a second later, every remaining chain leads through it. Requests that tried one of these after another
 * used up four attempts and their retries in 30 ms each, and were refused while the next chain was already being
 * loaded. So a chain through an unreachable engine is not a candidate: the request waits for another one.
 */
import type { Chain } from "../version/computeChains.js";

/** What is known of the chains of a service. */
export interface CandidateChainsView {
    /** Chains of engines that are healthy, not leaving and have capacity. */
    readonly usable: readonly Chain[];
    /** Chains of reachable engines, including those without capacity a moment ago; called only where none is usable. */
    readonly listReachable: () => readonly Chain[];
    /** Whether the request has been on a chain with the same first engine. */
    readonly isTried: (chain: Chain) => boolean;
    /** Whether the chain was stalled a moment ago. */
    readonly isStalled: (chain: Chain) => boolean;
    /**
     * Whether the chain delivered a moment ago; given for a backup attempt, since a chain without streams here may be as
     * silent as the one that the request is on.
     */
    readonly isActive?: ((chain: Chain) => boolean) | undefined;
}

/**
 * Lists the chains that a request may take: those that it has not tried and that are not stalled, for a backup attempt only
 * active ones; where there are none, those that it has not tried; otherwise any.
 * @param view - what is known
 * @returns chains of reachable engines; empty where each leads through an unreachable one
 */
export function listCandidateChains(view: CandidateChainsView): readonly Chain[] {
    const chains = view.usable.length > 0 ? view.usable : view.listReachable();
    const untried = chains.filter((chain) => !view.isTried(chain));
    const unstalled = untried.filter((chain) => !view.isStalled(chain));
    const active = view.isActive === undefined ? [] : unstalled.filter(view.isActive);
    return [active, unstalled, untried, chains].find((some) => some.length > 0) ?? [];
}
