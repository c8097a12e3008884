import { expect } from "chai";
import { type LimitSimulationOptions, simulateLimit } from "./limitSimulation.js";

/** Tolerance: 10 % above the limit, plus the request that begins a window. */
const MAX_FACTOR = 1.1;
const FOUR_SECONDS = 4;

const computeMaximum = (limit: number, seconds: number): number => Math.floor(limit * seconds * MAX_FACTOR) + 1;

describe("a rate limit is observed across all entries and fully used on demand", () => {
    const rows: readonly {
        readonly entries: number;
        readonly limit: number;
        readonly wanted: number;
        readonly more?: Partial<LimitSimulationOptions>;
        /** Minimum fraction of the limit that has to be used. */
        readonly minUtilisation: number;
    }[] = [
        ...[6, 59, 300].flatMap((entries) => [
            { entries, limit: 2.1, wanted: 20, minUtilisation: 0.9 },
            { entries, limit: 2.1, wanted: 20, more: { callerFraction: 0.001 }, minUtilisation: 0.9 },
            { entries, limit: 40, wanted: 120, minUtilisation: 0.9 },
            { entries, limit: 40, wanted: 60, more: { callerFraction: 0.3 }, minUtilisation: 0.9 },
            { entries, limit: 40, wanted: 120, more: { callerFraction: 0.001 }, minUtilisation: 0.9 },
        ]),
        // Capacity unused in idle periods is not saved up.
        { entries: 6, limit: 4, wanted: 40, more: { idleMs: 4_000 }, minUtilisation: 0.9 },
        { entries: 59, limit: 2.1, wanted: 40, more: { idleMs: 4_000 }, minUtilisation: 0.9 },
        // The leader is lost for a second, and its schedule for good.
        { entries: 6, limit: 4, wanted: 300, more: { leaderLostAtMs: 8_000 }, minUtilisation: 0.8 },
        { entries: 59, limit: 40, wanted: 120, more: { leaderLostAtMs: 8_000 }, minUtilisation: 0.8 },
        // One request every ten seconds checks whether the limit has ended.
        { entries: 59, limit: 0, wanted: 20, minUtilisation: 0 },
    ];
    for (const { entries, limit, wanted, more = {}, minUtilisation } of rows) {
        const what = `${String(entries)} entries, ${String(limit)} per second, ${String(wanted)} requested`;
        it(`${what} ${JSON.stringify(more)}`, async () => {
            for (const seed of [1, 2, 3]) {
                const result = await simulateLimit({ policy: "leader", entries, limit, wanted, seed, ...more });
                expect(result.maxInSecond).to.be.at.most(computeMaximum(limit, 1));
                expect(result.maxInFourSeconds).to.be.at.most(computeMaximum(limit, FOUR_SECONDS));
                expect(limit === 0 ? 1 : result.used).to.be.at.least(minUtilisation);
            }
        });
    }

    it("without a leader each entry observes its even share", async () => {
        const result = await simulateLimit({ policy: "even", entries: 6, limit: 40, wanted: 120, seed: 1 });
        expect(result.maxInFourSeconds).to.be.at.most(computeMaximum(40, FOUR_SECONDS));
        expect(result.used).to.be.at.least(0.9);
    });
});
