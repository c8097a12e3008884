/**
 * Guards against engines that are never used again because they hold layers beyond a model that has become smaller, and against
 * a storm of orders to an engine whose reports are wrong.
 */
import { computeChains } from "@crankfork/decisions";
import type { LayerSpan } from "@crankfork/schemas";
import { expect } from "chai";
import type { EngineEndpoint, OrderOutcome, ReportResult } from "../src/connection/engineControl.js";
import { installClock, type InstalledClock } from "./installedClock.js";
import { emptyReport, HEARTBEAT_MS, LeaderHarness } from "./leaderHarness.js";

const LOAD_MS = 2_500;
const SETTLED_MS = 20_000;
const OBSERVED_MS = 60_000;
/** Orders in the observed time to an engine that never carries one out. */
const MAX_WASTED_ORDERS = 3;
const beyond: LayerSpan = { first: 5, end: Number.MAX_SAFE_INTEGER };

/** What an engine does with orders, and which layers it reports. */
interface Behaviour {
    readonly outcome: OrderOutcome;
    readonly report?: (elapsedMs: number) => LayerSpan | undefined;
}

const sound: Behaviour = { outcome: { kind: "begun" } };

/** Engines that carry out orders, unless their behaviour says otherwise, and send heartbeats. */
class SimulatedEngines {
    readonly orders: { readonly id: string; readonly span: LayerSpan; }[] = [];
    private readonly held = new Map<string, LayerSpan | undefined>();
    private readonly behaviours = new Map<string, Behaviour>();
    private readonly loading = new Set<string>();

    constructor(private readonly harness: LeaderHarness) {
        harness.control.getReport = ({ id }: EngineEndpoint): Promise<ReportResult> =>
            Promise.resolve({ ...emptyReport, held: this.getHeld(id), isOrderInProgress: this.loading.has(id) });
        harness.control.placeLayers = ({ id }, span): Promise<OrderOutcome> => {
            this.orders.push({ id, span });
            const { outcome, report } = this.behaviours.get(id)!;
            if (outcome.kind === "begun" && report === undefined) {
                this.loading.add(id);
                this.held.set(id, undefined);
                setTimeout(() => {
                    this.loading.delete(id);
                    this.held.set(id, span);
                }, LOAD_MS);
            }
            return Promise.resolve(outcome);
        };
    }

    async add(id: string, held?: LayerSpan, behaviour = sound): Promise<void> {
        this.held.set(id, held);
        this.behaviours.set(id, behaviour);
        await this.harness.register(id, this.getHeld(id));
        setInterval(() => void this.harness.register(id, this.getHeld(id)), HEARTBEAT_MS);
    }

    getHeld(id: string): LayerSpan | undefined {
        const { report } = this.behaviours.get(id)!;
        return report === undefined ? this.held.get(id) : report(performance.now());
    }

    listOrders(id: string): readonly LayerSpan[] {
        return this.orders.filter((order) => order.id === id).map(({ span }) => span);
    }

    /** Lists the engines that are part of a path. */
    listUsed(): readonly string[] {
        const holders = [...this.held.keys()].flatMap((id) => {
            const span = this.getHeld(id);
            return span === undefined
                ? []
                : [{ id, address: id, failureDomain: "d", accelerator: "x", slowness: 1, span }];
        });
        const chains = computeChains(holders, this.harness.model);
        return [...new Set(chains.flatMap(({ stages }) => stages.map(({ engine }) => engine.id)))].sort();
    }
}

describe("engines that hold layers beyond the model are used again", () => {
    let clock: InstalledClock;
    let harness: LeaderHarness;
    let engines: SimulatedEngines;

    beforeEach(() => {
        clock = installClock();
        harness = new LeaderHarness();
        engines = new SimulatedEngines(harness);
    });

    afterEach(() => {
        harness.placement.stop();
        clock.uninstall();
    });

    for (const layers of [7, 6, 4]) {
        it(`the model is made smaller, from 8 layers to ${String(layers)}`, async () => {
            const ids = ["a", "b", "c", "e", "f", "g"];
            for (const id of ids) {
                await engines.add(id);
            }
            harness.placement.start();
            await clock.tickAsync(SETTLED_MS);
            expect(engines.listUsed()).to.deep.equal(ids);
            engines.orders.length = 0;
            harness.model = { ...harness.model, layers };
            await clock.tickAsync(SETTLED_MS);
            expect(engines.listUsed()).to.deep.equal(ids);
            expect(Math.max(...ids.map((id) => engines.listOrders(id).length)), "orders per engine").to.equal(1);
        });
    }

    it("the model is made smaller, and no engine holds layers within it", async () => {
        await engines.add("a", { first: 0, end: 9 });
        await engines.add("b", { first: 9, end: 18 });
        harness.placement.start();
        await clock.tickAsync(SETTLED_MS);
        expect(engines.listUsed()).to.deep.equal(["a", "b"]);
        expect(engines.orders).to.have.length(2);
    });

    it("a layer is lost, and another engine holds a copy of its own", async () => {
        await engines.add("a", { first: 0, end: 4 });
        await engines.add("b", { first: 0, end: 4 });
        await engines.add("far", beyond);
        harness.placement.start();
        await clock.tickAsync(SETTLED_MS);
        expect(engines.listUsed()).to.deep.equal(["a", "b", "far"]);
        expect(engines.orders).to.deep.equal([{ id: "far", span: { first: 4, end: 8 } }]);
    });

    it("one reports layers far beyond the model, beside others", async () => {
        await engines.add("a", { first: 0, end: 4 });
        await engines.add("b", { first: 4, end: 8 });
        await engines.add("far", beyond);
        harness.placement.start();
        await clock.tickAsync(SETTLED_MS);
        expect(engines.listUsed()).to.deep.equal(["a", "b", "far"]);
        expect(engines.orders).to.deep.equal([{ id: "far", span: { first: 0, end: 4 } }]);
    });
});

const begun = sound.outcome;
const strange: readonly { readonly title: string; readonly behaviour: Behaviour; }[] = [
    { title: "accepts orders and goes on as before", behaviour: { outcome: begun, report: () => beyond } },
    {
        title: "refuses orders",
        behaviour: { outcome: { kind: "refused", reason: "status 409" }, report: () => beyond },
    },
    { title: "does not answer", behaviour: { outcome: { kind: "unclear", reason: "silent" }, report: () => beyond } },
    {
        title: "reports other layers every second",
        behaviour: { outcome: begun, report: (ms) => ({ first: 5, end: 1_000 + Math.floor(ms / 1_000) }) },
    },
];

describe("an engine that reports layers beyond the model, whatever it is ordered, does not keep the leader from the others", () => {
    let clock: InstalledClock;

    beforeEach(() => {
        clock = installClock();
    });

    afterEach(() => {
        clock.uninstall();
    });

    async function listOrders(
        behaviour: Behaviour | undefined,
    ): Promise<{ others: readonly string[]; far: readonly LayerSpan[]; }> {
        const harness = new LeaderHarness();
        const engines = new SimulatedEngines(harness);
        await engines.add("a", { first: 0, end: 4 });
        await engines.add("b", { first: 4, end: 8 });
        await engines.add("c");
        if (behaviour !== undefined) {
            await engines.add("far", undefined, behaviour);
        }
        harness.placement.start();
        await clock.tickAsync(OBSERVED_MS);
        harness.placement.stop();
        const others = engines.orders.filter(({ id }) => id !== "far").map((order) => JSON.stringify(order));
        return { others, far: engines.listOrders("far") };
    }

    for (const { title, behaviour } of strange) {
        it(title, async () => {
            const { others, far } = await listOrders(behaviour);
            expect(far.length).to.be.within(1, MAX_WASTED_ORDERS);
            expect(far.every(({ first, end }) => first >= 0 && first < end && end <= 8)).to.equal(true);
            expect(others).to.deep.equal((await listOrders(undefined)).others);
        });
    }

    it("reports layers within and beyond the model in turn: few orders", async () => {
        const report = (ms: number): LayerSpan => Math.floor(ms / 1_000) % 2 === 0 ? beyond : { first: 0, end: 4 };
        expect((await listOrders({ outcome: begun, report })).far.length).to.be.within(1, MAX_WASTED_ORDERS);
    });

    it("accepts orders and goes on as before, while a layer is lost: another engine is moved", async () => {
        const harness = new LeaderHarness();
        const engines = new SimulatedEngines(harness);
        await engines.add("a", { first: 0, end: 4 });
        await engines.add("b", { first: 0, end: 4 });
        await engines.add("far", undefined, { outcome: begun, report: () => beyond });
        harness.placement.start();
        await clock.tickAsync(SETTLED_MS);
        harness.placement.stop();
        expect(engines.listUsed()).to.deep.equal(["a", "b"]);
    });
});
