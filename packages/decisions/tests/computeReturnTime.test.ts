import { expect } from "chai";
import {
    classifyReturn,
    type ClassLoad,
    computeQueueWaitMs,
    computeReturnTimeMs,
    RetryAfterSpreader,
    type ReturnTimeView,
    ShortThroughput,
} from "../src/index.js";

const idle: ClassLoad = { admittedPerS: 0, refusedPerS: 0, slowArrivalsPerS: 0, waiting: 0, returns: 0 };

describe("a caller has standing only if it came back no sooner than any caller is told", () => {
    const rows = [
        { title: "a first attempt", isLikelyRetry: false, deadlineMs: 20_000, standing: "first" },
        { title: "no deadline", isLikelyRetry: false, deadlineMs: undefined, standing: "first" },
        { title: "back after the shortest time", isLikelyRetry: true, deadlineMs: 9_500, standing: "returned" },
        { title: "back sooner", isLikelyRetry: true, deadlineMs: 9_501, standing: "early" },
    ];
    for (const { title, standing, ...view } of rows) {
        it(title, () => {
            expect(classifyReturn({ timeoutMs: 10_000, ...view })).to.equal(standing);
        });
    }
});

describe("a request waits while its answer can be in time, the least urgent longer only where no other is short", () => {
    const rows = [
        { title: "nothing measured yet", waitMs: 75 },
        { title: "with time to spare", firstEventMs: 100, waitMs: 300 },
        { title: "no time to spare", firstEventMs: 300, waitMs: 75 },
        { title: "a longer objective waits longer", objectiveMs: 1_000, firstEventMs: 100, waitMs: 800 },
        { title: "a returned caller is late already", standing: "returned" as const, waitMs: 1_250 },
        { title: "an early one counts as new", standing: "early" as const, firstEventMs: 100, waitMs: 300 },
        { title: "the least urgent", isLeastUrgent: true, waitMs: 1_250 },
        {
            title: "the least urgent where a more urgent one is short",
            isLeastUrgent: true,
            isMoreUrgentShort: true,
            firstEventMs: 100,
            waitMs: 300,
        },
        {
            title: "also one that returned",
            isLeastUrgent: true,
            isMoreUrgentShort: true,
            standing: "returned" as const,
            waitMs: 75,
        },
        { title: "the others don't give way", isMoreUrgentShort: true, standing: "returned" as const, waitMs: 1_250 },
    ];
    for (const { title, waitMs, ...view } of rows) {
        it(title, () => {
            const usual = { objectiveMs: 500, firstEventMs: undefined, standing: "first" as const };
            expect(computeQueueWaitMs({ ...usual, isLeastUrgent: false, isMoreUrgentShort: false, ...view })).to.equal(
                waitMs,
            );
        });
    }
});

describe("refused callers come back when the work ahead is done, one place after another", () => {
    const usual = { rank: 1, throughputPerS: 60, entries: 2, leftMs: 20_000 };
    const ahead = { ...idle, slowArrivalsPerS: 20 };
    const rows: readonly {
        readonly title: string;
        readonly classes: readonly ClassLoad[];
        readonly view?: Partial<ReturnTimeView>;
        readonly times: readonly number[];
    }[] = [
        {
            title: "nothing ahead: the shortest time, then places",
            classes: [ahead, ahead],
            times: [500, 600, 700],
        },
        {
            title: "work ahead over the spare rate",
            classes: [{ ...ahead, waiting: 10 }, { ...ahead, returns: 20 }],
            times: [1_500, 1_600],
        },
        {
            title: "less urgent work does not count",
            classes: [ahead, ahead, { ...idle, waiting: 500, slowArrivalsPerS: 50 }],
            times: [500, 600],
        },
        {
            title: "the most urgent rank comes back first",
            classes: [{ ...ahead, waiting: 40 }, { ...ahead, waiting: 40 }],
            view: { rank: 0 },
            times: [1_000, 1_050],
        },
        {
            title: "work that does not fit: spread over the last third of what callers wait",
            classes: [ahead, { ...ahead, waiting: 200 }],
            times: [4_763.932, 5_527.864],
        },
        {
            title: "demand as high as throughput: the same",
            classes: [{ ...ahead, slowArrivalsPerS: 40 }, ahead],
            times: [4_763.932, 5_527.864],
        },
        {
            title: "throughput not known: spread over the last two thirds",
            classes: [ahead, ahead],
            view: { throughputPerS: undefined },
            times: [3_527.864, 5_055.728],
        },
        {
            title: "little time left: never less than the shortest time",
            classes: [ahead, { ...ahead, waiting: 200 }],
            view: { leftMs: 1_000 },
            times: [500, 500],
        },
    ];
    for (const { title, classes, view, times } of rows) {
        it(title, () => {
            const spreader = new RetryAfterSpreader();
            const assigned = times.map(() => computeReturnTimeMs({ ...usual, classes, ...view }, spreader, 1_000));
            expect(assigned.map((ms) => Math.round(ms * 1_000) / 1_000)).to.deep.equal(times);
        });
    }

    it("all entries that refuse callers at one moment tell no half second more callers than fit in it", () => {
        const entries = 20;
        const view = { classes: [ahead], rank: 0, throughputPerS: 60, entries, leftMs: 20_000 };
        const spreaders = Array.from({ length: entries }, (_, index) => new RetryAfterSpreader(index / entries));
        const times = spreaders.flatMap((spreader) =>
            Array.from({ length: 7 }, () => computeReturnTimeMs(view, spreader, 0))
        );
        const counts = times.map((from) => times.filter((ms) => ms >= from && ms < from + 500).length);
        expect(Math.max(...counts)).to.equal(20);
    });

    it("does not count places twice once they are in the reports", () => {
        const spreader = new RetryAfterSpreader();
        const window = { roomMs: 500, intervalMs: 1_000, earliestMs: 500, latestMs: 6_000, overflowMs: 2_000 };
        Array.from({ length: 4 }, () => spreader.assignPlace(window, 0));
        expect(spreader.assignPlace(window, 100)).to.equal(4_400);
        expect(spreader.assignPlace(window, 2_000)).to.equal(500);
    });

    it("measures throughput once a shortage lasts, falling at once and rising slowly", () => {
        const throughput = new ShortThroughput();
        const record = (admittedPerS: number, refusedPerS: number, nowMs: number): number | undefined => {
            throughput.record(admittedPerS, refusedPerS, nowMs);
            return throughput.perS;
        };
        expect(record(300, 50, 0)).to.equal(undefined);
        expect(record(200, 50, 1_400)).to.equal(undefined);
        expect(record(100, 50, 1_500)).to.equal(100);
        expect(record(80, 50, 1_600)).to.equal(80);
        expect(record(100, 50, 1_800)).to.be.within(81, 82);
        expect(record(10, 0.3, 5_000)).to.be.within(81, 82);
        expect(record(10, 5, 6_000)).to.be.within(81, 82);
    });
});
