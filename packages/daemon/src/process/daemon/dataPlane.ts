/**
 * What one instance does for callers: upstreams, gates, and the functions that requests run with.
 */
import type { Model, Settings, Upstream } from "@crankfork/schemas";
import type { Dispatcher } from "undici";
import { createEngineClient, type EngineFunctions } from "../../connection/engineClient.js";
import { callService } from "../../connection/serviceClient.js";
import type { ModelRequestFunctions } from "../../request/modelRequest.js";
import type { PipelineFunctions } from "../../request/pipelineRun.js";
import type { ServiceRequestFunctions } from "../../request/serviceRequest.js";
import type { ConfigurationInForce } from "../../version/configurationInForce.js";
import type { EventLog } from "../eventLog.js";
import type { Metrics } from "../metrics.js";
import { Gates } from "./admissionRegistry.js";
import type { Control } from "./controlPlane.js";
import { InFlightGossip } from "./inFlightGossip.js";
import { UpstreamTable } from "./upstreamTable.js";

/** What serving needs from the process. */
export interface ServingOptions {
    readonly settings: Settings;
    readonly agent: Dispatcher;
    readonly log: EventLog;
    readonly metrics: Metrics;
    readonly control: Control;
    readonly inForce: ConfigurationInForce;
}

/** How long a repeat of a claimed request waits for the first. */
const CLAIM_WAIT_MS = 10_000;

/** Upstreams and gates of one instance. */
export class Serving {
    readonly upstreams: UpstreamTable;
    readonly gossip: InFlightGossip;
    private readonly gates: Gates;

    /**
     * @param options - what it needs
     */
    constructor(private readonly options: ServingOptions) {
        const { settings, control, inForce } = options;
        this.gossip = new InFlightGossip(control.membership);
        this.gates = new Gates({
            queueLimit: settings.limits.queue_requests,
            // Suspected entries still count: their requests may still run.
            countEntries: () => control.membership.getLiveMembers().length,
            countOthersDemand: (gate) => this.gossip.countDemand(gate),
        });
        this.upstreams = this.createUpstreams();
        inForce.handleChange((view) => {
            this.upstreams.applyConfiguration(view);
            this.gates.applyConfiguration(view);
        });
    }

    /** Tells the other entries what runs and waits here, and lets waiting requests run where shares have grown. */
    refresh(): void {
        this.options.control.membership.updateSelf({
            in_flight: { ...this.upstreams.countInFlight() },
            demand: { ...this.gates.countDemand() },
        });
        this.startWaiting();
    }

    /** Lets waiting requests run where slots have become free. */
    startWaiting(): void {
        this.gates.startWaiting();
    }

    /**
     * Creates what a completion needs, for the version in force.
     * @returns the functions
     */
    createModelFunctions(): ModelRequestFunctions {
        return {
            view: this.options.inForce.get(),
            getGate: (model) => this.gates.getForModel(model),
            getPipeline: (model) => this.createPipelineFunctions(model),
            claims: this.options.control.claims.createFunctions(),
            claimWaitMs: CLAIM_WAIT_MS,
        };
    }

    /**
     * Creates what a call to a plain service needs, for the version in force.
     * @returns the functions
     */
    createServiceFunctions(): ServiceRequestFunctions {
        const { settings, agent, inForce, control } = this.options;
        return {
            view: inForce.get(),
            getGate: (service) => this.gates.getForService(service),
            chooseUpstream: (names, avoided) => this.upstreams.chooseService(names, avoided),
            recordFailure: (state, error) => {
                this.upstreams.recordFailure(state, error);
            },
            receiveLimit: (state, notice, askedMs) => {
                this.upstreams.receiveLimit(state, notice, askedMs);
            },
            recordRest: (state, restMs) => {
                this.upstreams.recordRest(state, restMs);
            },
            computeRestMs: (names) => this.upstreams.computeRestMs(names),
            getBudget: (service) => this.gates.getBudget(service.name),
            call: (state, call) => callService(agent, state.upstream.name, state.upstream.address, call),
            claims: control.claims.createFunctions(),
            claimWaitMs: CLAIM_WAIT_MS,
            timeoutMs: settings.timing.upstream_timeout,
            answerLimit: settings.limits.answer,
        };
    }

    private createPipelineFunctions(model: Model): PipelineFunctions {
        const budget = this.gates.getBudget(model.name);
        budget.recordRequest();
        return {
            chooseRoute: (target, avoided) => this.upstreams.chooseRoute(target, avoided),
            chooseReplacement: (target, stage, avoided) => this.upstreams.chooseReplacement(target, stage, avoided),
            getUpstream: (name) => this.upstreams.get(name),
            recordFailure: (state, error) => {
                this.upstreams.recordFailure(state, error);
            },
            computeRestMs: () =>
                this.upstreams.computeRestMs(this.upstreams.getAll().map(({ upstream }) => upstream.name)),
            claimRetry: () => budget.claimRetry(),
            record: (event, fields) => {
                this.options.log.record("info", event, fields);
            },
        };
    }

    private createUpstreams(): UpstreamTable {
        const { settings, log, metrics } = this.options;
        return new UpstreamTable(settings.timing.upstream_poll, {
            createEngine: (upstream) => this.createEngine(upstream),
            countOthersInFlight: (upstream) => this.gossip.count(upstream),
            random: Math.random,
            countEntries: () => Math.max(1, this.options.control.membership.getLiveMembers().length),
            handleChange: (state, change) => {
                metrics.count("upstream.change", { upstream: state.upstream.name, change });
                log.record("info", "upstream", { peer: state.upstream.name, change });
            },
        });
    }

    private createEngine(upstream: Upstream): EngineFunctions {
        const { settings, agent, log, metrics } = this.options;
        return createEngineClient({
            handleUntoldEnd: (run, reason) => {
                this.options.log.record("warn", "run-end-not-reported", { request: run, peer: upstream.name, reason });
            },
            agent,
            name: upstream.name,
            address: upstream.address,
            timeoutMs: settings.timing.upstream_timeout,
            // Two questions without an answer and the engine is taken for lost; see upstreamTable.ts.
            statusTimeoutMs: settings.timing.upstream_poll * 2,
            receiveLimit: (notice, askedMs) => {
                const state = this.upstreams.get(upstream.name);
                if (state !== undefined) {
                    this.upstreams.receiveLimit(state, notice, askedMs);
                }
            },
            handleStrayAnswer: () => {
                metrics.count("step.stray", { upstream: upstream.name });
                log.record("info", "step-stray", { peer: upstream.name });
            },
        });
    }
}
