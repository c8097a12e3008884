import { FleetState } from "@crankfork/coordination";
import type { EngineProfile, FleetCommand, LayerSpan } from "@crankfork/schemas";
import FakeTimers from "@sinonjs/fake-timers";
import { expect } from "chai";
import type { EngineReport, OrderEnd, ReportResult } from "../src/connection/engineControl.js";
import { EntryRegister } from "../src/process/entryRegister.js";
import { FleetLink } from "../src/process/fleetLink.js";
import { type FleetReplicaHost, FleetVoter } from "../src/process/fleetVoter.js";
import { LayerKeeper } from "../src/process/layerKeeper.js";
import { PaceWatch } from "../src/process/paceWatch.js";
import { SuspectProbe } from "../src/process/suspectProbe.js";

const log = { record: () => undefined };
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

const HEARTBEAT_MS = 1_000;

const emptyReport: EngineReport = {
    kind: "report",
    held: undefined,
    orders: 0,
    isOrderUnderWay: false,
    slowness: 1,
    stalled: [],
};

/** A leader whose log applies at once, and engines that do as the case says. */
class LeaderStand {
    readonly state = new FleetState();
    readonly orders: string[] = [];
    /** Events of the keeper's log. */
    readonly events: string[] = [];
    readonly reports = new Map<string, ReportResult>();
    orderEnd: OrderEnd = { kind: "begun" };
    isLeading = true;
    private index = 0;
    private sequence = 0;

    readonly host = {
        state: this.state,
        self: { id: "self", address: "self" },
        replica: {
            hasNewestState: () => this.isLeading,
            getStatus: () => ({
                leader: { id: "other", address: "other" },
                term: 3,
                replicas: { voters: [], learners: [] },
            }),
        },
        propose: (command: FleetCommand) => {
            this.index += 1;
            return Promise.resolve({
                kind: "applied",
                index: this.index,
                result: this.state.apply(command, this.index),
            });
        },
    } as unknown as FleetReplicaHost;

    readonly control = {
        getReport: (address: string): Promise<ReportResult> =>
            Promise.resolve(
                this.reports.get(address) ?? emptyReport,
            ),
        placeLayers: ({ id }: { readonly id: string; }, span: LayerSpan): Promise<OrderEnd> => {
            this.orders.push(`${id}=${String(span.first)}-${String(span.end)}`);
            return Promise.resolve(this.orderEnd);
        },
    };

    readonly voter = new FleetVoter({
        host: this.host,
        log,
        getNowMs: () => performance.now(),
        heartbeatMs: HEARTBEAT_MS,
    });

    readonly keeper = new LayerKeeper({
        host: this.host,
        voter: this.voter,
        control: this.control,
        log: { record: (_level, event) => this.events.push(event) },
        getNowMs: () => performance.now(),
        getServices: () => [{ name: "s", engine: profile }],
        heartbeatMs: HEARTBEAT_MS,
    });

    /** Lets an engine say in its report that it holds layers. */
    setReport(id: string, held: LayerSpan, more: Partial<EngineReport> = {}): void {
        this.reports.set(id, { ...emptyReport, held, orders: 1, ...more });
    }

    async register(id: string, held?: LayerSpan): Promise<void> {
        const facts = { id, service: "s", address: id, failure_domain: "d", slots: 1, accelerator: "x" };
        await this.voter.registerUpstream({
            facts: { ...facts, ...(held === undefined ? {} : { held }) },
            status: "ready",
            sequence: this.sequence += 1,
        });
    }
}

describe("a leader brings layers to engines", () => {
    let clock: ReturnType<typeof FakeTimers.install>;
    let stand: LeaderStand;

    beforeEach(async () => {
        clock = FakeTimers.install({
            toFake: ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "performance"],
        });
        stand = new LeaderStand();
        await stand.register("a");
        await stand.register("b");
        stand.keeper.start();
    });

    afterEach(() => {
        stand.keeper.stop();
        clock.uninstall();
    });

    it("waits for more engines while none holds layers", async () => {
        await clock.tickAsync(800);
        await stand.register("c");
        await clock.tickAsync(900);
        expect(stand.orders).to.deep.equal([]);
        await clock.tickAsync(300);
        expect(stand.orders).to.deep.equal(["a=4-8", "b=0-4", "c=0-4"]);
    });

    it("does not wait for ever for a fleet that goes on growing", async () => {
        for (let more = 0; more < 5; more += 1) {
            await clock.tickAsync(900);
            await stand.register(`more${String(more)}`);
        }
        expect(stand.orders.slice(0, 2)).to.deep.equal(["a=4-8", "b=0-4"]);
    });

    it("orders each once, and follows it by its report", async () => {
        await clock.tickAsync(HEARTBEAT_MS + 400);
        expect(stand.orders).to.deep.equal(["a=4-8", "b=0-4"]);
        stand.setReport("a", { first: 4, end: 8 });
        await clock.tickAsync(600);
        expect(stand.state.getUpstream("a")?.held).to.deep.equal({ first: 4, end: 8 });
        expect(stand.orders).to.have.length(2);
    });

    it("gives no second order while the first may still be carried out", async () => {
        stand.orderEnd = { kind: "unclear", reason: "no answer" };
        await clock.tickAsync(HEARTBEAT_MS + 12_000);
        expect(stand.orders).to.have.length(2);
        await clock.tickAsync(2_000);
        expect(stand.orders).to.have.length(4);
    });

    it("takes what an engine says that it holds over what it was to be ordered", async () => {
        stand.setReport("a", { first: 0, end: 4 });
        await clock.tickAsync(HEARTBEAT_MS + 400);
        expect(stand.orders).to.deep.equal(["b=0-4"]);
        expect(stand.state.getUpstream("a")?.held).to.deep.equal({ first: 0, end: 4 });
    });

    it("says once that engines are too few for the model, and once that they are enough again", async () => {
        await clock.tickAsync(HEARTBEAT_MS * 2);
        const [lost] = stand.state.listUpstreams();
        if (lost !== undefined) {
            stand.voter.markLost(lost, "no report");
        }
        await clock.tickAsync(HEARTBEAT_MS);
        const told = (): readonly string[] => stand.events.filter((event) => event.endsWith("-engines"));
        expect(told()).to.deep.equal(["too-few-engines"]);
        await stand.register("c");
        await clock.tickAsync(HEARTBEAT_MS);
        expect(told()).to.deep.equal(["too-few-engines", "enough-engines"]);
    });

    it("gives none without its lease", async () => {
        stand.isLeading = false;
        await clock.tickAsync(HEARTBEAT_MS + 1_000);
        expect(stand.orders).to.deep.equal([]);
    });

    it("a lost engine's layers go to an empty one", async () => {
        await clock.tickAsync(200);
        await stand.register("a", { first: 0, end: 4 });
        await stand.register("b", { first: 4, end: 8 });
        await stand.register("c");
        const [lost] = stand.state.listUpstreams();
        if (lost !== undefined) {
            stand.voter.markLost(lost, "test");
        }
        await clock.tickAsync(300);
        expect(stand.orders.at(-1)).to.equal("c=0-4");
    });

    it("a copy is given up for a lost engine's layers, and entries know it before it is loaded", async () => {
        await stand.register("a", { first: 0, end: 4 });
        await stand.register("c", { first: 0, end: 4 });
        ["a", "c"].forEach((id) => {
            stand.setReport(id, { first: 0, end: 4 });
        });
        const lost = stand.state.getUpstream("b");
        if (lost !== undefined) {
            stand.voter.markLost(lost, "test");
        }
        await clock.tickAsync(600);
        expect(stand.orders).to.deep.equal(["a=4-8"]);
        expect(stand.state.getUpstream("a")?.held).to.equal(undefined);
        stand.setReport("a", { first: 4, end: 8 });
        await clock.tickAsync(600);
        expect(stand.state.getUpstream("a")?.held).to.deep.equal({ first: 4, end: 8 });
        expect(stand.orders).to.have.length(1);
    });

    it("layers that are given up don't come back by heartbeats, and an order under way is not given again", async () => {
        await stand.register("a", { first: 0, end: 4 });
        await stand.register("c", { first: 0, end: 4 });
        const lost = stand.state.getUpstream("b");
        if (lost !== undefined) {
            stand.voter.markLost(lost, "test");
        }
        stand.setReport("a", { first: 0, end: 4 }, { isOrderUnderWay: true });
        for (let second = 0; second < 9; second += 1) {
            await clock.tickAsync(1_000);
            await stand.register("a", { first: 0, end: 4 });
            await stand.register("c", { first: 0, end: 4 });
            expect(stand.state.getUpstream("a")?.held).to.equal(undefined);
        }
        expect(stand.orders).to.deep.equal(["a=4-8"]);
        await stand.register("a", { first: 4, end: 8 });
        expect(stand.state.getUpstream("a")?.held).to.deep.equal({ first: 4, end: 8 });
    });

    it("an engine that takes more layers goes on with what it holds meanwhile", async () => {
        await stand.register("a", { first: 6, end: 8 });
        await stand.register("b", { first: 4, end: 6 });
        stand.setReport("a", { first: 6, end: 8 });
        stand.setReport("b", { first: 4, end: 6 });
        await stand.register("c", { first: 0, end: 4 });
        const slow = stand.state.getUpstream("b");
        if (slow !== undefined) {
            stand.voter.recordSlowness(slow, 1.9);
        }
        await clock.tickAsync(600);
        expect(stand.orders).to.deep.equal(["a=4-8"]);
        expect(stand.state.getUpstream("a")?.held).to.deep.equal({ first: 6, end: 8 });
    });

    function createProbe(getReport = stand.control.getReport): SuspectProbe {
        const { host, voter, control } = stand;
        return new SuspectProbe({ host, voter, control: { ...control, getReport }, getNowMs: () => performance.now() });
    }

    const probeRows = [
        { title: "suspected by one entry: asked twice", entries: ["e1"], apartMs: 0, asked: 2 },
        { title: "suspected by the same entry again: asked twice", entries: ["e1", "e1"], apartMs: 0, asked: 2 },
        { title: "suspected by two entries together: once is enough", entries: ["e1", "e2"], apartMs: 0, asked: 1 },
        { title: "by the second long after the first: asked twice", entries: ["e1", "e2"], apartMs: 2_000, asked: 2 },
    ];
    for (const { title, entries, apartMs, asked } of probeRows) {
        it(`an engine that gives no report is lost, ${title}`, async () => {
            let count = 0;
            const probe = createProbe(async () => {
                count += 1;
                await new Promise((resolve) => setTimeout(resolve, 2_500));
                return { kind: "failed", reason: "no answer" };
            });
            for (const instance of entries) {
                probe.handleSuspects({ instance, suspects: ["a"] });
                await clock.tickAsync(apartMs);
            }
            await clock.tickAsync(6_000);
            expect([count, stand.state.getUpstream("a")?.status]).to.deep.equal([asked, "lost"]);
        });
    }

    it("an engine that entries suspect is lost once it gives no report twice", async () => {
        const probe = createProbe();
        probe.handleSuspects({ instance: "e1", suspects: ["a", "b"] });
        stand.reports.set("a", { kind: "failed", reason: "no answer" });
        await clock.tickAsync(10);
        probe.handleSuspects({ instance: "e1", suspects: ["a", "b"] });
        await clock.tickAsync(10);
        expect(stand.state.listUpstreams().map((one) => `${one.id} ${one.status}`)).to.deep.equal([
            "a lost",
            "b ready",
        ]);
    });

    it("an engine that says that it is slow is told to all, and its next heartbeat does not undo it", async () => {
        await stand.register("a", { first: 0, end: 4 });
        stand.setReport("a", { first: 0, end: 4 }, { slowness: 5 });
        const watch = new PaceWatch({ host: stand.host, voter: stand.voter, control: stand.control });
        watch.start();
        await clock.tickAsync(1_300);
        watch.stop();
        await stand.register("a", { first: 0, end: 4 });
        expect(stand.state.getUpstream("a")?.slowness).to.equal(5);
        expect(stand.state.getUpstream("b")?.slowness).to.equal(undefined);
    });

    it("an upstream that is silent for four heartbeats is lost, and comes back with the next", async () => {
        await clock.tickAsync(3_900);
        stand.voter.markSilent();
        await clock.tickAsync(1);
        expect(stand.state.getUpstream("a")?.status).to.equal("ready");
        await clock.tickAsync(200);
        stand.voter.markSilent();
        await clock.tickAsync(1);
        expect(stand.state.getUpstream("a")?.status).to.equal("lost");
        await stand.register("a");
        expect(stand.state.getUpstream("a")?.status).to.equal("ready");
    });

    it("an entry is answered as soon as something changes, and told what others have open", async () => {
        const entries = new EntryRegister({ host: stand.host, getNowMs: () => performance.now() });
        const loads = { a: { open: 3, unstarted: 1 } };
        void entries.synchronise({ instance: "other", known_index: 0, loads });
        const waiting = entries.synchronise({
            instance: "one",
            known_index: stand.state.lastChange,
            loads: {},
        });
        await stand.register("c");
        entries.handleState();
        const told = await waiting;
        expect(told.kind === "state" && told.upstreams.map((one) => one.id)).to.deep.equal(["c"]);
        expect(told.kind === "state" && told.loads_elsewhere).to.deep.equal(loads);
        expect(told.kind === "state" && told.entries).to.equal(2);
    });

    it("an entry's lease is counted from the moment its question left", async () => {
        const entries = new EntryRegister({ host: stand.host, getNowMs: () => performance.now() });
        let knownIndex = 0;
        const told: object[] = [];
        const link = new FleetLink({
            peers: {
                ask: async (_address, method, parameters) => {
                    if (method === "suspect") {
                        told.push(parameters);
                        return {};
                    }
                    return await entries.synchronise(parameters as never);
                },
                send: () => undefined,
            },
            log,
            getNowMs: () => performance.now(),
            getSeeds: () => ["voter"],
            instance: "one",
            createParameters: () => ({ instance: "one", known_index: knownIndex, loads: {} }),
            takeSuspects: () => ["a"],
            handleState: (state) => {
                knownIndex = state.index;
            },
            getHeldVersion: () => undefined,
            handleDocument: () => undefined,
            random: () => 0,
        });
        link.start();
        await clock.tickAsync(1_000);
        expect(knownIndex).to.equal(stand.state.lastChange);
        expect(link.ageMs).to.be.at.most(400);
        // Told at once, though a question is on its way, and together.
        link.tellSuspects();
        link.tellSuspects();
        await clock.tickAsync(30);
        expect(told).to.deep.equal([{ instance: "one", suspects: ["a"] }]);
        stand.isLeading = false;
        await clock.tickAsync(5_000);
        expect(link.ageMs).to.be.at.least(5_000);
        link.stop();
    });
});
