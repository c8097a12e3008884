/**
 * A leader with simulated engines, for tests.
 */
import { FleetState } from "@crankfork/coordination";
import { computeLayerPlan } from "@crankfork/decisions";
import {
    type EngineProfile,
    type FleetCommand,
    formatIncarnationId,
    type LayerSpan,
    type UpstreamIncarnation,
} from "@crankfork/schemas";
import type { EngineEndpoint, EngineReport, OrderOutcome, ReportResult } from "../src/connection/engineControl.js";
import { PlacementController } from "../src/process/layers/placementController.js";
import { CrashRegistry } from "../src/process/voter/crashRegistry.js";
import { DocumentStore } from "../src/process/voter/documentStore.js";
import type { FleetReplicaHost } from "../src/process/voter/fleetProposal.js";
import { UpstreamRegistry } from "../src/process/voter/upstreamRegistry.js";
import { waitMs } from "../src/process/waitMs.js";

/** A log that discards events. */
export const log = { record: (): undefined => undefined };
const profile: EngineProfile = {
    layers: 8,
    layer_mb: 100,
    token_bytes: 0,
    capacity_tokens: 1,
    slots: 4,
    step_ms: 1,
    step_ms_a_request: 0,
    read_tokens_a_second: 1_000,
    load_ms: 1_000,
    usual_prompt_tokens: 1,
    usual_answer_tokens: 1,
    accelerators: [{ name: "x", memory_mb: 450, step_factor: 1, read_factor: 1 }],
};

/** Interval between two heartbeats of an engine. */
export const HEARTBEAT_MS = 1_000;

/** The report of an engine that holds no layers. */
export const emptyReport: EngineReport = {
    kind: "report",
    startedAtMs: undefined,
    held: undefined,
    orders: 0,
    isOrderInProgress: false,
    slowness: 1,
    stalled: [],
};

/** A leader whose log commits immediately, and engines whose behaviour each test sets. */
export class LeaderHarness {
    readonly state = new FleetState();
    readonly orders: string[] = [];
    /** Events logged by the placement controller. */
    readonly events: string[] = [];
    readonly reports = new Map<string, ReportResult>();
    /** Number of plans computed. */
    plans = 0;
    /** Engines that are backing off. */
    readonly backingOff = new Set<string>();
    orderEnd: OrderOutcome = { kind: "begun" };
    /** Commands proposed to the log. */
    readonly proposals: FleetCommand[] = [];
    /** Time from a proposal to its commit. */
    commitDelayMs = 0;
    isLeading = true;
    /** The model of the newest document. */
    model = profile;
    private index = 0;
    private sequence = 0;

    readonly host = {
        state: this.state,
        self: { id: "self", address: "self" },
        replica: {
            hasLeaderLease: () => this.isLeading,
            getStatus: () => ({
                leader: { id: "other", address: "other" },
                term: 3,
                commitIndex: 1,
                replicas: { voters: [], learners: [] },
            }),
        },
        propose: async (command: FleetCommand) => {
            this.proposals.push(command);
            if (this.commitDelayMs > 0) {
                await waitMs(this.commitDelayMs);
            }
            this.index += 1;
            return { kind: "applied", index: this.index, result: this.state.apply(command, this.index) };
        },
    } as unknown as FleetReplicaHost;

    readonly control = {
        getReport: ({ address }: EngineEndpoint): Promise<ReportResult> =>
            Promise.resolve(
                this.reports.get(address) ?? emptyReport,
            ),
        placeLayers: ({ id }: { readonly id: string; }, span: LayerSpan): Promise<OrderOutcome> => {
            this.orders.push(`${id}=${String(span.first)}-${String(span.end)}`);
            return Promise.resolve(this.orderEnd);
        },
    };

    readonly crashes = new CrashRegistry({
        host: this.host,
        log,
        getNowMs: () => performance.now(),
        getUnixMs: () => 0,
        haveEntriesApplied: () => true,
    });
    readonly document = new DocumentStore({
        host: this.host,
        log,
        getNowMs: () => performance.now(),
        awaitReplacements: () => Promise.resolve(true),
    });

    readonly upstreams = new UpstreamRegistry({
        host: this.host,
        log,
        getNowMs: () => performance.now(),
        heartbeatMs: HEARTBEAT_MS,
        isServiceNamed: () => true,
    });

    readonly placement = new PlacementController({
        host: this.host,
        upstreams: this.upstreams,
        control: this.control,
        log: { record: (_level, event) => this.events.push(event) },
        getNowMs: () => performance.now(),
        getServices: () => [{ name: "s", engine: this.model }],
        heartbeatMs: HEARTBEAT_MS,
        isBackingOff: (id) => this.backingOff.has(id),
        computePlan: (engines, engineProfile) => {
            this.plans += 1;
            return computeLayerPlan(engines, engineProfile);
        },
    });

    /** Sets the report of an engine. */
    setReport(id: string, held: LayerSpan | undefined, more: Partial<EngineReport> = {}): void {
        this.reports.set(id, { ...emptyReport, held, orders: 1, ...more });
    }

    async register(id: string, held?: LayerSpan): Promise<void> {
        await this.registerIncarnation({ name: id }, held);
    }

    /** Registers an incarnation of an engine whose address is its name. */
    async registerIncarnation(incarnation: UpstreamIncarnation, held?: LayerSpan): Promise<void> {
        const facts = {
            id: formatIncarnationId(incarnation),
            life: incarnation,
            service: "s",
            address: incarnation.name,
            failure_domain: "d",
            slots: 1,
            accelerator: "x",
        };
        await this.upstreams.registerUpstream({
            facts: { ...facts, ...(held === undefined ? {} : { held }) },
            status: "ready",
            sequence: this.sequence += 1,
        });
    }
}
