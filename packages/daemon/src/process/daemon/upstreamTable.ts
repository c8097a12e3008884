/**
 * All upstreams of the version in force, asked for their status from time to time.
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
import type { EngineFunctions } from "../../connection/engineClient.js";
import { ExchangeError } from "../../connection/httpClient.js";
import type { ConfigurationView } from "../../version/configurationInForce.js";
import { UpstreamState } from "./upstreamState.js";

/** What the table needs from the process around it. */
export interface UpstreamTableFunctions {
    readonly createEngine: (upstream: Upstream) => EngineFunctions;
    /** Requests in flight at an upstream from other live entries. */
    readonly countOthersInFlight: (upstream: string) => number;
    readonly random: () => number;
    /** Entries that share what an upstream takes. */
    readonly countEntries: () => number;
    /** Called when an upstream was lost, came back or began to leave. */
    readonly handleChange: (state: UpstreamState, change: UpstreamChange) => void;
}

/** What changed about an upstream. */
export type UpstreamChange = "lost" | "back" | "leaving" | "held-layers" | "rests" | "rests-longer" | "limit";

/** Status questions without an answer after which an engine is taken for lost. */
const MOST_SILENT_POLLS = 2;

/** The upstreams as this instance sees them. */
export class UpstreamTable {
    private states = new Map<string, UpstreamState>();
    private indexes = new Map<string, HolderIndex>();
    private timer: NodeJS.Timeout | undefined;
    private leavingAddresses: ReadonlySet<string> = new Set();

    /**
     * @param pollMs - between two status questions to one engine
     * @param functions - what it needs
     */
    constructor(private readonly pollMs: number, private readonly functions: UpstreamTableFunctions) {}

    /** Starts to ask. */
    start(): void {
        this.timer = setInterval(() => {
            void this.pollAll();
        }, this.pollMs);
    }

    /** Stops to ask. */
    stop(): void {
        clearInterval(this.timer);
    }

    /**
     * Takes a new version: upstreams whose configuration is as before keep their state.
     * @param view - the version
     */
    applyConfiguration(view: ConfigurationView): void {
        const old = this.states;
        this.states = new Map(view.configuration.upstreams.map((upstream) => {
            const known = old.get(upstream.name);
            const isSame = known?.upstream.address === upstream.address && known.upstream.kind === upstream.kind;
            return [upstream.name, isSame ? known.updateUpstream(upstream) : this.createState(upstream)];
        }));
        this.indexes.clear();
        void this.pollAll();
    }

    /**
     * Gets an upstream.
     * @param name - its name
     * @returns what is known of it
     */
    get(name: string): UpstreamState | undefined {
        return this.states.get(name);
    }

    /**
     * Gets all upstreams.
     * @returns what is known of each
     */
    getAll(): readonly UpstreamState[] {
        return [...this.states.values()];
    }

    /**
     * Counts own requests in flight, for gossip.
     * @returns counts by upstream; those with none are left out
     */
    countInFlight(): Readonly<Record<string, number>> {
        const busy = this.getAll().filter((state) => state.ownInFlight > 0);
        return Object.fromEntries(busy.map((state) => [state.upstream.name, state.ownInFlight]));
    }

    /**
     * Takes the platform's list of instances that leave; it replaces the last one.
     * @param addresses - their addresses
     */
    setLeavingAddresses(addresses: readonly string[]): void {
        this.leavingAddresses = new Set(addresses);
        for (const state of this.states.values()) {
            const wasLeaving = state.isLeaving;
            state.isListedLeaving = this.leavingAddresses.has(state.upstream.address);
            this.handleLeaving(state, wasLeaving);
        }
    }

    /**
     * Chooses a route for a model.
     * @param model - the model
     * @param avoided - upstreams that failed this request already
     * @returns the stages, or undefined where no usable upstreams hold all layers
     */
    chooseRoute(model: Model, avoided: ReadonlySet<string>): readonly RouteStage[] | undefined {
        const { score, isUsable } = this.createHolderFunctions(avoided);
        return chooseRoute(this.getIndex(model), score, isUsable, this.functions.random);
    }

    /**
     * Chooses another upstream for one stage of a route.
     * @param model - the model
     * @param stage - the stage to replace
     * @param avoided - upstreams that failed this request already
     * @returns the stage elsewhere, or undefined where no usable upstream holds just its layers
     */
    chooseReplacement(model: Model, stage: RouteStage, avoided: ReadonlySet<string>): RouteStage | undefined {
        const { score, isUsable } = this.createHolderFunctions(avoided);
        return chooseReplacement(this.getIndex(model), stage, score, isUsable, this.functions.random);
    }

    /**
     * Chooses an instance of a plain service.
     * @param names - its upstreams
     * @param avoided - those that failed this request already
     * @returns the upstream, or undefined where none is usable
     */
    chooseService(names: readonly string[], avoided: ReadonlySet<string>): UpstreamState | undefined {
        const nowMs = performance.now();
        const usable = names.flatMap((name) => {
            const state = this.get(name);
            return state !== undefined && !avoided.has(name) && state.isUsable(nowMs) ? [state] : [];
        });
        const score = (state: UpstreamState): number => this.computeScore(state.upstream.name, nowMs);
        return chooseCandidate(usable, score, this.functions.random);
    }

    /**
     * Marks that an exchange failed.
     * @param state - the upstream
     * @param error - what failed
     */
    recordFailure(state: UpstreamState, error: ExchangeError): void {
        if (error.failure === "cancelled") {
            return;
        }
        if (error.restMs !== undefined) {
            this.recordRest(state, error.restMs);
            return;
        }
        state.circuit.recordFailure(performance.now());
        if (error.failure === "not-reached" && state.engine !== undefined) {
            this.recordLost(state);
        }
    }

    /**
     * Keeps what an upstream asked for: nothing is sent there until its time is over.
     * @param state - the upstream
     * @param restMs - for how long, from now
     */
    recordRest(state: UpstreamState, restMs: number): void {
        const change = state.rest.record(restMs, performance.now());
        if (change !== "unchanged") {
            this.functions.handleChange(state, change === "begun" ? "rests" : "rests-longer");
        }
    }

    /**
     * Takes what an upstream says of the rate that it takes.
     * @param state - the upstream
     * @param notice - what its answer said
     * @param askedMs - when the request left that it answered
     */
    receiveLimit(state: UpstreamState, notice: LimitNotice, askedMs: number): void {
        const { countEntries, random, handleChange } = this.functions;
        const view = { askedMs, nowMs: performance.now(), entries: countEntries(), randomValue: random() };
        if (state.rateLimiter.receiveLimit(notice, view)) {
            handleChange(state, "limit");
        }
    }

    /**
     * Computes how long it takes until the first of some upstreams that rest or get as much as they take wants a request.
     * @param names - the upstreams
     * @returns milliseconds; undefined where there is none of those
     */
    computeRestMs(names: readonly string[]): number | undefined {
        const nowMs = performance.now();
        const lefts = names.flatMap((name) => {
            const state = this.get(name);
            if (state === undefined || (!state.rest.isResting(nowMs) && state.rateLimiter.maySend(nowMs))) {
                return [];
            }
            return [Math.max(state.rest.endsAtMs - nowMs, state.rateLimiter.computeWaitMs(nowMs))];
        });
        return lefts.length === 0 ? undefined : Math.min(...lefts);
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
     * Asks all engines once.
     * @returns resolves when each has answered or failed to; a status may take no longer than its timeout
     */
    async pollAll(): Promise<void> {
        const polls = this.getAll().flatMap((state) =>
            state.engine === undefined || state.rest.isResting(performance.now())
                ? []
                : [this.poll(state, state.engine)]
        );
        await Promise.all(polls);
    }

    private async poll(state: UpstreamState, engine: EngineFunctions): Promise<void> {
        const heldBefore = JSON.stringify(state.holds);
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
            this.handleLeaving(state, wasLeaving);
        }
        catch (error) {
            if (error instanceof ExchangeError && error.restMs !== undefined) {
                // It has answered: it is there.
                this.recordRest(state, error.restMs);
                return;
            }
            state.failedPolls += 1;
            const isRefused = error instanceof ExchangeError && error.failure === "not-reached";
            if (isRefused || state.failedPolls >= MOST_SILENT_POLLS) {
                this.recordLost(state);
            }
        }
        if (heldBefore !== JSON.stringify(state.holds)) {
            this.indexes.clear();
            this.functions.handleChange(state, "held-layers");
        }
    }

    private handleLeaving(state: UpstreamState, wasLeaving: boolean): void {
        if (!wasLeaving && state.isLeaving) {
            this.functions.handleChange(state, "leaving");
        }
    }

    private recordLost(state: UpstreamState): void {
        if (state.reachability === "unreachable") {
            return;
        }
        state.reachability = "unreachable";
        state.engine?.abandonSteps();
        this.functions.handleChange(state, "lost");
    }
}

function createHolders(state: UpstreamState, model: Model): readonly Holder[] {
    return state.holds
        .filter((held) => held.model === model.name && held.version === model.version)
        .map((held) => ({ upstream: state.upstream.name, firstLayer: held.first_layer, endLayer: held.end_layer }));
}
