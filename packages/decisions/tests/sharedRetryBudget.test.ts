import { expect } from "chai";
import { type RetrySpending, SharedRetryBudget } from "../src/index.js";

const ENTRIES = 60;
const REQUESTS_PER_SECOND = 3;
const STEP_MS = 50;
const REPORT_INTERVAL_MS = 400;
/** From an entry's report until all entries know it. */
const LAG_MS = 800;
const options = { ratio: 0.2, slack: 304, windowMs: 10_000 };

/** Retries that an entry needs in a step. */
type Need = (entry: number, nowMs: number) => number;

/** Entries that report to a leader what they sent, and receive the sums some time later. */
class FleetReplay {
    nowMs = 100_000;
    readonly claimed: number[] = new Array<number>(ENTRIES).fill(0);
    private leadingSinceMs = 0;
    /** Entries that no longer report; what they sent before still counts. */
    private readonly missing = new Set<number>();
    /** What restarted entries had reported last; a leader counts it for a window. */
    private former: readonly { readonly atMs: number; readonly spending: RetrySpending; }[] = [];
    private readonly budgets = Array.from({ length: ENTRIES }, () => this.createBudget());
    private readonly reports: { readonly atMs: number; readonly spending: readonly RetrySpending[]; }[] = [];
    private readonly sends: { readonly atMs: number; readonly requests: number; readonly repeats: number; }[] = [];

    constructor(
        private readonly isReported: boolean,
        private readonly hasPartialAnswer: boolean,
        private readonly maxReporters: number = ENTRIES,
    ) {}

    /** A new leader knows only what entries report to it from now on. */
    changeLeader(): void {
        this.leadingSinceMs = this.nowMs;
        this.reports.length = 0;
        this.former = [];
    }

    restart(entries: readonly number[]): void {
        const reported = this.reports.at(-1)?.spending ?? [];
        entries.forEach((entry) => {
            this.budgets[entry] = this.createBudget();
            const spending = reported[entry];
            if (spending !== undefined) {
                this.former = [...this.former, { atMs: this.nowMs, spending }];
            }
        });
    }

    lose(entries: readonly number[]): void {
        entries.forEach((entry) => this.missing.add(entry));
    }

    run(seconds: number, need: Need): void {
        const untilMs = this.nowMs + seconds * 1_000;
        for (; this.nowMs < untilMs; this.nowMs += STEP_MS) {
            this.runStep(need);
        }
    }

    /** Most retries above the budget in any window; negative where every window is within it. */
    computeExcess(): number {
        const ends = this.sends.map((one) => one.atMs);
        return Math.max(...ends.map((endMs) => {
            const inside = this.sends.filter((one) => one.atMs <= endMs && one.atMs > endMs - options.windowMs);
            const requests = inside.reduce((sum, one) => sum + one.requests, 0);
            const repeats = inside.reduce((sum, one) => sum + one.repeats, 0);
            return repeats - requests * options.ratio - options.slack;
        }));
    }

    private createBudget(): SharedRetryBudget {
        return new SharedRetryBudget(options, () => ENTRIES, () => this.nowMs);
    }

    private runStep(need: Need): void {
        const isTurn = this.nowMs % REPORT_INTERVAL_MS === 0;
        if (isTurn) {
            this.reports.push({
                atMs: this.nowMs,
                spending: [
                    ...this.budgets.map((budget, entry) =>
                        this.missing.has(entry) ? { requests: 0, repeats: 0 } : budget.computeReport()
                    ),
                    ...this.former.filter(({ atMs }) => atMs > this.nowMs - options.windowMs).map(({ spending }) =>
                        spending
                    ),
                ],
            });
        }
        const known = this.reports.findLast((one) => one.atMs <= this.nowMs - LAG_MS);
        let repeats = 0;
        const reporters = Math.min(this.maxReporters, ENTRIES - this.missing.size);
        const coverage = { knownMs: this.nowMs - this.leadingSinceMs, reporters };
        this.budgets.forEach((budget, entry) => {
            if (this.missing.has(entry)) {
                return;
            }
            if (isTurn && this.isReported && known !== undefined) {
                budget.recordRemoteSpending(sumOthers(known.spending, entry), coverage);
            }
            const isArrival = (this.nowMs / STEP_MS + entry) % (1_000 / REQUESTS_PER_SECOND / STEP_MS | 0) === 0;
            if (isArrival) {
                budget.recordRequest();
            }
            for (
                let wanted = need(entry, this.nowMs);
                wanted > 0 && budget.claimRetry(this.hasPartialAnswer);
                wanted -= 1
            ) {
                repeats += 1;
                this.claimed[entry] = (this.claimed[entry] ?? 0) + 1;
            }
        });
        const requests = ENTRIES * STEP_MS / 1_000 * REQUESTS_PER_SECOND;
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

describe("retries go to the entries that need them, and stay within the fleet's budget", () => {
    const none: Need = () => 0;
    const everywhere: Need = () => 3;
    const rows: readonly { readonly title: string; readonly need: Need; readonly hasPartialAnswer: boolean; }[] = [
        { title: "all need as many as they can get", need: everywhere, hasPartialAnswer: false },
        { title: "the same for partly delivered streams", need: everywhere, hasPartialAnswer: true },
        {
            title: "all at once for a second, then again",
            need: (_entry, nowMs) => nowMs % 3_000 < 1_000 ? 5 : 0,
            hasPartialAnswer: true,
        },
        {
            title: "half of them, in turn",
            need: (entry, nowMs) => entry % 2 === Math.floor(nowMs / 2_000) % 2 ? 4 : 0,
            hasPartialAnswer: true,
        },
    ];
    for (const { title, need, hasPartialAnswer } of rows) {
        it(`within: ${title}`, () => {
            const replay = new FleetReplay(true, hasPartialAnswer);
            replay.run(12, none);
            replay.run(40, need);
            expect(replay.computeExcess()).to.be.at.most(0);
            expect(sum(replay.claimed)).to.be.above(1_000);
        });
    }

    // One second of rejections: some entries get twelve, most get few.
    const unevenFailures: Need = (entry, nowMs) =>
        nowMs % 10_000 < 1_000 && nowMs % 100 === 0 ? (entry % 6 === 0 ? 1.2 : 0.1) : 0;

    it("an uneven second of rejections gets more retries than equal shares permit", () => {
        const [known, equalShares] = [true, false].map((isReported) => {
            const replay = new FleetReplay(isReported, false);
            replay.run(12, none);
            replay.run(20, (entry, nowMs) => Math.ceil(unevenFailures(entry, nowMs) - 0.2));
            return sum(replay.claimed);
        });
        expect(equalShares).to.be.below(110);
        expect(known).to.be.above(150);
    });

    const first = (count: number): readonly number[] => Array.from({ length: count }, (_one, entry) => entry);
    const leaderChanges: readonly {
        readonly title: string;
        readonly restarted?: readonly number[];
        readonly lost?: readonly number[];
    }[] = [
        { title: "all entries report to the new leader" },
        { title: "an eighth of the entries is lost with the leader", lost: first(ENTRIES / 8) },
        { title: "half of the entries are lost with the leader", lost: first(ENTRIES / 2) },
        { title: "half of the entries restart with the leader", restarted: first(ENTRIES / 2) },
        { title: "all entries restart with the leader", restarted: first(ENTRIES) },
    ];
    for (const { title, restarted = [], lost = [] } of leaderChanges) {
        for (const hasPartialAnswer of [false, true]) {
            it(`within, through a change of leader: ${title}${hasPartialAnswer ? ", partly delivered" : ""}`, () => {
                const replay = new FleetReplay(true, hasPartialAnswer);
                replay.run(12, none);
                replay.run(5, everywhere);
                replay.changeLeader();
                replay.restart(restarted);
                replay.lose(lost);
                replay.run(25, everywhere);
                expect(replay.computeExcess()).to.be.at.most(0);
            });
        }
    }

    it("entries with many broken streams get further retries after a change of leader", () => {
        const [known, ignored] = [ENTRIES, 0].map((reporters) => {
            const replay = new FleetReplay(true, true, reporters);
            replay.run(12, none);
            replay.changeLeader();
            replay.run(2.5, none);
            replay.run(7.4, (entry, nowMs) => entry < 3 && nowMs % 500 === 0 ? 1 : 0);
            return sum(replay.claimed);
        });
        const needed = 3 * 15;
        expect(ignored).to.be.below(needed);
        expect(known).to.equal(needed);
    });

    it("entries that restart under a leader that goes on leading take no retries from the others", () => {
        const [restarting, steady] = [first(ENTRIES), []].map((restarted) => {
            const replay = new FleetReplay(true, true);
            replay.run(12, none);
            replay.restart(restarted);
            replay.run(2.5, none);
            replay.run(7.4, (entry, nowMs) => entry < 3 && nowMs % 500 === 0 ? 1 : 0);
            return sum(replay.claimed);
        });
        expect(steady).to.equal(3 * 15);
        expect(restarting).to.equal(steady);
    });

    const restarts: readonly { readonly title: string; readonly count: number; readonly leaderAfterS?: number; }[] = [
        { title: "half of the entries", count: ENTRIES / 2 },
        { title: "all entries", count: ENTRIES },
        { title: "half of the entries, three seconds before a change of leader", count: ENTRIES / 2, leaderAfterS: 3 },
        { title: "all entries, three seconds before a change of leader", count: ENTRIES, leaderAfterS: 3 },
    ];
    for (const { title, count, leaderAfterS } of restarts) {
        it(`within, through a restart under a leader that goes on leading: ${title}`, () => {
            const replay = new FleetReplay(true, true);
            replay.run(12, none);
            replay.run(5, everywhere);
            replay.restart(first(count));
            if (leaderAfterS !== undefined) {
                replay.run(leaderAfterS, everywhere);
                replay.changeLeader();
            }
            replay.run(25, everywhere);
            expect(replay.computeExcess()).to.be.at.most(0);
        });
    }

    const incomplete = [
        { title: "too many entries are missing", coverage: { knownMs: 9_000, reporters: ENTRIES / 2 }, startedMs: 0 },
        {
            title: "this entry does not know its own window",
            coverage: { knownMs: 9_000, reporters: ENTRIES },
            startedMs: 95_000,
        },
    ];
    for (const { title, coverage, startedMs } of incomplete) {
        it(`a report of a leader that has not observed a whole window is ignored: ${title}`, () => {
            const budget = new SharedRetryBudget(options, () => ENTRIES, () => 100_000, startedMs);
            const share = startedMs === 0 ? 0.8 * 0.6 : 0.3;
            budget.recordRemoteSpending({ requests: 5_000, repeats: 0 }, coverage);
            let claimed = 0;
            while (budget.claimRetry(false)) {
                claimed += 1;
            }
            expect(claimed).to.equal(Math.floor(options.slack / ENTRIES * share));
        });
    }

    it("entries that all restart together with their leader keep to what their predecessors can't have spent", () => {
        let nowMs = 100_000;
        const budget = new SharedRetryBudget(options, () => ENTRIES, () => nowMs);
        const countClaims = (hasPartialAnswer: boolean): number => {
            let claimed = 0;
            while (budget.claimRetry(hasPartialAnswer)) {
                claimed += 1;
            }
            return claimed;
        };
        const most = options.slack / ENTRIES;
        expect([countClaims(false), countClaims(true)]).to.deep.equal([Math.floor(most * 0.2), 0]);
        nowMs += options.windowMs;
        expect(countClaims(true)).to.equal(Math.floor(most * 0.8));
    });

    it("a stale report refills nothing once the leader is silent", () => {
        let nowMs = 100_000;
        const budget = new SharedRetryBudget(options, () => ENTRIES, () => nowMs);
        budget.recordRemoteSpending({ requests: 1_800, repeats: 0 }, { knownMs: 20_000, reporters: ENTRIES });
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
        expect([first, second, claimAll()]).to.deep.equal([4, 0, 0]);
    });
});
