/**
 * Chooses where a try of a routed request goes, by what this entry and the others have open.
 */
import { chooseChain, type LoadedChain, type RequestSize } from "@crankfork/decisions";
import type { RegisteredUpstream, RoutedService } from "@crankfork/schemas";
import type { CallTarget } from "../request/routedCall.js";
import type { RoutedRun } from "../request/routedRun.js";
import type { FleetView } from "../version/fleetView.js";
import type { UpstreamHealth } from "./upstreamHealth.js";

/** What the choice rests on. */
export interface TargetChooserOptions {
    readonly view: FleetView;
    readonly health: UpstreamHealth;
    /** Requests that other entries have open at an upstream, as the leader told last. */
    readonly countElsewhere: (id: string) => number;
    readonly random: () => number;
}

/** Priority that stands for none: neither the route nor the organisation says otherwise. */
const MOST_PRIORITY = 9;

/** Chooses targets. */
export class TargetChooser {
    /**
     * @param options - upstreams and their load
     */
    constructor(private readonly options: TargetChooserOptions) {}

    /**
     * Chooses where the next try goes.
     * @param run - the request
     * @param lastEventId - event after which a stream is resumed
     * @returns the target, or undefined where no upstream is left
     */
    choose(run: RoutedRun, lastEventId: string | undefined): CallTarget | undefined {
        const { service } = run.admitted;
        return service.engine === undefined
            ? this.choosePlain(run, service)
            : this.chooseModel(run, service, lastEventId);
    }

    private choosePlain(run: RoutedRun, service: RoutedService): CallTarget | undefined {
        const { view, health, countElsewhere, random } = this.options;
        const ready = view.listReady(service.name).filter((one) => !run.tried.has(one.id));
        const usable = ready.filter((one) => health.isUsable(one.id));
        const candidates = usable.length > 0 ? usable : ready;
        let best: RegisteredUpstream | undefined;
        let bestScore = Number.POSITIVE_INFINITY;
        candidates.forEach((one) => {
            // Equal scores are drawn, so that entries that know nothing don't all choose the same.
            const score = health.computeScore(one.id, countElsewhere(one.id)) * (1 + TIE_SPREAD * random());
            if (score < bestScore) {
                best = one;
                bestScore = score;
            }
        });
        return best === undefined ? undefined : this.createTarget(run, best.id, best.address, undefined, undefined);
    }

    private chooseModel(
        run: RoutedRun,
        service: RoutedService,
        lastEventId: string | undefined,
    ): CallTarget | undefined {
        const chain = this.chooseLoadedChain(run, service)?.chain;
        const first = chain?.stages[0]?.engine;
        return chain === undefined || first === undefined
            ? undefined
            : this.createTarget(run, first.id, first.address, chain.stages, lastEventId);
    }

    private chooseLoadedChain(run: RoutedRun, service: RoutedService): LoadedChain | undefined {
        const { view, health } = this.options;
        const usable = view.getChains(service, (id) => health.isUsable(id), health.formatSuspects());
        const chains = usable.length > 0 ? usable : view.getChains(service, () => true, "all");
        const loaded = chains.map((chain) => ({ chain, open: this.countOpen(chain.stages[0]?.engine.id ?? "") }));
        const fresh = loaded.filter(({ chain }) => !run.tried.has(chain.stages[0]?.engine.id ?? ""));
        const size: RequestSize = run.admitted.call.size ?? UNKNOWN_SIZE;
        return chooseChain(fresh.length > 0 ? fresh : loaded, size);
    }

    private countOpen(id: string): number {
        return this.options.health.countOpen(id) + this.options.countElsewhere(id);
    }

    private createTarget(
        run: RoutedRun,
        upstreamId: string,
        address: string,
        stages: CallTarget["stages"],
        lastEventId: string | undefined,
    ): CallTarget {
        const { organisation, route } = run.admitted;
        return {
            upstreamId,
            address,
            stages,
            leftMs: Math.max(1, Math.floor(run.leftMs)),
            organisation: organisation?.name,
            priority: Math.min(MOST_PRIORITY, Math.max(0, organisation?.priority ?? route.priority)),
            lastEventId,
        };
    }
}

/** Spread of equal scores. */
const TIE_SPREAD = 0.05;
/** A request that does not say its size; any figure that is alike on all paths will do. */
const UNKNOWN_SIZE: RequestSize = { promptTokens: 500, answerTokens: 100 };
