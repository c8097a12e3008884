/**
 * Guards against entries that see too little or too much demand: a sum that lacks entries opens the fleet in a burst, and
 * one that counts entries twice closes it.
 */
import type { ClassDemand, SentClassDemand } from "@crankfork/schemas";
import { classDemandSchema } from "@crankfork/schemas";
import FakeTimers from "@sinonjs/fake-timers";
import { expect } from "chai";
import { FleetDemand } from "../src/process/entry/fleetDemand.js";
import { CLASS_RATES, TestFleet, TestLeader } from "./demandFleet.js";
import { installClock, type InstalledClock } from "./installedClock.js";

let clock: InstalledClock;
let fleet: TestFleet;
let startMs: number;

/** Pauses the clock for the tests of one block; at the root it would be paused for other files of the process, too. */
function usePausedClock(): void {
    beforeEach(() => {
        clock = installClock();
        startMs = performance.now();
    });

    afterEach(() => {
        clock.uninstall();
    });
}

/** Ratios of the arrivals that entries see to those of the callers, over all classes. */
function listRatios(isEstimated?: boolean): readonly number[] {
    const actual = fleet.rates.reduce((sum, one) => sum + one, 0);
    return fleet.entries.map(({ demand }) => demand.fleet.get("s"))
        .filter((view) => isEstimated === undefined || view.isEstimated === isEstimated)
        .map((view) => view.classes.reduce((sum, one) => sum + one.arrivalsPerS, 0) / actual);
}

describe("every entry sees the demand of the fleet", () => {
    usePausedClock();

    for (const entries of [1, 2, 69, 300]) {
        it(`${String(entries)} entries`, async () => {
            fleet = new TestFleet(clock, entries);
            await fleet.run(4_000);
            fleet.stop();
            fleet.entries.forEach(({ demand }) => {
                const { classes, isEstimated, ageMs } = demand.fleet.get("s");
                expect(isEstimated).to.equal(false);
                expect(ageMs).to.be.below(1_200);
                expect(demand.fleet.reporterCount).to.equal(entries);
                classes.forEach((one, rank) => {
                    expect(one.arrivalsPerS / (CLASS_RATES[rank] ?? 0)).to.be.within(0.85, 1.15);
                    expect(one.admittedPerS).to.equal(one.arrivalsPerS);
                    const offered = [...one.organisations.values()].reduce((sum, tokens) => sum + tokens, 0);
                    expect(offered / (one.promptTokensPerS + one.answerTokensPerS)).to.be.within(0.99, 1.01);
                    expect(one.organisations.size).to.be.at.most(9);
                });
            });
        });
    }
});

describe("a burst is seen through failures", () => {
    usePausedClock();

    it("the leader is lost and replaced during it", async () => {
        fleet = new TestFleet(clock, 69);
        await fleet.run(4_000);
        fleet.rates = [100, 55.6, 34.3 * 2.4];
        await fleet.run(1_500);
        fleet.leader = undefined;
        let estimates = 0;
        const checkSums = (): void => {
            listRatios(false).forEach((ratio) => expect(ratio).to.be.within(0.75, 1.2));
            estimates = Math.max(estimates, listRatios(true).length);
        };
        await fleet.run(2_000, checkSums);
        expect(estimates, "entries that estimate while there is no leader").to.equal(69);
        const estimated = listRatios(true);
        expect(estimated.reduce((sum, one) => sum + one, 0) / 69, "mean estimate").to.be.within(0.8, 1.2);
        fleet.leader = new TestLeader(2);
        await fleet.run(1_500, checkSums);
        expect(listRatios(false).length, "entries with the sum of the new leader").to.equal(69);
        fleet.stop();
    });

    it("half of the entries are replaced by new ones", async () => {
        fleet = new TestFleet(clock, 68);
        await fleet.run(4_000);
        const ended = fleet.entries.slice(0, 34);
        ended.forEach((entry) => {
            entry.isStopped = true;
        });
        fleet.entries = fleet.entries.slice(34);
        // Reports of ended entries count for 1.5 s at most, and callers have gone to the others in the meantime. When they
        // expire, the last reports of the others are about 0.5 s old and show 1 - 1/e of the callers that came over: 0.8.
        const checkSums = (): void => {
            listRatios(false).forEach((ratio) => expect(ratio).to.be.within(0.7, 1.75));
        };
        await fleet.run(1_000, checkSums);
        fleet.entries.push(...ended.map(() => fleet.startEntry()));
        await fleet.run(1_500, checkSums);
        await fleet.run(1_500);
        expect(listRatios(false)).to.have.length(68);
        listRatios(false).forEach((ratio) => expect(ratio).to.be.within(0.85, 1.15));
        fleet.stop();
    });
});

function createDemand(parts: SentClassDemand): ClassDemand {
    return classDemandSchema.parse(parts);
}

/** Creates the view of an entry whose own demand is all of rank 1. */
function createView(own: ClassDemand, entries: number, reported: readonly string[] = ["s"]): FleetDemand {
    return new FleetDemand({
        getNowMs: () => performance.now() - startMs,
        countEntries: () => entries,
        getReportedServices: () => new Set(reported),
        measureOwn: () => new Map([[1, own]]),
    });
}

describe("without a recent sum, an entry takes its own demand for that of each entry", () => {
    usePausedClock();

    const own = createDemand({ arrivals_per_s: 2, refused_per_s: 1, waiting: 3, returns: 1, organisations: { a: 5 } });
    const sum = { services: { s: { classes: { 1: { arrivals_per_s: 70, waiting: 9 } } } }, reporters: 40 };
    const incomplete = { services: {}, reporters: 1 };
    const estimated = { isEstimated: true, arrivals: 80, waiting: 120, returns: 40 };
    // Before the first sum, waiting work is the entry's own.
    const first = { ...estimated, waiting: 3, returns: 1 };
    const summed = { isEstimated: false, arrivals: 70, waiting: 9, returns: 0 };
    const rows = [
        { title: "just started", sums: [], afterMs: 0, expected: first },
        { title: "no sum yet after a second", sums: [], afterMs: 1_001, expected: first },
        { title: "answers of a voter of the previous build", sums: [undefined], afterMs: 0, expected: first },
        { title: "a sum of 1.5 s", sums: [sum], afterMs: 1_500, expected: summed },
        { title: "a sum older than 1.5 s", sums: [sum], afterMs: 1_501, expected: estimated },
        { title: "a sum of 3 s", sums: [sum], afterMs: 3_000, expected: estimated },
        {
            title: "the sum of a new leader's first round",
            sums: [sum, incomplete],
            knownMs: 599,
            afterMs: 0,
            expected: summed,
        },
        {
            title: "a service that entries do not report",
            sums: [sum],
            afterMs: 0,
            reported: ["other"],
            expected: estimated,
        },
    ];
    for (const { title, sums, afterMs, knownMs, reported, expected } of rows) {
        it(title, () => {
            const demand = createView(own, 40, reported);
            sums.forEach((one, index) => {
                demand.record(one, index === 0 ? undefined : knownMs);
            });
            clock.tick(afterMs);
            const { classes, isEstimated } = demand.get("s");
            const [none, second] = classes;
            expect(none?.arrivalsPerS, "a rank without demand").to.equal(0);
            expect({
                isEstimated,
                arrivals: second?.arrivalsPerS,
                waiting: second?.waiting,
                returns: second?.returns,
            }).to.deep.equal(expected);
        });
    }

    it("a service that no entry names in the sum has no demand", () => {
        const demand = createView(own, 40);
        demand.record({ services: {}, reporters: 40 });
        expect(demand.get("s")).to.deep.include({ classes: [], isEstimated: false });
    });
});

describe("the slow average outlasts a burst", () => {
    usePausedClock();

    it("follows within 10 s, and begins anew with the first sum after a start", () => {
        const demand = createView(createDemand({}), 1);
        const record = (arrivals_per_s: number): number => {
            demand.record({ services: { s: { classes: { 0: { arrivals_per_s } } } }, reporters: 9 });
            return demand.get("s").classes[0]?.slowArrivalsPerS ?? 0;
        };
        demand.get("s");
        expect(record(100)).to.equal(100);
        let slow = 0;
        for (let ms = 0; ms < 5_000; ms += 500) {
            clock.tick(500);
            slow = record(200);
        }
        expect(slow, "after a burst of 5 s").to.be.closeTo(100 + 100 * (1 - Math.exp(-0.5)), 0.1);
    });
});

describe("only the monotonic clock is read", () => {
    usePausedClock();

    it("a step of the time of day changes nothing", () => {
        const demand = createView(createDemand({ arrivals_per_s: 1 }), 2);
        demand.record({ services: {}, reporters: 2 });
        const dates = FakeTimers.install({ toFake: ["Date"], now: 0 });
        dates.setSystemTime(10_000_000);
        expect(demand.get("s")).to.deep.include({ isEstimated: false, ageMs: 0 });
        dates.setSystemTime(0);
        expect(demand.get("s")).to.deep.include({ isEstimated: false, ageMs: 0 });
        dates.uninstall();
    });
});
