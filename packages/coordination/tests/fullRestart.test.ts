import FakeTimers from "@sinonjs/fake-timers";
import { expect } from "chai";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { type InstalledClock, Simulation } from "./simulation.js";

const REPLICAS = 3;
/** Of the simulation. */
const ELECTION_MS = 300;

describe("a replica that has just started waits for leases of its earlier life, unless every voter has restarted", () => {
    let clock: InstalledClock;
    let simulation: Simulation;

    beforeEach(async () => {
        clock = FakeTimers.install({
            toFake: ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "performance", "Date"],
        });
        simulation = new Simulation(clock, xoroshiro128plus(7), REPLICAS);
        await simulation.start();
    });

    afterEach(() => {
        simulation.nodes.forEach((node) => node.replica?.stop());
        clock.uninstall();
    });

    const rows = [
        { title: "all of them: a leader within the wait", restarted: "all", hasLeaderSoon: true },
        { title: "the leader alone: those that go on wait for its lease", restarted: "leader", hasLeaderSoon: false },
        { title: "all but one that does not come back: they wait", restarted: "some", hasLeaderSoon: false },
    ] as const;
    for (const { title, restarted, hasLeaderSoon } of rows) {
        it(title, async () => {
            const [leader = 0] = simulation.getLeaderNumbers();
            const dying = restarted === "leader" ? [leader] : simulation.nodes.map((_, number) => number);
            const coming = restarted === "some" ? dying.filter((number) => number !== leader) : dying;
            dying.forEach((number) => {
                simulation.crash(number);
            });
            for (const number of coming) {
                await simulation.startNode(number);
            }
            await clock.tickAsync(ELECTION_MS * 0.8);
            expect(simulation.getLeader() !== undefined).to.equal(hasLeaderSoon);
            await clock.tickAsync(ELECTION_MS * 5);
            expect(simulation.getLeader()).to.not.equal(undefined);
            expect(simulation.violations).to.deep.equal([]);
        });
    }

    it("one that restarted does not help another against a leader that goes on", async () => {
        const [leader = 0] = simulation.getLeaderNumbers();
        const [cut = 1, other = 2] = [0, 1, 2].filter((number) => number !== leader);
        simulation.cut(cut, leader);
        await clock.tickAsync(ELECTION_MS * 5);
        // It answered the leader a moment ago, and forgets that now.
        simulation.crash(other);
        await simulation.startNode(other);
        await clock.tickAsync(ELECTION_MS * 0.8);
        expect(simulation.getLeaderNumbers()).to.not.include(cut);
        expect(simulation.violations).to.deep.equal([]);
    });
});
