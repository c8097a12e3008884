/**
 * All upstreams of the configuration version in force. Engines are polled for their status.
 */
import {
    chooseCandidate,
    chooseReplacement,
    chooseRoute,
    computeLoadScore,
    createHolderIndex,
    type Holder,
    type HolderIndex,
    type LimitNotice,
    type RouteStage,
} from "@crankfork/decisions";
import type { Model, Upstream } from "@crankfork/schemas";
import type { EngineClient } from "../../connection/engineClient.js";
import { ExchangeError } from "../../connection/httpClient.js";
import type { ConfigurationView } from "../../version/activeConfiguration.js";
import { startPeriodicTask, type StopPeriodicTask } from "../startPeriodicTask.js";
import { startTask } from "../startTask.js";
import { UpstreamState } from "./upstreamState.js";

/** Dependencies of the table. */
export interface UpstreamTableFunctions {
    readonly createEngine: (upstream: Upstream) => EngineClient;
    /** Requests in flight at an upstream that other live entries sent. */
    readonly countOthersInFlight: (upstream: string) => number;
    readonly random: () => number;
    /** Number of entries that share an upstream's rate limit. */
    readonly countEntries: () => number;
    /** Called on each change of an upstream's state. */
    readonly handleChange: (state: UpstreamState, change: UpstreamChange) => void;
}

/** Kind of change; a metric label and a log field. */
export type UpstreamChange = "lost" | "back" | "leaving" | "held-layers" | "rests" | "rests-longer" | "limit";

/** Consecutive failed status polls after which an engine is marked unreachable. */
const MAX_FAILED_POLLS = 2;

/** The upstreams as this instance sees them. */
export class UpstreamTable {
    private states = new Map<string, UpstreamState>();
    private indexes = new Map<string, HolderIndex>();
    private stopTask: StopPeriodicTask | undefined;
    private leavingAddresses: ReadonlySet<string> = new Set();

    /**
     * @param pollMs - interval between two status polls of an engine
     * @param functions - dependencies
     */
    constructor(private readonly pollMs: number, private readonly functions: UpstreamTableFunctions) {}

    /** Starts polling. */
    start(): void {
        this.stopTask = startPeriodicTask("engine-poll", this.pollMs, () => this.pollAll());
    }

    /** Stops polling. */
    stop(): void {
        this.stopTask?.();
    }

    /**
     * Applies a configuration version. Upstreams with an unchanged address and kind keep their state.
     * @param view - the configuration version
     */
    applyConfiguration(view: ConfigurationView): void {
        const old = this.states;
        this.states = new Map(view.configuration.upstreams.map((upstream) => {
            const known = old.get(upstream.name);
            const isSame = known?.upstream.address === upstream.address && known.upstream.kind === upstream.kind;
            return [upstream.name, isSame ? known.updateUpstream(upstream) : this.createState(upstream)];
        }));
        this.indexes.clear();
        startTask("engine-poll", () => this.pollAll());
    }

    /**
     * Gets the state of an upstream.
     * @param name - name of the upstream
     * @returns its state, or undefined if it is not in the configuration
     */
    get(name: string): UpstreamState | undefined {
        return this.states.get(name);
    }

    /**
     * Gets the states of all upstreams.
     */
    getAll(): readonly UpstreamState[] {
        return [...this.states.values()];
    }

    /**
     * Counts this entry's requests in flight, for gossip.
     * @returns counts by upstream, without zero counts
     */
    countInFlight(): Readonly<Record<string, number>> {
        const busy = this.getAll().filter((state) => state.ownInFlight > 0);
        return Object.fromEntries(busy.map((state) => [state.upstream.name, state.ownInFlight]));
    }

    /**
     * Replaces the set of instances that the platform lists as leaving.
     * @param addresses - addresses of the leaving instances
     */
    setLeavingAddresses(addresses: readonly string[]): void {
        this.leavingAddresses = new Set(addresses);
        for (const state of this.states.values()) {
            const wasLeaving = state.isLeaving;
            state.isListedLeaving = this.leavingAddresses.has(state.upstream.address);
            this.reportLeaving(state, wasLeaving);
        }
    }

    /**
     * Chooses a route for a model.
     * @param model - the model
     * @param avoided - upstreams that failed this request already
     * @returns the stages, or undefined if the usable upstreams don't hold all layers
     */
    chooseRoute(model: Model, avoided: ReadonlySet<string>): readonly RouteStage[] | undefined {
        const { score, isUsable } = this.createHolderFunctions(avoided);
        return chooseRoute(this.getIndex(model), score, isUsable, this.functions.random);
    }

    /**
     * Chooses another upstream for a stage of a route.
     * @param model - the model
     * @param stage - the stage to replace
     * @param avoided - upstreams that failed this request already
     * @returns the replacement, or undefined if no usable upstream holds exactly the layers of the stage
     */
    chooseReplacement(model: Model, stage: RouteStage, avoided: ReadonlySet<string>): RouteStage | undefined {
        const { score, isUsable } = this.createHolderFunctions(avoided);
        return chooseReplacement(this.getIndex(model), stage, score, isUsable, this.functions.random);
    }

    /**
     * Chooses an upstream of a plain service.
     * @param names - upstreams of the service
     * @param avoided - upstreams that failed this request already
     * @returns the upstream, or undefined if none is usable
     */
    chooseServiceUpstream(names: readonly string[], avoided: ReadonlySet<string>): UpstreamState | undefined {
        const nowMs = performance.now();
        const usable = names.flatMap((name) => {
            const state = this.get(name);
            return state !== undefined && !avoided.has(name) && state.isUsable(nowMs) ? [state] : [];
        });
        const score = (state: UpstreamState): number => this.computeScore(state.upstream.name, nowMs);
        return chooseCandidate(usable, score, this.functions.random);
    }

    /**
     * Records a failed exchange.
     * @param state - the upstream
     * @param error - the failure
     */
    recordFailure(state: UpstreamState, error: ExchangeError): void {
        if (error.failure === "cancelled") {
            return;
        }
        if (error.retryAfterMs !== undefined) {
            this.recordRest(state, error.retryAfterMs);
            return;
        }
        state.circuit.recordFailure(performance.now());
        if (error.failure === "not-reached" && state.engine !== undefined) {
            this.markUnreachable(state);
        }
    }

    /**
     * Records that an upstream asked for a backoff: no requests are sent to it until the backoff ends.
     * @param state - the upstream
     * @param restMs - duration of the backoff from now
     */
    recordRest(state: UpstreamState, restMs: number): void {
        const change = state.backoff.recordRetryAfter(restMs, performance.now());
        if (change !== "unchanged") {
            this.functions.handleChange(state, change === "begun" ? "rests" : "rests-longer");
        }
    }

    /**
     * Applies a rate limit that an upstream announced in an answer.
     * @param state - the upstream
     * @param notice - the announced limit
     * @param askedMs - when the answered request was sent, on the monotonic clock
     */
    receiveLimit(state: UpstreamState, notice: LimitNotice, askedMs: number): void {
        const { countEntries, random, handleChange } = this.functions;
        const view = {
            requestSentMs: askedMs,
            nowMs: performance.now(),
            entries: countEntries(),
            randomValue: random(),
        };
        if (state.rateLimiter.receiveLimit(notice, view)) {
            handleChange(state, "limit");
        }
    }

    /**
     * Computes the time until the first of the given upstreams that are in backoff or at their rate limit accepts a
     * request.
     * @param names - the upstreams
     * @returns milliseconds, or undefined if none of them is in backoff or at its limit
     */
    computeRestMs(names: readonly string[]): number | undefined {
        const nowMs = performance.now();
        const waitsMs = names.flatMap((name) => {
            const state = this.get(name);
            if (state === undefined || (!state.backoff.isBackingOff(nowMs) && state.rateLimiter.maySend(nowMs))) {
                return [];
            }
            return [Math.max(state.backoff.endsAtMs - nowMs, state.rateLimiter.computeWaitMs(nowMs))];
        });
        return waitsMs.length === 0 ? undefined : Math.min(...waitsMs);
    }

    private createHolderFunctions(avoided: ReadonlySet<string>): {
        readonly score: (holder: Holder) => number;
        readonly isUsable: (holder: Holder) => boolean;
    } {
        const nowMs = performance.now();
        return {
            score: (holder) => this.computeScore(holder.upstream, nowMs),
            isUsable: (holder) => !avoided.has(holder.upstream) && this.get(holder.upstream)?.isUsable(nowMs) === true,
        };
    }

    private createState(upstream: Upstream): UpstreamState {
        const engine = upstream.kind === "engine" ? this.functions.createEngine(upstream) : undefined;
        const state = new UpstreamState(upstream, engine);
        state.isListedLeaving = this.leavingAddresses.has(upstream.address);
        return state;
    }

    private computeScore(name: string, nowMs: number): number {
        const state = this.states.get(name);
        if (state === undefined) {
            return Number.POSITIVE_INFINITY;
        }
        const load = state.lastStatus?.load;
        return computeLoadScore({
            reported: load === undefined ? undefined : load.running + load.waiting,
            reportAgeMs: state.getReportAgeMs(nowMs),
            ownInFlight: state.ownInFlight,
            ownSinceReport: state.countStartedSinceReport(),
            othersInFlight: this.functions.countOthersInFlight(name),
            slots: state.upstream.slots,
            speed: state.upstream.speed,
        });
    }

    private getIndex(model: Model): HolderIndex {
        const name = `${model.name}@${model.version}`;
        const known = this.indexes.get(name);
        if (known !== undefined) {
            return known;
        }
        const holders = this.getAll().flatMap((state) => createHolders(state, model));
        const index = createHolderIndex(holders, model.layers);
        this.indexes.set(name, index);
        return index;
    }

    /**
     * Polls all engines once, except those in backoff.
     * @returns resolves once each poll has succeeded, failed or timed out
     */
    async pollAll(): Promise<void> {
        const polls = this.getAll().flatMap((state) =>
            state.engine === undefined || state.backoff.isBackingOff(performance.now())
                ? []
                : [this.poll(state, state.engine)]
        );
        await Promise.all(polls);
    }

    private async poll(state: UpstreamState, engine: EngineClient): Promise<void> {
        const previousHolds = JSON.stringify(state.holds);
        try {
            const status = await engine.getStatus();
            const wasLeaving = state.isLeaving;
            state.receiveStatus(status, performance.now());
            state.failedPolls = 0;
            if (state.reachability !== "reachable") {
                state.reachability = "reachable";
                state.circuit.recordSuccess();
                this.functions.handleChange(state, "back");
            }
            this.reportLeaving(state, wasLeaving);
        }
        catch (error) {
            if (error instanceof ExchangeError && error.retryAfterMs !== undefined) {
                // An answer that asks for a backoff shows that the engine is reachable.
                this.recordRest(state, error.retryAfterMs);
                return;
            }
            state.failedPolls += 1;
            const isRefused = error instanceof ExchangeError && error.failure === "not-reached";
            if (isRefused || state.failedPolls >= MAX_FAILED_POLLS) {
                this.markUnreachable(state);
            }
        }
        if (previousHolds !== JSON.stringify(state.holds)) {
            this.indexes.clear();
            this.functions.handleChange(state, "held-layers");
        }
    }

    private reportLeaving(state: UpstreamState, wasLeaving: boolean): void {
        if (!wasLeaving && state.isLeaving) {
            this.functions.handleChange(state, "leaving");
        }
    }

    private markUnreachable(state: UpstreamState): void {
        if (state.reachability === "unreachable") {
            return;
        }
        state.reachability = "unreachable";
        state.engine?.rejectPendingSteps();
        this.functions.handleChange(state, "lost");
    }
}

function createHolders(state: UpstreamState, model: Model): readonly Holder[] {
    return state.holds
        .filter((held) => held.model === model.name && held.version === model.version)
        .map((held) => ({ upstream: state.upstream.name, firstLayer: held.first_layer, endLayer: held.end_layer }));
}
