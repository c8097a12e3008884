/**
 * Guards against a leader that keeps itself busy with layer orders: orders that could not be given were repeated at every tick, each
 * with a report request and a log entry, while the log entries that would have settled them were not committed.
 */
import type { LayerSpan } from "@crankfork/schemas";
import { expect } from "chai";
import type { EngineEndpoint, OrderOutcome, ReportResult } from "../src/connection/engineControl.js";
import { installClock, type InstalledClock } from "./installedClock.js";
import { emptyReport, HEARTBEAT_MS, LeaderHarness } from "./leaderHarness.js";

const ENGINES = 220;
/** Engines carry out an order in this time. */
const LOAD_MS = 2_500;
const OBSERVED_MS = 10_000;
/** A report before each engine's order, and those of engines that are loading. */
const MAX_REPORTS_IN_A_SECOND = ENGINES + 250;

interface Case {
    readonly title: string;
    readonly commitDelayMs?: number;
    /** Time for which the lease is lost, once the first orders have been given. */
    readonly lapseMs?: number;
    /** Time for which engines do not answer, once the first orders have been given. */
    readonly silentMs?: number;
    /** Whether the registry does not list the layers that engines hold. */
    readonly isOutdated?: boolean;
    /** Whether engines hold layers beyond the model, which has become smaller. */
    readonly isBeyond?: boolean;
    /** Age of the heartbeats when the leader reads them. */
    readonly heartbeatAgeMs?: number;
}

const cases: readonly Case[] = [
    { title: "commits in time" },
    { title: "commits take 1 s", commitDelayMs: 1_000 },
    { title: "engines hold layers that are not registered", isOutdated: true },
    { title: "engines hold layers that are not registered, commits take 1 s", isOutdated: true, commitDelayMs: 1_000 },
    { title: "engines hold layers beyond the model", isBeyond: true },
    { title: "the lease lapses for 300 ms", lapseMs: 300 },
    { title: "the lease lapses for 300 ms, commits take 1 s", lapseMs: 300, commitDelayMs: 1_000 },
    { title: "engines do not answer for 2 s", silentMs: 2_000 },
    { title: "heartbeats are read 0.9 s late", heartbeatAgeMs: 900 },
    { title: "heartbeats are read 0.9 s late, commits take 1 s", heartbeatAgeMs: 900, commitDelayMs: 1_000 },
];

/** Engines that carry out orders and send heartbeats. */
class SimulatedEngines {
    readonly held = new Map<string, LayerSpan | undefined>();
    private readonly busy = new Set<string>();
    private readonly orderCounts = new Map<string, number>();
    /** Times of the report requests. */
    readonly reportsMs: number[] = [];
    orders = 0;
    isSilent = false;

    constructor(private readonly harness: LeaderHarness, private readonly heartbeatAgeMs: number) {
        harness.control.getReport = ({ id }: EngineEndpoint): Promise<ReportResult> => {
            this.reportsMs.push(performance.now());
            return Promise.resolve(
                this.isSilent ? { kind: "failed", reason: "no answer", isSilent: true } : {
                    ...emptyReport,
                    held: this.held.get(id),
                    orders: this.orderCounts.get(id) ?? 0,
                    isOrderInProgress: this.busy.has(id),
                },
            );
        };
        harness.control.placeLayers = ({ id }, span): Promise<OrderOutcome> => {
            if (this.busy.has(id)) {
                return Promise.resolve({ kind: "refused", reason: "status 409" });
            }
            this.orders += 1;
            this.orderCounts.set(id, (this.orderCounts.get(id) ?? 0) + 1);
            this.busy.add(id);
            this.held.set(id, undefined);
            setTimeout(() => {
                this.busy.delete(id);
                this.held.set(id, span);
            }, LOAD_MS);
            return Promise.resolve({ kind: "begun" });
        };
    }

    async start(held: LayerSpan | undefined): Promise<void> {
        const ids = Array.from({ length: ENGINES }, (_unused, at) => `e${String(at)}`);
        await Promise.all(ids.map((id) => this.harness.register(id, held)));
        ids.forEach((id) => this.held.set(id, held));
        ids.forEach((id, at) => {
            setTimeout(() => {
                setInterval(() => {
                    const held = this.held.get(id);
                    setTimeout(() => void this.harness.register(id, held), this.heartbeatAgeMs);
                }, HEARTBEAT_MS);
            }, at * HEARTBEAT_MS / ENGINES);
        });
    }
}

describe("the leader's work for layer orders is bounded although they cannot be given", () => {
    let clock: InstalledClock;
    let harness: LeaderHarness;

    beforeEach(() => {
        clock = installClock();
        harness = new LeaderHarness();
    });

    afterEach(() => {
        harness.placement.stop();
        clock.uninstall();
    });

    cases.forEach((row) => {
        it(row.title, async () => {
            const engines = new SimulatedEngines(harness, row.heartbeatAgeMs ?? 0);
            await engines.start(row.isBeyond === true ? { first: 8, end: 12 } : undefined);
            harness.commitDelayMs = row.commitDelayMs ?? 0;
            if (row.isOutdated === true) {
                harness.state.listUpstreams().forEach(({ id }, at) => {
                    engines.held.set(id, at % 2 === 0 ? { first: 0, end: 4 } : { first: 4, end: 8 });
                });
            }
            harness.proposals.length = 0;
            harness.placement.start();
            await clock.tickAsync(HEARTBEAT_MS + 150);
            harness.isLeading = row.lapseMs === undefined;
            await clock.tickAsync(row.lapseMs ?? 0);
            harness.isLeading = true;
            engines.isSilent = row.silentMs !== undefined;
            await clock.tickAsync(row.silentMs ?? 0);
            engines.isSilent = false;
            await clock.tickAsync(OBSERVED_MS - (row.lapseMs ?? 0) - (row.silentMs ?? 0));
            const proposedPerEngine = harness.proposals.length / ENGINES;
            const first = [...engines.held.values()].filter((span) => span?.first === 0).length;
            const second = [...engines.held.values()].filter((span) => span?.first === 4).length;
            const reports = engines.reportsMs.map((atMs, at) =>
                engines.reportsMs.slice(at).filter((ms) => ms < atMs + 1_000).length
            );
            expect(Math.max(...reports), "reports in a second").to.be.at.most(MAX_REPORTS_IN_A_SECOND);
            expect(proposedPerEngine, "proposals per engine").to.be.at.most(2);
            expect(engines.orders, "orders").to.be.at.most(ENGINES * 1.1);
            expect(Math.min(first, second), "engines of the smaller half").to.be.at.least(ENGINES / 2 - 1);
        });
    });
});
