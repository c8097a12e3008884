/**
 * The paths that a request of a model service may take, and the order in which they are considered.
 */
import { type Chain, computePreferredCount, listCandidateChains, listPreferredChains } from "@crankfork/decisions";
import type { RoutedService } from "@crankfork/schemas";
import { UPSTREAM_KEEP_ALIVE_MS } from "../../connection/upstreamExchange.js";
import type { RequestContext } from "../../request/requestContext.js";
import type { FleetView } from "../../version/fleetView.js";
import type { UpstreamBackoffs } from "../upstreamBackoffs.js";
import type { LeavingNotices } from "./leavingNotices.js";
import { getPathKey, type PathKey } from "./pathKey.js";
import type { UpstreamHealth } from "./upstreamHealth.js";

/** Dependencies of {@link PathCandidates}. */
export interface PathCandidatesOptions {
    /** Id of this entry. */
    readonly instance: string;
    readonly view: FleetView;
    readonly health: UpstreamHealth;
    readonly backoffs: UpstreamBackoffs;
    readonly leaving: LeavingNotices;
    /** Whether new requests avoid a path because it stalled recently. */
    readonly isPathAvoided: (path: PathKey) => boolean;
    /** Whether a path delivered events a moment ago; not known if absent. */
    readonly isPathActive?: (path: PathKey) => boolean;
    /** Whether the links of this entry to a failure domain lose packets now. */
    readonly isLinkLossy?: (domain: string) => boolean;
    /** Rate at which this entry sends requests to a service. */
    readonly getRequestsPerSecond: (service: string) => number;
    readonly random: () => number;
}

/**
 * Share of requests that are sent over a link that loses packets while others have room, so that its recovery is seen.
 * With fewer, some ten entries of one request a second would see no stream there for seconds.
 */
const LINK_TRIAL_SHARE = 1 / 50;

/** Lists paths. */
export class PathCandidates {
    /**
     * @param options - paths and what excludes them
     */
    constructor(private readonly options: PathCandidatesOptions) {}

    /**
     * Lists the paths that a request may take.
     * @param run - the request
     * @param service - its service
     * @returns paths of reachable engines
     */
    list(run: RequestContext, service: RoutedService): readonly Chain[] {
        const { view, health, backoffs, leaving, isPathActive } = this.options;
        return listCandidateChains({
            usable: this.listUsable(service),
            listReachable: () =>
                view.getChains(
                    service,
                    (id) => !health.isDown(id) && backoffs.hasCapacity(id) && leaving.canStillAccept(id),
                    `down ${health.formatDown()} resting ${backoffs.formatKey()} accepting ${leaving.formatAccepting()}`,
                ),
            isTried: (chain) => isTried(run, chain),
            isStalled: (chain) => this.isAvoided(chain),
            isActive: run.hasSilentAttempt && isPathActive !== undefined
                ? (chain) => isPathActive(getPathKey(chain.stages))
                : undefined,
        });
    }

    /**
     * Lists the paths that get requests, whatever one of them has tried.
     * @param service - the service
     * @returns paths of engines that are healthy, not in backoff and not leaving
     */
    listUsable(service: RoutedService): readonly Chain[] {
        const { view, health, backoffs, leaving } = this.options;
        return view.getChains(
            service,
            (id) => health.isUsable(id) && backoffs.hasCapacity(id) && !leaving.isLeaving(id),
            `excluded ${health.formatExcluded()} resting ${backoffs.formatKey()} leaving ${leaving.format()}`,
        );
    }

    /**
     * Checks whether a stream can continue on another path.
     * @param run - its request
     * @returns true where there is a path that was not tried yet and is not stalled
     */
    hasOther(run: RequestContext): boolean {
        return this.listUsable(run.admitted.service).some((chain) => !isTried(run, chain) && !this.isAvoided(chain));
    }

    /**
     * Lists the sets of paths among which a request chooses, in order: a later set only where no earlier one has room.
     * @param chains - the paths that it may take
     * @param service - name of the service
     * @param mayTryLossy - whether the request may be one of those that find out whether a link has recovered
     * @returns sets; paths over links that lose packets are in the last one, or for such a trial in the first
     */
    listTiers(chains: readonly Chain[], service: string, mayTryLossy: boolean): readonly (readonly Chain[])[] {
        const { isLinkLossy, random } = this.options;
        const lossy = isLinkLossy === undefined ? [] : chains.filter((chain) => isLinkLossy(getFirstDomain(chain)));
        if (lossy.length === 0 || lossy.length === chains.length) {
            return this.listPreferredTiers(chains, service);
        }
        const others = this.listPreferredTiers(chains.filter((chain) => !lossy.includes(chain)), service);
        return mayTryLossy && random() < LINK_TRIAL_SHARE ? [lossy, ...others] : [...others, lossy];
    }

    private listPreferredTiers(chains: readonly Chain[], service: string): readonly (readonly Chain[])[] {
        const { instance, getRequestsPerSecond } = this.options;
        const preferred = listPreferredChains(
            chains,
            instance,
            computePreferredCount(getRequestsPerSecond(service), UPSTREAM_KEEP_ALIVE_MS),
        );
        return preferred.length < chains.length ? [preferred, chains] : [chains];
    }

    private isAvoided(chain: Chain): boolean {
        return this.options.isPathAvoided(getPathKey(chain.stages));
    }
}

function isTried(run: RequestContext, chain: Chain): boolean {
    const first = chain.stages[0]?.engine.id ?? "";
    return run.attemptedUpstreams.has(first) || run.unresponsiveUpstreams.has(first);
}

function getFirstDomain(chain: Chain): string {
    return chain.stages[0]?.engine.failureDomain ?? "";
}
