/**
 * Guards against retries beyond the fleet's budget after restarts and changes of leader at any moment, in fleets of any
 * size, and against a budget that denies retries which it has left.
 */
import { expect } from "chai";
import fc from "fast-check";
import { BudgetReplay, type BudgetReplayOptions } from "./retryBudgetReplay.js";

/** Retries that each entry needs, many more than it may take. */
const NEEDED_PER_SECOND = 60;
const RUNS = 40;
const FAST_CHECK_SEED = 7;
/** Share of the allowed retries that are given out where every entry needs them. */
const MIN_USE = 0.63;

const fleets = fc.record({
    seed: fc.integer({ min: 1, max: 1_000_000 }),
    entries: fc.integer({ min: 5, max: 132 }),
    requestsPerSecond: fc.integer({ min: 1, max: 5 }),
    slackPerEntry: fc.integer({ min: 4, max: 8 }),
    hasPartialAnswer: fc.boolean(),
});

const faults: readonly { readonly title: string; readonly inject: (replay: BudgetReplay) => void; }[] = [
    { title: "none", inject: () => undefined },
    {
        title: "all entries restart with the leader",
        inject: (replay) => {
            replay.changeLeader();
            replay.restart(1);
        },
    },
    {
        title: "half of the entries restart with the leader",
        inject: (replay) => {
            replay.changeLeader();
            replay.restart(0.5);
        },
    },
    {
        title: "all entries restart, the leader goes on",
        inject: (replay) => {
            replay.restart(1);
        },
    },
    {
        title: "half of the entries restart, the leader goes on",
        inject: (replay) => {
            replay.restart(0.5);
        },
    },
    {
        title: "a new leader",
        inject: (replay) => {
            replay.changeLeader();
        },
    },
    {
        title: "no leader for two seconds",
        inject: (replay) => {
            replay.loseLeader();
            replay.run(2_000, NEEDED_PER_SECOND);
            replay.electLeader();
        },
    },
    {
        title: "two new leaders within three seconds",
        inject: (replay) => {
            replay.changeLeader();
            replay.run(3_000, NEEDED_PER_SECOND);
            replay.changeLeader();
        },
    },
    {
        title: "a fifth of the entries is lost with the leader",
        inject: (replay) => {
            replay.changeLeader();
            replay.lose(0.2);
        },
    },
    {
        title: "all entries restart, and a new leader three seconds later",
        inject: (replay) => {
            replay.restart(1);
            replay.run(3_000, NEEDED_PER_SECOND);
            replay.changeLeader();
        },
    },
    {
        title: "all entries restart twice within four seconds",
        inject: (replay) => {
            replay.restart(1);
            replay.run(4_000, NEEDED_PER_SECOND);
            replay.restart(1);
        },
    },
];

function play(options: BudgetReplayOptions, faultMs: number, inject: (replay: BudgetReplay) => void): BudgetReplay {
    const replay = new BudgetReplay(options);
    replay.run(12_000, 0);
    replay.run(faultMs, NEEDED_PER_SECOND);
    inject(replay);
    replay.run(22_000, NEEDED_PER_SECOND);
    return replay;
}

describe("a retry budget holds in every window, whatever fails at whatever moment", () => {
    for (const { title, inject } of faults) {
        it(title, () => {
            fc.assert(
                fc.property(fleets, fc.integer({ min: 0, max: 10_000 }), (options, faultMs) => {
                    expect(play(options, faultMs, inject).computeExcess()).to.be.at.most(0);
                }),
                { seed: FAST_CHECK_SEED, numRuns: RUNS, endOnFailure: true },
            );
        });
    }

    for (const entries of [9, 60, 132]) {
        it(`${String(entries)} entries that all need retries get most of the budget`, () => {
            const options = { seed: entries, entries, requestsPerSecond: 3, slackPerEntry: 5, hasPartialAnswer: true };
            expect(play(options, 10_000, () => undefined).computeUse()).to.be.at.least(MIN_USE);
        });
    }
});
