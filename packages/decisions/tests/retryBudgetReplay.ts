/**
 * Entries that share a retry budget while entries restart, are lost, and leaders change. Each entry reports to the leader
 * at its own times, and gets the sums of what the leader has from the others.
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { decaySpending, type RetrySpending, SharedRetryBudget, type SharedRetryBudgetOptions } from "../src/index.js";

const STEP_MS = 50;
const MIN_REPORT_INTERVAL_MS = 200;
const REPORT_INTERVAL_SPAN_MS = 400;
/** Upper bound of the time from the leader's answer until an entry applies it. */
const MAX_ANSWER_MS = 600;
/** Time for which a leader counts entries that it no longer hears from. */
const ENTRY_EXPIRY_MS = 12_000;
const FIRST_REPORT_MS = 1_500;
const RATIO = 0.2;
const WINDOW_MS = 10_000;

/** Size and load of a fleet. */
export interface BudgetReplayOptions {
    readonly seed: number;
    readonly entries: number;
    /** Requests a second at each entry. */
    readonly requestsPerSecond: number;
    /** Retries allowed in a window besides a share of the requests, for each entry. */
    readonly slackPerEntry: number;
    readonly hasPartialAnswer: boolean;
}

interface Entry {
    budget: SharedRetryBudget;
    isLost: boolean;
    /** Whether the leader must be told that earlier counts are gone. */
    isRestarted: boolean;
    nextReportMs: number;
    answer: (() => void) | undefined;
    answerMs: number;
}

interface Report {
    readonly atMs: number;
    readonly spending: RetrySpending;
}

/** What all entries together sent in a step. */
interface Step {
    readonly requests: number;
    readonly repeats: number;
}

/** A run of the replay. */
export class BudgetReplay {
    nowMs = 100_000;
    /** Retries that were needed and denied. */
    denied = 0;
    readonly budgetOptions: SharedRetryBudgetOptions;
    private readonly draw: () => number;
    private readonly fleet: readonly Entry[];
    private readonly steps: Step[] = [];
    private reports = new Map<number, Report>();
    private former: readonly Report[] = [];
    private leadingSinceMs = 0;
    private hasLeader = true;

    /**
     * @param options - size and load
     */
    constructor(private readonly options: BudgetReplayOptions) {
        const generator = xoroshiro128plus(options.seed);
        this.draw = () => uniformFloat64(generator);
        this.budgetOptions = { ratio: RATIO, slack: options.slackPerEntry * options.entries, windowMs: WINDOW_MS };
        this.fleet = Array.from({ length: options.entries }, () => ({
            budget: this.createBudget(),
            isLost: false,
            isRestarted: false,
            nextReportMs: this.nowMs + this.draw() * REPORT_INTERVAL_SPAN_MS,
            answer: undefined,
            answerMs: 0,
        }));
    }

    /** A new leader knows only what entries report to it from now on. */
    changeLeader(): void {
        this.reports = new Map();
        this.former = [];
        this.leadingSinceMs = this.nowMs;
    }

    /** Removes the leader until `changeLeader`. */
    loseLeader(): void {
        this.hasLeader = false;
    }

    /** Elects a new leader. */
    electLeader(): void {
        this.hasLeader = true;
        this.changeLeader();
    }

    /** Restarts a share of the entries; counts and answers under way are lost. */
    restart(share: number): void {
        this.pick(share).forEach((entry) => {
            entry.budget = this.createBudget();
            entry.isRestarted = true;
            entry.answer = undefined;
        });
    }

    /** Removes a share of the entries for good. */
    lose(share: number): void {
        this.pick(share).forEach((entry) => {
            entry.isLost = true;
        });
    }

    /** Runs for a time in which each entry needs some retries a second. */
    run(durationMs: number, neededPerSecond: number): void {
        for (const untilMs = this.nowMs + durationMs; this.nowMs < untilMs; this.nowMs += STEP_MS) {
            this.runStep(neededPerSecond);
        }
    }

    /** Most retries above the budget in any window; negative where every window is within it. */
    computeExcess(): number {
        const sums = this.listWindows();
        return Math.max(...sums.map(({ requests, repeats }) => repeats - this.computeAllowed(requests)));
    }

    /** Most retries in any window, in parts of what is allowed there. */
    computeUse(): number {
        return Math.max(...this.listWindows().map(({ requests, repeats }) => repeats / this.computeAllowed(requests)));
    }

    private computeAllowed(requests: number): number {
        return requests * RATIO + this.budgetOptions.slack;
    }

    private listWindows(): readonly Step[] {
        const size = WINDOW_MS / STEP_MS;
        let requests = 0;
        let repeats = 0;
        return this.steps.map((step, at) => {
            const left = this.steps[at - size];
            requests += step.requests - (left?.requests ?? 0);
            repeats += step.repeats - (left?.repeats ?? 0);
            return { requests, repeats };
        });
    }

    private pick(share: number): readonly Entry[] {
        return this.fleet.slice(0, Math.ceil(this.fleet.length * share));
    }

    private createBudget(): SharedRetryBudget {
        return new SharedRetryBudget(
            this.budgetOptions,
            () => this.options.entries,
            () => this.nowMs,
            this.nowMs,
            { random: this.draw, firstReportMs: FIRST_REPORT_MS },
        );
    }

    private runStep(neededPerSecond: number): void {
        const { requestsPerSecond, hasPartialAnswer } = this.options;
        let requests = 0;
        let repeats = 0;
        this.fleet.forEach((entry, number) => {
            if (entry.isLost) {
                return;
            }
            this.exchange(entry, number);
            if (this.draw() < requestsPerSecond * STEP_MS / 1_000) {
                entry.budget.recordRequest();
                requests += 1;
            }
            for (let needed = this.drawCount(neededPerSecond * STEP_MS / 1_000); needed > 0; needed -= 1) {
                if (entry.budget.claimRetry(hasPartialAnswer)) {
                    repeats += 1;
                }
                else {
                    this.denied += 1;
                }
            }
        });
        this.steps.push({ requests, repeats });
    }

    /** Draws a whole number with a mean. */
    private drawCount(mean: number): number {
        return Math.floor(mean) + (this.draw() < mean % 1 ? 1 : 0);
    }

    private exchange(entry: Entry, number: number): void {
        if (entry.answer !== undefined && this.nowMs >= entry.answerMs) {
            entry.answer();
            entry.answer = undefined;
        }
        if (!this.hasLeader || this.nowMs < entry.nextReportMs || entry.answer !== undefined) {
            return;
        }
        entry.nextReportMs = this.nowMs + MIN_REPORT_INTERVAL_MS + this.draw() * REPORT_INTERVAL_SPAN_MS;
        this.recordReport(entry, number);
        const sinceMs = this.nowMs - ENTRY_EXPIRY_MS;
        this.former = this.former.filter(({ atMs }) => atMs > sinceMs);
        const others = [...this.reports].filter(([other, { atMs }]) => other !== number && atMs > sinceMs);
        const sums = [...others.map(([, report]) => report), ...this.former].reduce(
            (sum, report) => {
                const { requests, repeats, lost = 0 } = decaySpending(
                    report.spending,
                    this.nowMs - report.atMs,
                    WINDOW_MS,
                );
                return {
                    requests: sum.requests + requests,
                    repeats: sum.repeats + repeats,
                    lost: sum.lost + lost,
                };
            },
            { requests: 0, repeats: 0, lost: 0 },
        );
        const coverage = { knownMs: this.nowMs - this.leadingSinceMs, reporters: others.length + 1 };
        const { budget } = entry;
        entry.answerMs = this.nowMs + this.draw() * MAX_ANSWER_MS;
        entry.answer = () => {
            budget.recordRemoteSpending(sums, coverage);
        };
    }

    private recordReport(entry: Entry, number: number): void {
        const known = this.reports.get(number);
        if (entry.isRestarted && known !== undefined) {
            this.former = [...this.former, known];
        }
        entry.isRestarted = false;
        this.reports.set(number, { atMs: this.nowMs, spending: entry.budget.computeReport() });
    }
}
