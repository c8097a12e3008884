import type { RoutingTable } from "@crankfork/schemas";
/**
 * Entries and leaders that exchange demand as JSON on a paused clock, without a network.
 */
import { FleetState } from "@crankfork/coordination";
import {
    type SynchroniseParameters,
    synchroniseParametersSchema,
    type SynchroniseResult,
    synchroniseResultSchema,
} from "@crankfork/schemas";
import { EntryDemand } from "../src/process/entry/entryDemand.js";
import { EntryRegistry } from "../src/process/voter/entryRegistry.js";
import type { FleetReplicaHost } from "../src/process/voter/fleetProposal.js";
import { waitMs } from "../src/process/waitMs.js";
import { rankServices, type RoutingView } from "../src/version/fleetView.js";
import { noRollout } from "./configurationFakes.js";
import type { InstalledClock } from "./installedClock.js";
import { noLimits } from "./limitFakes.js";

/** Requests a second of the three classes of the vending fleet. */
export const CLASS_RATES = [100, 55.6, 34.3];
const PROMPT_TOKENS = 800;
const ANSWER_TOKENS = 172;
const ORGANISATIONS = 24;
const LATENCY_MS = 2;
const TICK_MS = 10;
/** An entry that gets no answer asks again after this time. */
const RETRY_MS = 150;
/** A ranked service. */
const table = {
    services: [{ name: "s", engine: {} }],
    routes: CLASS_RATES.map((_rate, priority) => ({ priority, targets: [{ service: "s", weight: 1 }] })),
} as unknown as RoutingTable;
const routing = { table, ranks: rankServices(table) } as unknown as RoutingView;
const getNowMs = (): number => performance.now();

/** A leader that answers entries of one term. */
export class TestLeader {
    readonly registry: EntryRegistry;
    readonly host: FleetReplicaHost;
    private readonly state = new FleetState();
    private index = 0;

    constructor(term: number) {
        const self = { id: "v", address: "v" };
        this.host = {
            state: this.state,
            self,
            replica: {
                hasLeaderLease: () => true,
                getStatus: () => ({ leader: self, term, commitIndex: 1, replicas: { voters: [self], learners: [] } }),
            },
        } as unknown as FleetReplicaHost;
        this.registry = new EntryRegistry({
            host: this.host,
            getNowMs,
            rollout: noRollout,
            listSuspects: () => [],
            limits: noLimits,
        });
    }

    /** Commits a change, of which all entries are notified. */
    change(): void {
        this.index += 1;
        const facts = { id: "u", service: "s", address: "a", failure_domain: "d", slots: 1 };
        this.state.apply({ kind: "put-upstream", facts, status: "ready" }, this.index);
        this.registry.handleStateChange();
    }
}

/** Bytes of messages as JSON; `demandBytes` is the part that the demand takes. */
export interface Traffic {
    messages: number;
    bytes: number;
    demandBytes: number;
}

/** An entry that synchronises with the leader of the moment. */
export class TestEntry {
    countEntries = 1;
    isStopped = false;
    readonly sent: Traffic = { messages: 0, bytes: 0, demandBytes: 0 };
    readonly received: Traffic = { messages: 0, bytes: 0, demandBytes: 0 };
    private knownIndex = 0;
    readonly demand = new EntryDemand({
        settings: { admission: { report_demand: false } },
        getNowMs,
        countEntries: () => this.countEntries,
        getRouting: () => routing,
    });

    constructor(readonly id: string, private readonly getLeader: () => TestLeader | undefined) {
        void this.run();
    }

    private async run(): Promise<void> {
        while (!this.isStopped) {
            const leader = this.getLeader();
            if (leader === undefined) {
                await waitMs(RETRY_MS);
                continue;
            }
            const demand = this.demand.createReport();
            const parameters: SynchroniseParameters = {
                instance: this.id,
                known_index: this.knownIndex,
                loads: {},
                demand,
            };
            const received = synchroniseParametersSchema.parse(count(this.sent, parameters));
            await waitMs(LATENCY_MS);
            const result = await leader.registry.synchronise(received);
            await waitMs(LATENCY_MS);
            if (leader === this.getLeader()) {
                this.apply(result);
            }
        }
    }

    private apply(result: SynchroniseResult): void {
        const state = synchroniseResultSchema.parse(count(this.received, result));
        if (state.kind === "state") {
            this.countEntries = Math.max(this.countEntries, state.entries);
            this.knownIndex = state.index;
            this.demand.recordSummary(state.demand, state.spending_known_ms);
        }
    }
}

function count(traffic: Traffic, message: object): unknown {
    const text = JSON.stringify(message);
    traffic.messages += 1;
    traffic.bytes += text.length;
    traffic.demandBytes += text.length - JSON.stringify({ ...message, demand: undefined }).length;
    return JSON.parse(text);
}

/** A fleet with callers that choose entries at random. */
export class TestFleet {
    leader: TestLeader | undefined = new TestLeader(1);
    entries: TestEntry[];
    private readonly due: number[];
    private seed = 7;
    private started = 0;

    constructor(private readonly clock: InstalledClock, entries: number, public rates = CLASS_RATES) {
        this.entries = Array.from({ length: entries }, () => this.startEntry());
        this.due = rates.map(() => 0);
    }

    startEntry(): TestEntry {
        this.started += 1;
        return new TestEntry(`entry-${String(this.started)}`, () => this.leader);
    }

    /** Runs callers for a time; `check` is called in each interval of 10 ms. */
    async run(durationMs: number, check: () => void = () => undefined): Promise<void> {
        for (let ms = 0; ms < durationMs; ms += TICK_MS) {
            this.rates.forEach((rate, rank) => {
                const due = (this.due[rank] ?? 0) + rate * TICK_MS / 1_000;
                this.due[rank] = due % 1;
                Array.from({ length: Math.floor(due) }).forEach(() => {
                    this.call(rank);
                });
            });
            await this.clock.tickAsync(TICK_MS);
            check();
        }
    }

    stop(): void {
        this.entries.forEach((entry) => {
            entry.isStopped = true;
        });
    }

    private call(rank: number): void {
        const entry = this.entries[Math.floor(this.draw() * this.entries.length)];
        // A few organisations are large: shares fall with the cube of the draw.
        const organisation = `organisation-${String(Math.floor(this.draw() ** 3 * ORGANISATIONS))}`;
        const key = { service: "s", rank, organisation };
        entry?.demand.meter.recordArrival(key, { promptTokens: PROMPT_TOKENS, answerTokens: ANSWER_TOKENS });
        entry?.demand.meter.recordAdmitted(key);
    }

    private draw(): number {
        this.seed = (this.seed * 1_103_515_245 + 12_345) % 2_147_483_648;
        return this.seed / 2_147_483_648;
    }
}
