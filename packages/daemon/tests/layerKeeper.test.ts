import { expect } from "chai";
import { installClock, type InstalledClock } from "./installedClock.js";
import { HEARTBEAT_MS, LeaderStand } from "./leaderStand.js";

describe("a leader brings layers to engines", () => {
    let clock: InstalledClock;
    let stand: LeaderStand;

    beforeEach(async () => {
        clock = installClock();
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

    it("orders nothing of an engine that asked for rest, and does so after it", async () => {
        stand.resting.add("a");
        await clock.tickAsync(HEARTBEAT_MS + 2_000);
        expect(stand.orders.filter((order) => order.startsWith("a="))).to.deep.equal([]);
        stand.resting.clear();
        await clock.tickAsync(200);
        expect(stand.orders.filter((order) => order.startsWith("a="))).to.have.length(1);
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
            stand.upstreams.markLost(lost, "no report");
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
            stand.upstreams.markLost(lost, "test");
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
            stand.upstreams.markLost(lost, "test");
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
            stand.upstreams.markLost(lost, "test");
        }
        stand.setReport("a", { first: 0, end: 4 }, { isOrderInProgress: true });
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
            stand.upstreams.recordSlowness(slow, 1.9);
        }
        await clock.tickAsync(600);
        expect(stand.orders).to.deep.equal(["a=4-8"]);
        expect(stand.state.getUpstream("a")?.held).to.deep.equal({ first: 6, end: 8 });
    });
});
