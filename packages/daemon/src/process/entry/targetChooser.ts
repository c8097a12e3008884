/**
 * Chooses where a try of a routed request goes, by what this entry and the others have open.
 */
import {
    canHoldModel,
    type Chain,
    type ChainLoad,
    chooseChainLate,
    computeLoadNow,
    computePreferredCount,
    computePriority,
    hasChainRoom,
    hasPlainRoom,
    listOpenChains,
    listPreferredChains,
    type LoadedChain,
    type RequestSize,
    type Standing,
} from "@crankfork/decisions";
import { type EngineProfile, getLife, type RegisteredUpstream, type RoutedService } from "@crankfork/schemas";
import { UPSTREAM_KEEP_ALIVE_MS } from "../../connection/upstreamExchange.js";
import type { RequestContext } from "../../request/requestContext.js";
import type { TargetChoice } from "../../request/requestFunctions.js";
import type { CallTarget } from "../../request/routedCall.js";
import { computeReservedWaitMs } from "../../request/waitForTarget.js";
import type { FleetView } from "../../version/fleetView.js";
import type { UpstreamRests } from "../upstreamRests.js";
import type { EngineShortage } from "./engineShortage.js";
import type { LeavingNotices } from "./leavingNotices.js";
import type { LimitSends } from "./limitSends.js";
import { getPathName, type PathName } from "./pathName.js";
import type { UpstreamHealth } from "./upstreamHealth.js";

/** What the choice rests on. */
export interface TargetChooserOptions {
    /** Names this entry. */
    readonly instance: string;
    readonly view: FleetView;
    readonly health: UpstreamHealth;
    readonly shortage: EngineShortage;
    readonly rests: UpstreamRests;
    readonly leaving: LeavingNotices;
    /** What may be sent to upstreams that named a limit. */
    readonly sends: LimitSends;
    /** What other entries have open at an upstream, as the leader told last. */
    readonly getLoadElsewhere: (id: string) => ChainLoad;
    /** Whether a path stood still a moment ago. */
    readonly isAvoided: (name: PathName) => boolean;
    /** Requests of a service that others are expected to have sent since their loads were told. */
    readonly countUnseen: (service: string) => number;
    readonly countEntries: () => number;
    /** What this entry sends to a service. */
    readonly getRequestsASecond: (service: string) => number;
    /** How long ago others told their loads, on average. */
    readonly getLoadAgeMs: () => number;
    readonly random: () => number;
}

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
     * @param isUnderWay - whether the caller has a part of its answer already, so that it goes on wherever it can
     * @returns the target, or whether there is none or all are full
     */
    choose(run: RequestContext, lastEventId: string | undefined, isUnderWay: boolean): TargetChoice {
        const { service } = run.admitted;
        return service.engine === undefined
            ? this.choosePlain(run, service)
            : this.chooseModel(run, service, service.engine, lastEventId, isUnderWay);
    }

    private choosePlain(run: RequestContext, service: RoutedService): TargetChoice {
        const { health, getLoadElsewhere, random } = this.options;
        const taking = this.listTaking(service.name);
        const untried = taking.filter((one) => !run.attemptedUpstreams.has(one.id));
        // Where all are suspected they are used all the same; where all rest nothing is sent.
        const ready = this.listWithRoom(untried);
        const usable = ready.filter((one) => health.isUsable(one.id));
        const candidates = usable.length > 0 ? usable : ready;
        const usualMs = health.computeUsualAnswerMs(candidates.map(({ id }) => id));
        // Equal scores are drawn, so that entries that know nothing don't all choose the same.
        const scored = candidates.map((one) => {
            const score = health.computeScore(one.id, getLoadElsewhere(one.id).open, usualMs);
            return { one, score: score * (1 + TIE_SPREAD * random()) };
        });
        scored.sort((left, right) => left.score - right.score);
        const best = scored.find(({ one }) => this.claimSend(run, one.id))?.one;
        if (best !== undefined) {
            return { kind: "target", target: this.createTarget(run, best.id, best.address, undefined, undefined) };
        }
        return candidates.length === 0
            ? this.findRestingPlain(taking, untried) ?? { kind: "none" }
            : this.createLimited(candidates.map(({ id }) => id));
    }

    private claimSend(run: RequestContext, id: string): boolean {
        const { organisation, route } = run.admitted;
        return this.options.sends.claimSend(id, {
            request: run,
            priority: organisation?.priority ?? route.priority,
            patienceMs: computeReservedWaitMs(run),
        });
    }

    private createLimited(ids: readonly string[]): TargetChoice {
        return { kind: "limited", ...this.options.sends.computeLeft(ids), upstreams: ids };
    }

    private chooseModel(
        run: RequestContext,
        service: RoutedService,
        engine: EngineProfile,
        lastEventId: string | undefined,
        isUnderWay: boolean,
    ): TargetChoice {
        const chains = this.listChains(run, service);
        if (chains.length === 0) {
            return this.findResting(service)
                ?? { kind: this.isShort(service.name, engine) ? "too-few-engines" : "none" };
        }
        this.options.shortage.recordEnough(service.name);
        const { objective_ms } = run.admitted.route;
        const ageMs = this.options.getLoadAgeMs();
        const hasRoom = ({ chain, ...load }: LoadedChain): boolean =>
            hasChainRoom(chain, computeLoadNow(chain, load, engine, ageMs), engine, objective_ms);
        const chooseLoaded = (some: readonly Chain[]): LoadedChain | undefined =>
            chooseChainLate({
                chains: some.map((chain) => ({ chain, ...this.getLoad(getFirstId(chain)) })),
                size: run.admitted.call.size ?? UNKNOWN_SIZE,
                unseen: this.options.countUnseen(service.name) * some.length / chains.length,
                hasRoom: (loaded) => isUnderWay || hasRoom(loaded),
                draw: this.options.random(),
            });
        const limited = new Set<string>();
        const chooseAmong = (some: readonly Chain[]): LoadedChain | undefined =>
            this.chooseWithSend(run, some, limited, chooseLoaded);
        const preferred = this.listPreferred(chains, service.name);
        const chosen = chooseAmong(preferred) ?? (preferred.length < chains.length ? chooseAmong(chains) : undefined);
        const first = chosen?.chain.stages[0]?.engine;
        if (chosen === undefined || first === undefined) {
            return limited.size > 0 ? this.createLimited([...limited]) : { kind: "full" };
        }
        const { stages } = chosen.chain;
        return { kind: "target", target: this.createTarget(run, first.id, first.address, stages, lastEventId) };
    }

    /** Passes over first engines that get as many requests as they take, and notes them: what others can serve goes there at once. */
    private chooseWithSend(
        run: RequestContext,
        some: readonly Chain[],
        limited: Set<string>,
        choose: (chains: readonly Chain[]) => LoadedChain | undefined,
    ): LoadedChain | undefined {
        for (;;) {
            const loaded = choose(some.filter((chain) => !limited.has(getFirstId(chain))));
            if (loaded === undefined || this.claimSend(run, getFirstId(loaded.chain))) {
                return loaded;
            }
            limited.add(getFirstId(loaded.chain));
        }
    }

    /** Those that are left rest or are full; or the request has been at all of them, and all rest now. */
    private findRestingPlain(
        taking: readonly RegisteredUpstream[],
        untried: readonly RegisteredUpstream[],
    ): TargetChoice | undefined {
        const { rests } = this.options;
        const allRest = taking.every(({ id }) => rests.isResting(id));
        return untried.length > 0 || allRest ? this.createResting(allRest ? taking : untried) : undefined;
    }

    /** Whether engines that rest are what keeps the layers from being whole. */
    private findResting(service: RoutedService): TargetChoice | undefined {
        const { view, rests, leaving } = this.options;
        const resting = this.listTaking(service.name).filter((one) => !rests.hasRoom(one.id));
        const key = `whether they rest or not, taking ${leaving.formatTaking()}`;
        const isWhole = resting.length > 0 && view.getChains(service, (id) => leaving.mayStillTake(id), key).length > 0;
        return isWhole ? this.createResting(resting) : undefined;
    }

    /** Those that leave take requests only where no other is left, and only early in their time to drain. */
    private listTaking(service: string): readonly RegisteredUpstream[] {
        const { view, leaving } = this.options;
        const ready = view.listReady(service);
        const staying = ready.filter((one) => !leaving.isLeaving(one.id));
        return staying.length > 0 ? staying : ready.filter((one) => leaving.mayStillTake(one.id));
    }

    /** Where one has asked for rest lately, the others must not be filled until they ask for it, too. */
    private listWithRoom(upstreams: readonly RegisteredUpstream[]): readonly RegisteredUpstream[] {
        const { rests, health, getLoadElsewhere, countEntries } = this.options;
        const isLimited = upstreams.some(({ id }) => rests.hasAskedLately(id));
        const entries = countEntries();
        return upstreams.filter(({ id, slots }) => {
            const openHere = health.getLoad(id).open;
            const openElsewhere = getLoadElsewhere(id).open;
            const hasRoom = !isLimited || hasPlainRoom({ slots, openHere, openElsewhere, entries });
            return hasRoom && rests.hasRoom(id);
        });
    }

    private createResting(upstreams: readonly RegisteredUpstream[]): TargetChoice | undefined {
        const { rests } = this.options;
        if (!upstreams.some(({ id }) => rests.hasAskedLately(id))) {
            return undefined;
        }
        const ids = upstreams.map(({ id }) => id);
        return { kind: "resting", leftMs: rests.computeLeftMs(ids), upstreams: ids.filter((id) => !rests.hasRoom(id)) };
    }

    private isShort(service: string, engine: EngineProfile): boolean {
        const { view, shortage } = this.options;
        if (canHoldModel(view.listReady(service).map(({ accelerator = "" }) => accelerator), engine)) {
            shortage.recordEnough(service);
            return false;
        }
        return shortage.recordShort(service);
    }

    /**
     * Tells whether a stream can go on elsewhere.
     * @param run - its request
     * @returns true where a path is there that it has not been on and that moves
     */
    hasOtherPath(run: RequestContext): boolean {
        return this.listOtherChains(run, this.listUsableChains(run.admitted.service)).length > 0;
    }

    private listPreferred(chains: readonly Chain[], service: string): readonly Chain[] {
        const { instance, getRequestsASecond } = this.options;
        return listPreferredChains(
            chains,
            instance,
            computePreferredCount(getRequestsASecond(service), UPSTREAM_KEEP_ALIVE_MS),
        );
    }

    private listChains(run: RequestContext, service: RoutedService): readonly Chain[] {
        const { view, health, rests, leaving } = this.options;
        return listOpenChains({
            usable: this.listUsableChains(service),
            listPresent: () =>
                view.getChains(
                    service,
                    (id) => !health.isAbsent(id) && rests.hasRoom(id) && leaving.mayStillTake(id),
                    `present ${health.formatAbsent()} rests ${rests.format()} taking ${leaving.formatTaking()}`,
                ),
            isTried: (chain) => run.attemptedUpstreams.has(getFirstId(chain)),
            isStill: (chain) => this.options.isAvoided(getPathName(chain.stages)),
        });
    }

    private listUsableChains(service: RoutedService): readonly Chain[] {
        const { view, health, rests, leaving } = this.options;
        return view.getChains(
            service,
            (id) => health.isUsable(id) && rests.hasRoom(id) && !leaving.isLeaving(id),
            `${health.formatSuspects()} rests ${rests.format()} leaving ${leaving.format()}`,
        );
    }

    private listOtherChains(run: RequestContext, chains: readonly Chain[]): readonly Chain[] {
        return chains.filter((chain) => {
            const isTried = run.attemptedUpstreams.has(getFirstId(chain));
            return !isTried && !this.options.isAvoided(getPathName(chain.stages));
        });
    }

    private getLoad(id: string): ChainLoad {
        const here = this.options.health.getLoad(id);
        const elsewhere = this.options.getLoadElsewhere(id);
        return { open: here.open + elsewhere.open, unstarted: here.unstarted + elsewhere.unstarted };
    }

    private createTarget(
        run: RequestContext,
        upstreamId: string,
        address: string,
        stages: CallTarget["stages"],
        lastEventId: string | undefined,
    ): CallTarget {
        const { organisation, route } = run.admitted;
        return {
            upstreamId,
            upstreamName: getLife(this.options.view.getUpstream(upstreamId) ?? { id: upstreamId }).name,
            address,
            stages,
            remainingMs: Math.max(1, Math.floor(run.remainingMs)),
            organisation: organisation?.name,
            priority: computePriority(
                organisation?.priority ?? route.priority,
                this.options.view.routing?.leastUrgent ?? 0,
                getStanding(run, lastEventId !== undefined),
            ),
            lastEventId,
        };
    }
}

function getStanding(run: RequestContext, isUnderWay: boolean): Standing {
    if (isUnderWay) {
        return "under-way";
    }
    return run.isLikelyRetry || run.ageMs > run.admitted.route.objective_ms ? "late" : "fresh";
}

function getFirstId(chain: Chain): string {
    return chain.stages[0]?.engine.id ?? "";
}

/** Spread of equal scores. */
const TIE_SPREAD = 0.05;
/** A request that does not say its size; any figure that is alike on all paths will do. */
const UNKNOWN_SIZE: RequestSize = { promptTokens: 500, answerTokens: 100 };
