import FakeTimers from "@sinonjs/fake-timers";
import { expect } from "chai";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { type InstalledClock, Simulation } from "./simulation.js";

const REPLICAS = 3;
/** Minimum election timeout of the simulation. */
const ELECTION_TIMEOUT_MS = 300;

describe("a restarted replica waits for leases that it may have supported, unless every voter has restarted", () => {
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
        { title: "all voters restart: a leader is elected during the wait", restarted: "all", hasLeaderSoon: true },
        {
            title: "only the leader restarts: the others wait for its lease to expire",
            restarted: "leader",
            hasLeaderSoon: false,
        },
        { title: "all voters crash and one stays down: the others wait", restarted: "some", hasLeaderSoon: false },
    ] as const;
    for (const { title, restarted, hasLeaderSoon } of rows) {
        it(title, async () => {
            const [leader = 0] = simulation.getLeaderNumbers();
            const crashed = restarted === "leader" ? [leader] : simulation.nodes.map((_, number) => number);
            const started = restarted === "some" ? crashed.filter((number) => number !== leader) : crashed;
            crashed.forEach((number) => {
                simulation.crash(number);
            });
            for (const number of started) {
                await simulation.startNode(number);
            }
            await clock.tickAsync(ELECTION_TIMEOUT_MS * 0.8);
            expect(simulation.getLeader() !== undefined).to.equal(hasLeaderSoon);
            await clock.tickAsync(ELECTION_TIMEOUT_MS * 5);
            expect(simulation.getLeader()).to.not.equal(undefined);
            expect(simulation.violations).to.deep.equal([]);
        });
    }

    it("a restarted replica does not vote against an active leader that it had answered before", async () => {
        const [leader = 0] = simulation.getLeaderNumbers();
        const [disconnected = 1, other = 2] = [0, 1, 2].filter((number) => number !== leader);
        simulation.disconnect(disconnected, leader);
        await clock.tickAsync(ELECTION_TIMEOUT_MS * 5);
        // It has just answered the leader, and loses that knowledge with the restart.
        simulation.crash(other);
        await simulation.startNode(other);
        await clock.tickAsync(ELECTION_TIMEOUT_MS * 0.8);
        expect(simulation.getLeaderNumbers()).to.not.include(disconnected);
        expect(simulation.violations).to.deep.equal([]);
    });
});
