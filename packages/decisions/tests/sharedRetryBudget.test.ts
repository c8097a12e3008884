import { expect } from "chai";
import { type RetrySpending, SharedRetryBudget } from "../src/index.js";

const ENTRIES = 60;
const REQUESTS_A_SECOND = 3;
const STEP_MS = 50;
const TELL_MS = 400;
/** From an entry's notice to its being known everywhere. */
const LAG_MS = 800;
const terms = { ratio: 0.2, slack: 304, windowMs: 10_000 };

/** Repeats that an entry would send in a step, and whether their callers have a part of their answer already. */
type Need = (entry: number, nowMs: number) => number;

/** Entries that tell a leader what they sent, and hear the sums some time later. */
class FleetReplay {
    nowMs = 100_000;
    readonly claimed: number[] = new Array<number>(ENTRIES).fill(0);
    private readonly budgets = Array.from(
        { length: ENTRIES },
        () => new SharedRetryBudget(terms, () => ENTRIES, () => this.nowMs),
    );
    private readonly told: { readonly atMs: number; readonly spending: readonly RetrySpending[]; }[] = [];
    private readonly sends: { readonly atMs: number; readonly requests: number; readonly repeats: number; }[] = [];

    constructor(private readonly isReported: boolean, private readonly isUnderWay: boolean) {}

    run(seconds: number, need: Need): void {
        const untilMs = this.nowMs + seconds * 1_000;
        for (; this.nowMs < untilMs; this.nowMs += STEP_MS) {
            this.runStep(need);
        }
    }

    /** The most repeats beyond what is allowed in any window; negative where all is within. */
    computeExcess(): number {
        const ends = this.sends.map((one) => one.atMs);
        return Math.max(...ends.map((endMs) => {
            const inside = this.sends.filter((one) => one.atMs <= endMs && one.atMs > endMs - terms.windowMs);
            const requests = inside.reduce((sum, one) => sum + one.requests, 0);
            const repeats = inside.reduce((sum, one) => sum + one.repeats, 0);
            return repeats - requests * terms.ratio - terms.slack;
        }));
    }

    private runStep(need: Need): void {
        const isTurn = this.nowMs % TELL_MS === 0;
        if (isTurn) {
            this.told.push({ atMs: this.nowMs, spending: this.budgets.map((budget) => budget.computeSpending()) });
        }
        const known = this.told.findLast((one) => one.atMs <= this.nowMs - LAG_MS);
        let repeats = 0;
        this.budgets.forEach((budget, entry) => {
            if (isTurn && this.isReported && known !== undefined) {
                budget.recordRemoteSpending(sumOthers(known.spending, entry), this.nowMs);
            }
            const isArrival = (this.nowMs / STEP_MS + entry) % (1_000 / REQUESTS_A_SECOND / STEP_MS | 0) === 0;
            if (isArrival) {
                budget.recordRequest();
            }
            for (let wanted = need(entry, this.nowMs); wanted > 0 && budget.claimRetry(this.isUnderWay); wanted -= 1) {
                repeats += 1;
                this.claimed[entry] = (this.claimed[entry] ?? 0) + 1;
            }
        });
        const requests = ENTRIES * STEP_MS / 1_000 * REQUESTS_A_SECOND;
        this.sends.push({ atMs: this.nowMs, requests, repeats });
    }
}

function sumOthers(spending: readonly RetrySpending[], self: number): RetrySpending {
    return spending.filter((_one, entry) => entry !== self).reduce(
        (sum, one) => ({ requests: sum.requests + one.requests, repeats: sum.repeats + one.repeats }),
        { requests: 0, repeats: 0 },
    );
}

const sum = (values: readonly number[]): number => values.reduce((total, one) => total + one, 0);

describe("repeats go to the entries that need them, and stay within the fleet's budget", () => {
    const calm: Need = () => 0;
    const everywhere: Need = () => 3;
    const rows: readonly { readonly title: string; readonly need: Need; readonly isUnderWay: boolean; }[] = [
        { title: "all want as many as they can get", need: everywhere, isUnderWay: false },
        { title: "the same for streams under way", need: everywhere, isUnderWay: true },
        {
            title: "all at once for a second, then again",
            need: (_entry, nowMs) => nowMs % 3_000 < 1_000 ? 5 : 0,
            isUnderWay: true,
        },
        {
            title: "half of them, by turns",
            need: (entry, nowMs) => entry % 2 === Math.floor(nowMs / 2_000) % 2 ? 4 : 0,
            isUnderWay: true,
        },
    ];
    for (const { title, need, isUnderWay } of rows) {
        it(`within: ${title}`, () => {
            const replay = new FleetReplay(true, isUnderWay);
            replay.run(12, calm);
            replay.run(40, need);
            expect(replay.computeExcess()).to.be.at.most(0);
            expect(sum(replay.claimed)).to.be.above(1_000);
        });
    }

    // Declines of one second: some entries meet twelve, most few.
    const uneven: Need = (entry, nowMs) =>
        nowMs % 10_000 < 1_000 && nowMs % 100 === 0 ? (entry % 6 === 0 ? 1.2 : 0.1) : 0;

    it("an uneven second of declines is met by more repeats than even parts give", () => {
        const [known, even] = [true, false].map((isReported) => {
            const replay = new FleetReplay(isReported, false);
            replay.run(12, calm);
            replay.run(20, (entry, nowMs) => Math.ceil(uneven(entry, nowMs) - 0.2));
            return sum(replay.claimed);
        });
        expect(even).to.be.below(110);
        expect(known).to.be.above(150);
    });

    it("a notice of a leader that has not heard a whole window is not taken for one", () => {
        const budget = new SharedRetryBudget(terms, () => ENTRIES, () => 100_000);
        budget.recordRemoteSpending({ requests: 5_000, repeats: 0 }, 9_000);
        let claimed = 0;
        while (budget.claimRetry(false)) {
            claimed += 1;
        }
        expect(claimed).to.equal(Math.floor(terms.slack / ENTRIES * 0.3));
    });

    it("entries that all start anew, with their leader, keep to what the last ones can't have spent", () => {
        let nowMs = 100_000;
        const budget = new SharedRetryBudget(terms, () => ENTRIES, () => nowMs);
        const countClaims = (isUnderWay: boolean): number => {
            let claimed = 0;
            while (budget.claimRetry(isUnderWay)) {
                claimed += 1;
            }
            return claimed;
        };
        const most = terms.slack / ENTRIES;
        expect([countClaims(false), countClaims(true)]).to.deep.equal([Math.floor(most * 0.3), 1]);
        nowMs += terms.windowMs;
        expect(countClaims(true)).to.equal(Math.floor(most * 0.8));
    });

    it("what the leader told is drawn on no further once it falls silent", () => {
        let nowMs = 100_000;
        const budget = new SharedRetryBudget(terms, () => ENTRIES, () => nowMs);
        budget.recordRemoteSpending({ requests: 1_800, repeats: 0 }, 20_000);
        const claimAll = (): number => {
            let claimed = 0;
            while (budget.claimRetry(true)) {
                claimed += 1;
            }
            return claimed;
        };
        const first = claimAll();
        nowMs += 3_000;
        const second = claimAll();
        nowMs += 3_000;
        expect([first, second, claimAll()]).to.deep.equal([8, 3, 0]);
    });
});
