import { expect } from "chai";
import { DemandMeter } from "../src/process/entry/demandMeter.js";
import { RequestQueues } from "../src/process/entry/requestQueues.js";
import { refuseWithoutTarget } from "../src/request/refuseRequest.js";
import type { RoutedRequestFunctions, TargetChoice } from "../src/request/requestFunctions.js";
import type { Refusal } from "../src/request/routedRefusal.js";
import type { RefusalTimes, RoutedResponse } from "../src/request/routedResponse.js";
import { waitForTarget } from "../src/request/waitForTarget.js";
import { installClock, type InstalledClock } from "./installedClock.js";
import { createContext, replayFlood, type ReplayOptions, type ReplayResult } from "./returnReplay.js";

/** What a served request earns by rank: in its objective, and late. */
const VALUES = [{ inTime: 2.7, late: 0.27 }, { inTime: 1.5, late: 0.38 }, { inTime: 0.81, late: 0.3 }];

/** All callers are back at 2 s after a loss of power: four times what the paths hold, before the usual demand. */
const powerLoss = {
    entries: 69,
    places: 160,
    heldMs: 2_000,
    firstEventMs: 150,
    arrivalsPerS: [35, 20, 12],
    flood: [320, 200, 120],
    floodMs: 2_000,
    endMs: 14_000,
};

function countServed({ byRank }: ReplayResult, rank: number): number {
    const { inTime = 0, late = 0, callers = 1 } = byRank[rank] ?? {};
    return (inTime + late) / callers;
}

function sumEarned({ byRank }: ReplayResult): number {
    return byRank.reduce((sum, { inTime, late }, rank) => {
        const value = VALUES[rank] ?? { inTime: 0, late: 0 };
        return sum + inTime * value.inTime + late * value.late;
    }, 0);
}

/** Most callers that were told to come back within half a second. */
function computePeak({ toldMs }: ReplayResult): number {
    const bins = new Map<number, number>();
    toldMs.forEach((ms) => bins.set(Math.floor(ms / 500), (bins.get(Math.floor(ms / 500)) ?? 0) + 1));
    return Math.max(...bins.values());
}

describe("when all callers are back at once, ranked services serve more than a random draw, the urgent first", () => {
    let clock: InstalledClock;
    beforeEach(() => {
        clock = installClock();
    });
    afterEach(() => {
        clock.uninstall();
    });
    const replay = (options: Omit<ReplayOptions, "entries">): Promise<ReplayResult> =>
        replayFlood({ ...powerLoss, ...options }, clock);

    for (const seed of [1, 2, 3]) {
        it(`seed ${String(seed)}`, async () => {
            const drawn = await replay({ ...powerLoss, isRanked: false, seed });
            const ranked = await replay({ ...powerLoss, isRanked: true, seed });
            expect(sumEarned(ranked)).to.be.above(sumEarned(drawn) * 1.1);
            expect(computePeak(ranked)).to.be.below(computePeak(drawn));
            expect(ranked.byRank[0]?.refusedTwice).to.be.below((drawn.byRank[0]?.refusedTwice ?? 0) * 0.7);
            const [first = 0, second = 0, third = 0] = [0, 1, 2].map((rank) => countServed(ranked, rank));
            expect(first).to.be.above(second - 0.05);
            expect(second).to.be.above(third - 0.05);
            const all = ranked.byRank.map((_, rank) => countServed(ranked, rank));
            expect(third).to.be.above(all.reduce((sum, one) => sum + one, 0) / all.length / 4);
            expect([ranked.waitingAtEnd, drawn.waitingAtEnd]).to.deep.equal([0, 0]);
        });
    }
});

describe("standing and return times follow from the deadline that a caller states", () => {
    let clock: InstalledClock;
    beforeEach(() => {
        clock = installClock();
    });
    afterEach(() => {
        clock.uninstall();
    });
    const load = { admittedPerS: 50, refusedPerS: 5, slowArrivalsPerS: 20, waiting: 5, returns: 10 };
    const key = { service: "s", rank: 0, organisation: undefined };
    const createQueues = (isRanked: boolean, meter?: DemandMeter): RequestQueues =>
        new RequestQueues({
            getNowMs: () => performance.now(),
            random: () => 0,
            countEntries: () => 3,
            getRank: ({ route }) => ({ rank: route.priority, rankCount: 3, isRanked }),
            getDemand: () => [load],
            recordReturn: (_context, retryAfterMs) => meter?.recordReturn(key, retryAfterMs),
        });

    for (
        const { isRanked, order } of [
            { isRanked: true, order: "returned new early" },
            { isRanked: false, order: "new early returned" },
        ]
    ) {
        it(`${isRanked ? "ranked" : "not ranked"}: ${order}`, async () => {
            const served: string[] = [];
            let hasRoom = false;
            const queues = createQueues(isRanked);
            const functions = {
                getNowMs: () => performance.now(),
                chooseTarget: (): TargetChoice => hasRoom ? { kind: "target", target: {} as never } : { kind: "full" },
                isKeyUsable: () => true,
                crashes: { isQuarantined: () => false },
                waiting: queues.createFunctions(),
            } as unknown as RoutedRequestFunctions;
            const callers = [["new", 10_000], ["early", 9_600], ["returned", 9_400]] as const;
            const ends = callers.map(async ([name, leftMs]) => {
                const context = createContext(0, leftMs, performance.now(), 10_000);
                await waitForTarget(context, undefined, functions);
                served.push(name);
                context.close();
            });
            hasRoom = true;
            queues.wake("s");
            await Promise.all(ends);
            expect(served.join(" ")).to.equal(order);
        });
    }

    it("a refused caller gets a place and is counted as due, one that was back already is not counted", () => {
        // Times since the start of the process and from now are equal only at its start.
        clock.tick(30_000);
        const meter = new DemandMeter({ getNowMs: () => performance.now(), getReportedServices: () => new Set(["s"]) });
        const countDue = (): number | undefined => meter.measure("s").get(0)?.returns;
        const queues = createQueues(true, meter);
        const { assignReturnMs } = queues.createFunctions();
        assignReturnMs(createContext(0, 20_000, 30_000));
        queues.recordReport();
        clock.tick(1_500);
        queues.recordReport();
        // 15 requests ahead at 50 - 20 a second.
        expect(assignReturnMs(createContext(0, 20_000, 31_500))).to.equal(500);
        expect(countDue()).to.equal(2);
        expect(assignReturnMs(createContext(0, 15_000, 31_500))).to.be.within(3_000, 4_500);
        expect(countDue()).to.equal(2);
        // A caller that stays in the sum after its time adds to the wait of those that are refused later.
        clock.tick(6_500);
        expect(countDue()).to.equal(0);
    });

    it("a service that is not ranked assigns no time, so that it is drawn as before", () => {
        expect(createQueues(false).createFunctions().assignReturnMs(createContext(0, 20_000, 0))).to.equal(undefined);
    });

    it("only a refusal for want of room tells the assigned time", () => {
        const told: unknown[] = [];
        const response = {
            hasStarted: false,
            sendRefusal: (_call: unknown, { id }: Refusal, { retryAfterMs }: RefusalTimes) =>
                told.push([id, retryAfterMs]),
        } as unknown as RoutedResponse;
        for (const isRanked of [true, false]) {
            const functions = {
                waiting: createQueues(isRanked).createFunctions(),
            } as unknown as RoutedRequestFunctions;
            refuseWithoutTarget(createContext(0, 20_000, 0), response, { kind: "full" }, functions);
            refuseWithoutTarget(createContext(0, 20_000, 0), response, { kind: "none" }, functions);
        }
        // The throughput is not known yet: the last two thirds of 6 s, here at the first of the spread places.
        expect(told).to.deep.equal([
            ["full", 6_000 - 4_000 * 0.618_033_988_749_895],
            ["no-upstream", undefined],
            ["full", undefined],
            ["no-upstream", undefined],
        ]);
    });

    it("looks at the fleet's demand once for all that wait, not at each try of each", () => {
        let looks = 0;
        let waiting = 0;
        const queues = new RequestQueues({
            getNowMs: () => performance.now(),
            random: () => 0,
            countEntries: () => 3,
            getRank: ({ route }) => ({ rank: route.priority, rankCount: 3, isRanked: true }),
            getDemand: () => {
                looks += 1;
                return [{ ...load, refusedPerS: 0, waiting: 0 }, { ...load, refusedPerS: 0, waiting }];
            },
        });
        const { isMoreUrgentShort } = queues.createFunctions();
        const ask = (): readonly boolean[] => [0, 1, 2, 2, 2].map((rank) => isMoreUrgentShort("s", rank));
        expect([ask().includes(true), looks]).to.deep.equal([false, 1]);
        waiting = 1;
        clock.tick(39);
        expect([ask().includes(true), looks]).to.deep.equal([false, 1]);
        clock.tick(1);
        expect([ask(), looks]).to.deep.equal([[false, false, true, true, true], 2]);
        waiting = 0;
        queues.recordReport();
        looks = 0;
        expect([ask().includes(true), looks]).to.deep.equal([false, 1]);
    });

    it("forgets a service that is no longer configured", () => {
        const queues = createQueues(true);
        const { getQueue } = queues.createFunctions();
        const queue = getQueue("s");
        queues.prune((name) => name === "s");
        expect(getQueue("s")).to.equal(queue);
        queues.prune(() => false);
        expect(getQueue("s")).not.to.equal(queue);
    });
});
