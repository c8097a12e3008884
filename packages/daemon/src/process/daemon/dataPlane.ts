/**
 * The data plane of one instance: upstreams, admission control and the functions that requests run with.
 */
import type { Model, Settings, Upstream } from "@crankfork/schemas";
import type { Dispatcher } from "undici";
import { createEngineClient, type EngineClient } from "../../connection/engineClient.js";
import { callService } from "../../connection/serviceClient.js";
import type { ModelRequestFunctions } from "../../request/modelRequest.js";
import type { PipelineFunctions } from "../../request/pipelineRun.js";
import type { ServiceRequestFunctions } from "../../request/serviceRequest.js";
import type { ActiveConfiguration } from "../../version/activeConfiguration.js";
import type { EventLog } from "../eventLog.js";
import type { Metrics } from "../metrics.js";
import { AdmissionRegistry } from "./admissionRegistry.js";
import type { ControlPlane } from "./controlPlane.js";
import { InFlightGossip } from "./inFlightGossip.js";
import { UpstreamTable } from "./upstreamTable.js";

/** Dependencies of the data plane. */
export interface DataPlaneOptions {
    readonly settings: Settings;
    readonly agent: Dispatcher;
    readonly log: EventLog;
    readonly metrics: Metrics;
    readonly controlPlane: ControlPlane;
    readonly inForce: ActiveConfiguration;
}

/** How long a repeated request waits for the first one that holds its claim. */
const CLAIM_WAIT_TIMEOUT_MS = 10_000;

/** Upstreams and admission control of one instance. */
export class DataPlane {
    readonly upstreams: UpstreamTable;
    readonly gossip: InFlightGossip;
    private readonly admission: AdmissionRegistry;

    /**
     * @param options - dependencies
     */
    constructor(private readonly options: DataPlaneOptions) {
        const { settings, controlPlane, inForce } = options;
        this.gossip = new InFlightGossip(controlPlane.membership);
        this.admission = new AdmissionRegistry({
            queueLimit: settings.limits.queue_requests,
            // Suspected entries count too, because their requests may still be running.
            countEntries: () => controlPlane.membership.getLiveMembers().length,
            countOthersDemand: (key) => this.gossip.countDemand(key),
        });
        this.upstreams = this.createUpstreams();
        inForce.addChangeListener((view) => {
            this.upstreams.applyConfiguration(view);
            this.admission.applyConfiguration(view);
        });
    }

    /** Gossips this entry's requests in flight and demand, and starts queued requests if its share has grown. */
    publishLoad(): void {
        this.options.controlPlane.membership.updateSelf({
            in_flight: { ...this.upstreams.countInFlight() },
            demand: { ...this.admission.countDemand() },
        });
        this.startQueued();
    }

    /** Starts queued requests for which slots are free. */
    startQueued(): void {
        this.admission.startQueued();
    }

    /**
     * Creates the functions for a completion request on the configuration version in force.
     * @returns the functions
     */
    createModelFunctions(): ModelRequestFunctions {
        return {
            view: this.options.inForce.get(),
            getGate: (model) => this.admission.getForModel(model),
            getPipeline: (model) => this.createPipelineFunctions(model),
            claims: this.options.controlPlane.claims.createFunctions(),
            claimWaitMs: CLAIM_WAIT_TIMEOUT_MS,
        };
    }

    /**
     * Creates the functions for a call to a plain service on the configuration version in force.
     * @returns the functions
     */
    createServiceFunctions(): ServiceRequestFunctions {
        const { settings, agent, inForce, controlPlane } = this.options;
        return {
            view: inForce.get(),
            getGate: (service) => this.admission.getForService(service),
            chooseUpstream: (names, avoided) => this.upstreams.chooseServiceUpstream(names, avoided),
            recordFailure: (state, error) => {
                this.upstreams.recordFailure(state, error);
            },
            handleLimitNotice: (state, notice, askedMs) => {
                this.upstreams.receiveLimit(state, notice, askedMs);
            },
            recordBackoff: (state, restMs) => {
                this.upstreams.recordRest(state, restMs);
            },
            getBackoffMs: (names) => this.upstreams.computeRestMs(names),
            getBudget: (service) => this.admission.getRetryBudget(service.name),
            call: (state, call) => callService(agent, state.upstream.name, state.upstream.address, call),
            claims: controlPlane.claims.createFunctions(),
            claimWaitMs: CLAIM_WAIT_TIMEOUT_MS,
            timeoutMs: settings.timing.upstream_timeout,
            maxAnswerBytes: settings.limits.answer,
        };
    }

    private createPipelineFunctions(model: Model): PipelineFunctions {
        const budget = this.admission.getRetryBudget(model.name);
        budget.recordRequest();
        return {
            chooseRoute: (target, avoided) => this.upstreams.chooseRoute(target, avoided),
            chooseReplacement: (target, stage, avoided) => this.upstreams.chooseReplacement(target, stage, avoided),
            getUpstream: (name) => this.upstreams.get(name),
            recordFailure: (state, error) => {
                this.upstreams.recordFailure(state, error);
            },
            getBackoffMs: () =>
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
            countOthersInFlight: (upstream) => this.gossip.countInFlight(upstream),
            random: Math.random,
            countEntries: () => Math.max(1, this.options.controlPlane.membership.getLiveMembers().length),
            handleChange: (state, change) => {
                metrics.count("upstream.change", { upstream: state.upstream.name, change });
                log.record("info", "upstream", { peer: state.upstream.name, change });
            },
        });
    }

    private createEngine(upstream: Upstream): EngineClient {
        const { settings, agent, log, metrics } = this.options;
        return createEngineClient({
            handleCancelFailure: (run, reason) => {
                this.options.log.record("warn", "run-end-not-reported", { request: run, peer: upstream.name, reason });
            },
            agent,
            name: upstream.name,
            address: upstream.address,
            timeoutMs: settings.timing.upstream_timeout,
            // Matches the two failed polls after which an engine is marked unreachable; see upstreamTable.ts.
            statusTimeoutMs: settings.timing.upstream_poll * 2,
            handleLimitNotice: (notice, askedMs) => {
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
