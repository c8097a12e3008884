import { expect } from "chai";
import { installClock, type InstalledClock } from "./installedClock.js";
import { HEARTBEAT_MS, LeaderHarness } from "./leaderHarness.js";

describe("a leader places layers on engines", () => {
    let clock: InstalledClock;
    let harness: LeaderHarness;

    beforeEach(async () => {
        clock = installClock();
        harness = new LeaderHarness();
        await harness.register("a");
        await harness.register("b");
        harness.placement.start();
    });

    afterEach(() => {
        harness.placement.stop();
        clock.uninstall();
    });

    it("waits for more engines while none holds layers", async () => {
        await clock.tickAsync(800);
        await harness.register("c");
        await clock.tickAsync(900);
        expect(harness.orders).to.deep.equal([]);
        await clock.tickAsync(300);
        expect(harness.orders).to.deep.equal(["a=4-8", "b=0-4", "c=0-4"]);
    });

    it("does not wait indefinitely while the fleet keeps growing", async () => {
        for (let more = 0; more < 5; more += 1) {
            await clock.tickAsync(900);
            await harness.register(`more${String(more)}`);
        }
        expect(harness.orders.slice(0, 2)).to.deep.equal(["a=4-8", "b=0-4"]);
    });

    it("orders each engine once, and tracks the order by its report", async () => {
        await clock.tickAsync(HEARTBEAT_MS + 400);
        expect(harness.orders).to.deep.equal(["a=4-8", "b=0-4"]);
        harness.setReport("a", { first: 4, end: 8 });
        await clock.tickAsync(600);
        expect(harness.state.getUpstream("a")?.held).to.deep.equal({ first: 4, end: 8 });
        expect(harness.orders).to.have.length(2);
    });

    it("gives no orders to an engine that is backing off, and resumes afterwards", async () => {
        harness.backingOff.add("a");
        await clock.tickAsync(HEARTBEAT_MS + 2_000);
        expect(harness.orders.filter((order) => order.startsWith("a="))).to.deep.equal([]);
        harness.backingOff.clear();
        await clock.tickAsync(200);
        expect(harness.orders.filter((order) => order.startsWith("a="))).to.have.length(1);
    });

    it("gives no second order while the first may still be carried out", async () => {
        harness.orderEnd = { kind: "unclear", reason: "no answer" };
        await clock.tickAsync(HEARTBEAT_MS + 12_000);
        expect(harness.orders).to.have.length(2);
        await clock.tickAsync(2_000);
        expect(harness.orders).to.have.length(4);
    });

    it("gives no further order to an engine whose address another upstream has, until its next heartbeat", async () => {
        harness.orderEnd = { kind: "misdirected", reason: "status 421: " };
        await clock.tickAsync(HEARTBEAT_MS + 3_000);
        expect(harness.orders).to.deep.equal(["a=4-8", "b=0-4"]);
        expect(harness.state.getUpstream("a")?.status).to.equal("lost");
        harness.orderEnd = { kind: "begun" };
        await harness.register("a");
        await harness.register("b");
        await clock.tickAsync(HEARTBEAT_MS + 400);
        expect(harness.orders).to.have.length(4);
    });

    it("records the layers that an engine reports instead of ordering others", async () => {
        harness.setReport("a", { first: 0, end: 4 });
        await clock.tickAsync(HEARTBEAT_MS + 400);
        expect(harness.orders).to.deep.equal(["b=0-4"]);
        expect(harness.state.getUpstream("a")?.held).to.deep.equal({ first: 0, end: 4 });
    });

    it("logs once that the engines are too few for the model, and once that they suffice again", async () => {
        await clock.tickAsync(HEARTBEAT_MS * 2);
        const [lost] = harness.state.listUpstreams();
        if (lost !== undefined) {
            harness.upstreams.markLost(lost, "gone", "no report");
        }
        await clock.tickAsync(HEARTBEAT_MS);
        const listShortageEvents = (): readonly string[] =>
            harness.events.filter((event) => event.endsWith("-engines"));
        expect(listShortageEvents()).to.deep.equal(["too-few-engines"]);
        await harness.register("c");
        await clock.tickAsync(HEARTBEAT_MS);
        expect(listShortageEvents()).to.deep.equal(["too-few-engines", "enough-engines"]);
    });

    it("gives no orders without its lease", async () => {
        harness.isLeading = false;
        await clock.tickAsync(HEARTBEAT_MS + 1_000);
        expect(harness.orders).to.deep.equal([]);
    });

    it("places a lost engine's layers on an empty engine", async () => {
        await clock.tickAsync(200);
        await harness.register("a", { first: 0, end: 4 });
        await harness.register("b", { first: 4, end: 8 });
        await harness.register("c");
        const [lost] = harness.state.listUpstreams();
        if (lost !== undefined) {
            harness.upstreams.markLost(lost, "gone", "test");
        }
        await clock.tickAsync(300);
        expect(harness.orders.at(-1)).to.equal("c=0-4");
    });

    it("replaces a redundant copy by a lost engine's layers, and unregisters the copy before the load", async () => {
        await harness.register("a", { first: 0, end: 4 });
        await harness.register("c", { first: 0, end: 4 });
        ["a", "c"].forEach((id) => {
            harness.setReport(id, { first: 0, end: 4 });
        });
        const lost = harness.state.getUpstream("b");
        if (lost !== undefined) {
            harness.upstreams.markLost(lost, "gone", "test");
        }
        await clock.tickAsync(600);
        expect(harness.orders).to.deep.equal(["a=4-8"]);
        expect(harness.state.getUpstream("a")?.held).to.equal(undefined);
        harness.setReport("a", { first: 4, end: 8 });
        await clock.tickAsync(600);
        expect(harness.state.getUpstream("a")?.held).to.deep.equal({ first: 4, end: 8 });
        expect(harness.orders).to.have.length(1);
    });

    it("ignores heartbeats that list released layers, and does not repeat an open order", async () => {
        await harness.register("a", { first: 0, end: 4 });
        await harness.register("c", { first: 0, end: 4 });
        const lost = harness.state.getUpstream("b");
        if (lost !== undefined) {
            harness.upstreams.markLost(lost, "gone", "test");
        }
        harness.setReport("a", { first: 0, end: 4 }, { isOrderInProgress: true });
        for (let second = 0; second < 9; second += 1) {
            await clock.tickAsync(1_000);
            await harness.register("a", { first: 0, end: 4 });
            await harness.register("c", { first: 0, end: 4 });
            expect(harness.state.getUpstream("a")?.held).to.equal(undefined);
        }
        expect(harness.orders).to.deep.equal(["a=4-8"]);
        await harness.register("a", { first: 4, end: 8 });
        expect(harness.state.getUpstream("a")?.held).to.deep.equal({ first: 4, end: 8 });
    });

    it("keeps the held layers of an engine registered while it loads additional ones", async () => {
        await harness.register("a", { first: 6, end: 8 });
        await harness.register("b", { first: 4, end: 6 });
        harness.setReport("a", { first: 6, end: 8 });
        harness.setReport("b", { first: 4, end: 6 });
        await harness.register("c", { first: 0, end: 4 });
        const slow = harness.state.getUpstream("b");
        if (slow !== undefined) {
            harness.upstreams.recordSlowness(slow, 1.9);
        }
        await clock.tickAsync(600);
        expect(harness.orders).to.deep.equal(["a=4-8"]);
        expect(harness.state.getUpstream("a")?.held).to.deep.equal({ first: 6, end: 8 });
    });
});
