import { expect } from "chai";
import { type LimitReplayOptions, playLimit } from "./limitReplay.js";

/** A tenth beyond the limit at the most, and the request that begins a window. */
const MOST_SHARE = 1.1;
const FOUR = 4;

const computeMost = (limit: number, seconds: number): number => Math.floor(limit * seconds * MOST_SHARE) + 1;

describe("a limit is kept over all entries and used where callers want it", () => {
    const rows: readonly {
        readonly entries: number;
        readonly limit: number;
        readonly wanted: number;
        readonly more?: Partial<LimitReplayOptions>;
        /** Part of the limit that has to be used. */
        readonly leastUsed: number;
    }[] = [
        ...[6, 59, 300].flatMap((entries) => [
            { entries, limit: 2.1, wanted: 20, leastUsed: 0.9 },
            { entries, limit: 2.1, wanted: 20, more: { callersAt: 0.001 }, leastUsed: 0.9 },
            { entries, limit: 40, wanted: 120, leastUsed: 0.9 },
            { entries, limit: 40, wanted: 60, more: { callersAt: 0.3 }, leastUsed: 0.9 },
            { entries, limit: 40, wanted: 120, more: { callersAt: 0.001 }, leastUsed: 0.9 },
        ]),
        // What was not used in quiet times is not made up for.
        { entries: 6, limit: 4, wanted: 40, more: { quietMs: 4_000 }, leastUsed: 0.9 },
        { entries: 59, limit: 2.1, wanted: 40, more: { quietMs: 4_000 }, leastUsed: 0.9 },
        // The leader is lost for a second, with what it knew.
        { entries: 6, limit: 4, wanted: 300, more: { leaderLostMs: 8_000 }, leastUsed: 0.8 },
        { entries: 59, limit: 40, wanted: 120, more: { leaderLostMs: 8_000 }, leastUsed: 0.8 },
        // One request in ten seconds finds out whether it is over.
        { entries: 59, limit: 0, wanted: 20, leastUsed: 0 },
    ];
    for (const { entries, limit, wanted, more = {}, leastUsed } of rows) {
        const what = `${String(entries)} entries, ${String(limit)} a second, ${String(wanted)} wanted`;
        it(`${what} ${JSON.stringify(more)}`, async () => {
            for (const seed of [1, 2, 3]) {
                const result = await playLimit({ way: "leader", entries, limit, wanted, seed, ...more });
                expect(result.mostInSecond).to.be.at.most(computeMost(limit, 1));
                expect(result.mostInFour).to.be.at.most(computeMost(limit, FOUR));
                expect(limit === 0 ? 1 : result.used).to.be.at.least(leastUsed);
            }
        });
    }

    it("without any leader each entry keeps to its even part", async () => {
        const result = await playLimit({ way: "even", entries: 6, limit: 40, wanted: 120, seed: 1 });
        expect(result.mostInFour).to.be.at.most(computeMost(40, FOUR));
        expect(result.used).to.be.at.least(0.9);
    });
});
