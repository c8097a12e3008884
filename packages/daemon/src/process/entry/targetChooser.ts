/**
 * Selects the target of each attempt of a routed request, by the load of this entry and of the others.
 */
import {
    canHoldModel,
    type Chain,
    chooseChainByStaleLoad,
    computeFill,
    computePriority,
    computeRankPriority,
    hasUpstreamCapacity,
    type LoadedChain,
    type RequestSize,
    type ServiceDemand,
    type Urgency,
} from "@crankfork/decisions";
import { type EngineProfile, getIncarnation, type RegisteredUpstream, type RoutedService } from "@crankfork/schemas";
import type { RequestContext } from "../../request/requestContext.js";
import type { TargetChoice } from "../../request/requestFunctions.js";
import type { CallTarget } from "../../request/routedCall.js";
import { computeReservedWaitMs } from "../../request/waitForTarget.js";
import { sumLoads, type UpstreamLoad } from "../sumLoads.js";
import type { AdmissionLevels } from "./admissionLevels.js";
import type { EngineShortage } from "./engineShortage.js";
import { MemoryUse } from "./memoryUse.js";
import { PathCandidates, type PathCandidatesOptions } from "./pathCandidates.js";
import { type GetClassRoom, PathRoom } from "./pathRoom.js";
import type { UpstreamRateLimiter } from "./upstreamRateLimiter.js";

/** Dependencies of the selection. */
export interface TargetChooserOptions extends PathCandidatesOptions {
    readonly shortage: EngineShortage;
    /** Limits the rate of requests to upstreams that have reported a rate limit. */
    readonly rateLimiter: UpstreamRateLimiter;
    /** In-flight load of other entries at an upstream, by the last report of the leader. */
    readonly getRemoteLoad: (id: string) => UpstreamLoad;
    /** Estimates the requests to a service that other entries have sent since their last load reports. */
    readonly estimateUnreported: (service: string) => number;
    readonly countEntries: () => number;
    /** Mean age of the load reports of other entries. */
    readonly getLoadAgeMs: () => number;
    /** Demand for a ranked service, over all entries; undefined where it is not known. */
    readonly getDemand?: (service: string) => ServiceDemand | undefined;
    /** Records the part of a service's places that each class may take. */
    readonly levels?: Pick<AdmissionLevels, "isDue" | "record">;
    /** Share of other entries' requests at an upstream that are as likely to end soon as others; none where not given. */
    readonly getSteadyShare?: (id: string) => number;
    /** Whether the memory of a service's engines is checked in tokens, instead of by usual sizes; by default it is not. */
    readonly isMemoryChecked?: (service: string) => boolean;
    /** Memory of an engine as learned from declines; without it, the memory by its profile. */
    readonly getLimitTokens?: (engine: string, contextTokens: number) => number;
}

/** Selects targets. */
export class TargetChooser {
    private readonly candidates: PathCandidates;
    private readonly room: PathRoom;
    private readonly memory: MemoryUse;
    private readonly draws = new WeakMap<RequestContext, number>();

    /**
     * @param options - upstreams and their load
     */
    constructor(private readonly options: TargetChooserOptions) {
        this.candidates = new PathCandidates(options);
        this.room = new PathRoom(options);
        this.memory = new MemoryUse({
            ...options,
            getLocalLoad: (id) => options.health.getLoad(id),
            getHoldMs: (ids) => options.health.computeMeanAnswerMs(ids),
        });
    }

    /**
     * Computes the tokens that all entries' requests hold in an engine.
     * @param id - the engine
     * @returns tokens, or undefined where no path is known that passes it
     */
    getUsedTokens(id: string): number | undefined {
        return this.memory.getUsedTokens(id);
    }

    /**
     * Selects the target of the next attempt.
     * @param run - the request
     * @param lastEventId - event after which a stream is resumed
     * @param isUnderWay - whether the caller has received part of the answer, so that the request may go to a full
     * target where none has room
     * @returns the target, or why there is none
     */
    choose(run: RequestContext, lastEventId: string | undefined, isUnderWay: boolean): TargetChoice {
        const { service } = run.admitted;
        return service.engine === undefined
            ? this.choosePlain(run, service)
            : this.chooseModel(run, service, service.engine, lastEventId, isUnderWay);
    }

    private choosePlain(run: RequestContext, service: RoutedService): TargetChoice {
        const { health, getRemoteLoad, random } = this.options;
        const accepting = this.listAccepting(service.name);
        const untried = accepting.filter((one) => !run.attemptedUpstreams.has(one.id));
        // Where all upstreams are suspected, they are used anyway; where all are in backoff, nothing is sent.
        const ready = this.listWithRoom(untried);
        const usable = ready.filter((one) => health.isUsable(one.id));
        const candidates = usable.length > 0 ? usable : ready;
        const typicalMs = health.computeTypicalAnswerMs(candidates.map(({ id }) => id));
        // Ties are broken randomly, so that entries without load information don't all choose the same upstream.
        const scored = candidates.map((one) => {
            const score = health.computeScore(one.id, getRemoteLoad(one.id).open, typicalMs);
            return { one, score: score * (1 + TIE_JITTER * random()) };
        });
        scored.sort((left, right) => left.score - right.score);
        const best = scored.find(({ one }) => this.claimPermit(run, one.id))?.one;
        if (best !== undefined) {
            return { kind: "target", target: this.createTarget(run, best.id, best.address, undefined, undefined) };
        }
        return candidates.length === 0
            ? this.findRestingPlain(accepting, untried) ?? { kind: "none" }
            : this.createLimitedChoice(candidates.map(({ id }) => id));
    }

    private claimPermit(run: RequestContext, id: string): boolean {
        const { organisation, route } = run.admitted;
        return this.options.rateLimiter.claimPermit(id, {
            request: run,
            priority: organisation?.priority ?? route.priority,
            maxWaitMs: computeReservedWaitMs(run),
        });
    }

    private createLimitedChoice(ids: readonly string[]): TargetChoice {
        return { kind: "limited", ...this.options.rateLimiter.computeWait(ids), upstreams: ids };
    }

    private chooseModel(
        run: RequestContext,
        service: RoutedService,
        engine: EngineProfile,
        lastEventId: string | undefined,
        isUnderWay: boolean,
    ): TargetChoice {
        const { view } = this.options;
        const chains = this.candidates.list(run, service);
        if (chains.length === 0) {
            return this.findResting(service)
                ?? { kind: this.hasShortage(service.name, engine) ? "too-few-engines" : "none" };
        }
        this.options.shortage.recordSufficient(service.name);
        const getClassRoom = this.room.createClassRoom(run, view.routing?.ranks.get(service.name), chains, engine);
        const unreported = this.options.estimateUnreported(service.name);
        const isMemoryChecked = this.options.isMemoryChecked?.(service.name) === true;
        const memory = isMemoryChecked
            ? this.memory.startCheck(service, engine, {
                usable: this.candidates.listUsable(service),
                candidates: chains,
                unreported,
            })
            : undefined;
        const { size } = run.admitted.call;
        const draw = isMemoryChecked ? this.getDraw(run) : this.options.random();
        const createChoice = (isRoomNeeded: boolean) => (subset: readonly Chain[]): LoadedChain | undefined => {
            memory?.startAssigning(subset);
            return chooseChainByStaleLoad({
                chains: subset.map((chain) => this.getLoadedChain(chain)),
                size: size ?? DEFAULT_REQUEST_SIZE,
                unreportedRequests: unreported * subset.length / chains.length,
                hasCapacity: (loaded) =>
                    !isRoomNeeded || (
                        memory?.hasRoom(loaded.chain, size) !== false
                        && this.room.hasRoom(run, loaded, engine, { getClassRoom, isMemoryChecked })
                    ),
                recordAssigned: memory === undefined ? undefined : (chain) => {
                    memory.recordAssigned(chain);
                },
                computeCost: getClassRoom === undefined ? undefined : (loaded) => computeFill(getClassRoom(loaded)),
                draw,
            });
        };
        const limited = new Set<string>();
        let chosen: LoadedChain | undefined;
        const tiers = this.candidates.listTiers(chains, service.name, !isUnderWay && run.attempts === 0);
        for (const isRoomNeeded of isUnderWay ? (isMemoryChecked ? [true, false] : [false]) : [true]) {
            for (const tier of tiers) {
                chosen ??= this.chooseWithPermit(run, tier, limited, createChoice(isRoomNeeded));
            }
        }
        if (getClassRoom !== undefined && !isUnderWay) {
            this.recordClassRoom(run, chains, engine);
        }
        const first = chosen?.chain.stages[0]?.engine;
        if (chosen === undefined || first === undefined) {
            return limited.size > 0
                ? this.createLimitedChoice([...limited])
                : { kind: "full", ...this.describeNearest(chains, getClassRoom) };
        }
        const { stages } = chosen.chain;
        return { kind: "target", target: this.createTarget(run, first.id, first.address, stages, lastEventId) };
    }

    /** Records the room of a request's class; at most once a second, as it is computed for all paths. */
    private recordClassRoom(run: RequestContext, chains: readonly Chain[], engine: EngineProfile): void {
        const { view, levels } = this.options;
        const { service, route, organisation } = run.admitted;
        const rank = view.routing?.ranks.get(service.name)?.getRank(route, organisation) ?? 0;
        if (levels?.isDue(service.name, rank) === true) {
            const loaded = chains.map((chain) => this.getLoadedChain(chain));
            levels.record(service.name, rank, this.room.computeClassShare(service.name, rank, loaded, engine), {
                paths: chains.length,
                open: loaded.reduce((sum, { open }) => sum + open, 0),
            });
        }
    }

    /** Describes who holds the places of the path that comes nearest to taking a request. */
    private describeNearest(
        chains: readonly Chain[],
        getClassRoom: GetClassRoom | undefined,
    ): { readonly takenBy?: string; } {
        if (getClassRoom === undefined) {
            return {};
        }
        const [nearest] = chains.map((chain) => this.getLoadedChain(chain))
            .map((loaded) => ({ loaded, fill: computeFill(getClassRoom(loaded)) }))
            .sort((one, other) => one.fill - other.fill);
        const open = nearest === undefined
            ? []
            : this.getLoad(getFirstEngineId(nearest.loaded.chain)).open_by_rank ?? [];
        return {
            takenBy: open.flatMap((count, rank) => count > 0 ? [`${String(rank)}:${String(count)}`] : []).join(","),
        };
    }

    private getLoadedChain(chain: Chain): LoadedChain {
        const reported = this.getLoad(getFirstEngineId(chain));
        return { chain, ...reported, reported };
    }

    /**
     * One draw for each request: one that drew anew whenever it looks for room again would take more than its share. It is
     * independent of the draw in the request's context, which decides how much room its class gives it.
     */
    private getDraw(run: RequestContext): number {
        const draw = this.draws.get(run) ?? this.options.random();
        this.draws.set(run, draw);
        return draw;
    }

    /**
     * Skips chains whose first engine has no permit left and collects these engines, so that a request that another
     * chain can serve goes there at once.
     */
    private chooseWithPermit(
        run: RequestContext,
        subset: readonly Chain[],
        limited: Set<string>,
        choose: (chains: readonly Chain[]) => LoadedChain | undefined,
    ): LoadedChain | undefined {
        for (;;) {
            const loaded = choose(subset.filter((chain) => !limited.has(getFirstEngineId(chain))));
            if (loaded === undefined || this.claimPermit(run, getFirstEngineId(loaded.chain))) {
                return loaded;
            }
            limited.add(getFirstEngineId(loaded.chain));
        }
    }

    /**
     * The remaining upstreams are in backoff or full, or the request has tried all upstreams and all are in backoff
     * now.
     */
    private findRestingPlain(
        accepting: readonly RegisteredUpstream[],
        untried: readonly RegisteredUpstream[],
    ): TargetChoice | undefined {
        const { backoffs } = this.options;
        const areAllResting = accepting.every(({ id }) => backoffs.isBackingOff(id));
        return untried.length > 0 || areAllResting
            ? this.createRestingChoice(areAllResting ? accepting : untried)
            : undefined;
    }

    /** Checks whether the chain is incomplete only because of engines that are in backoff. */
    private findResting(service: RoutedService): TargetChoice | undefined {
        const { view, backoffs, leaving } = this.options;
        const resting = this.listAccepting(service.name).filter((one) => !backoffs.hasCapacity(one.id));
        const key = `ignoring backoff, accepting ${leaving.formatAccepting()}`;
        const isComplete = resting.length > 0
            && view.getChains(service, (id) => leaving.canStillAccept(id), key).length > 0;
        return isComplete ? this.createRestingChoice(resting) : undefined;
    }

    /**
     * Upstreams that are shutting down accept requests only where no other is left, and only early in their drain time.
     */
    private listAccepting(service: string): readonly RegisteredUpstream[] {
        const { view, leaving } = this.options;
        const ready = view.listReady(service);
        const staying = ready.filter((one) => !leaving.isLeaving(one.id));
        return staying.length > 0 ? staying : ready.filter((one) => leaving.canStillAccept(one.id));
    }

    /**
     * Where one upstream has recently asked for a backoff, the others are not filled up to the point where they ask for
     * one, too.
     */
    private listWithRoom(upstreams: readonly RegisteredUpstream[]): readonly RegisteredUpstream[] {
        const { backoffs, health, getRemoteLoad, countEntries } = this.options;
        const isLimited = upstreams.some(({ id }) => backoffs.hasBackedOffRecently(id));
        const entries = countEntries();
        return upstreams.filter(({ id, slots }) => {
            const openHere = health.getLoad(id).open;
            const openElsewhere = getRemoteLoad(id).open;
            const hasRoom = !isLimited || hasUpstreamCapacity({ slots, openHere, openElsewhere, entries });
            return hasRoom && backoffs.hasCapacity(id);
        });
    }

    private createRestingChoice(upstreams: readonly RegisteredUpstream[]): TargetChoice | undefined {
        const { backoffs } = this.options;
        if (!upstreams.some(({ id }) => backoffs.hasBackedOffRecently(id))) {
            return undefined;
        }
        const ids = upstreams.map(({ id }) => id);
        return {
            kind: "resting",
            remainingMs: backoffs.computeRemainingMs(ids),
            upstreams: ids.filter((id) => !backoffs.hasCapacity(id)),
        };
    }

    private hasShortage(service: string, engine: EngineProfile): boolean {
        const { view, shortage } = this.options;
        if (canHoldModel(view.listReady(service).map(({ accelerator = "" }) => accelerator), engine)) {
            shortage.recordSufficient(service);
            return false;
        }
        return shortage.recordShortage(service);
    }

    /**
     * Checks whether a stream can continue on another path.
     * @param run - its request
     * @returns true where there is a path that was not tried yet and is not stalled
     */
    hasOtherPath(run: RequestContext): boolean {
        return this.candidates.hasOther(run);
    }

    private getLoad(id: string): UpstreamLoad {
        return sumLoads(this.options.health.getLoad(id), this.options.getRemoteLoad(id));
    }

    private createTarget(
        run: RequestContext,
        upstreamId: string,
        address: string,
        stages: CallTarget["stages"],
        lastEventId: string | undefined,
    ): CallTarget {
        const { organisation, route, service } = run.admitted;
        const { view } = this.options;
        const urgency = getUrgency(run, lastEventId !== undefined);
        const ranks = view.routing?.ranks.get(service.name);
        const rank = ranks?.isRanked === true ? ranks.getRank(route, organisation) : undefined;
        return {
            upstreamId,
            upstreamName: getIncarnation(view.getUpstream(upstreamId) ?? { id: upstreamId }).name,
            address,
            stages,
            remainingMs: Math.max(1, Math.floor(run.remainingMs)),
            organisation: organisation?.name,
            priority: rank === undefined
                ? computePriority(
                    organisation?.priority ?? route.priority,
                    view.routing?.lowestPriority ?? 0,
                    urgency,
                )
                : computeRankPriority(rank, ranks?.ranks.length ?? 1, urgency),
            ...(rank === undefined ? {} : { rank }),
            lastEventId,
        };
    }
}

function getUrgency(run: RequestContext, isUnderWay: boolean): Urgency {
    if (isUnderWay) {
        return "under-way";
    }
    return run.isLikelyRetry || run.ageMs > run.admitted.route.objective_ms ? "late" : "fresh";
}

function getFirstEngineId(chain: Chain): string {
    return chain.stages[0]?.engine.id ?? "";
}

/** Relative jitter that breaks ties between scores. */
const TIE_JITTER = 0.05;
/** Size of a request that does not state one; only its being equal on all paths matters. */
const DEFAULT_REQUEST_SIZE: RequestSize = { promptTokens: 500, answerTokens: 100 };
