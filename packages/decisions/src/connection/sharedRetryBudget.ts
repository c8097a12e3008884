/**
 * One entry's part of a retry budget that all entries share.
 *
 * Load pattern: dozens of entries with a few requests a second each, and engines that fail. One second of rejections
 * needs ten retries at one entry and none at the next. With equal shares an entry may make only a few retries per
 * window, so that half of the needed retries are denied and callers are refused although upstreams are free.
 *
 * So an entry draws on the fleet's remaining budget, as last reported by the leader. Of the remainder it takes an equal
 * part, from which it subtracts what it has sent since the others reported. All entries that need retries at once then
 * send no more than the remainder, and what others do not need is available with the next report. Without a recent
 * report an entry keeps to an equal share of the whole budget, which needs no messages between entries and adds up to no
 * more than the whole.
 *
 * Counts that are lost with a process are charged with the most that they can be. A restarted entry counts as its own
 * what it may have sent since its last report; for this purpose the retries that the leader does not know yet are bounded.
 * A new leader knows nothing of entries that are gone, and of what restarted ones had sent before; for this purpose the
 * retries of one entry in a window are bounded.
 */

/** The whole fleet's budget for one service. */
export interface SharedRetryBudgetOptions {
    /** Retries allowed per request. */
    readonly ratio: number;
    /** Retries allowed besides, in one window. */
    readonly slack: number;
    readonly windowMs: number;
}

/** What a budget needs of the process that holds it. */
export interface BudgetProcess {
    /** Returns a number from 0 up to, but excluding, 1; parts of a retry are rounded down where it is always 0. */
    readonly random: () => number;
    /**
     * Time from the start within which a leader's report is expected, in milliseconds. No retry is taken before the first
     * report in this time: of entries that restart again and again each would add its startup share.
     */
    readonly firstReportMs: number;
}

/** What was sent to a service in the last window; `repeats` counts retries. */
export interface RetrySpending {
    readonly requests: number;
    readonly repeats: number;
    /** The most retries that restarted entries may have sent besides; absent in sums of leaders that do not report it. */
    readonly lost?: number;
}

/** What a leader's report of the fleet's spending is based on. */
export interface SpendingCoverage {
    /** How long the leader has received reports, in milliseconds. */
    readonly knownMs: number;
    /** Entries whose reports it has, including the one that receives the sum. */
    readonly reporters: number;
}

/**
 * Share of the budget that is given out in equal shares. The rest covers what an entry can't see: entries that have
 * just restarted and lost their counts.
 */
const STATIC_SHARE = 0.8;
/** Share of it for requests that have no part of an answer yet. */
const STATIC_UNANSWERED_SHARE = 0.6;
/** Share of the budget that is used while the fleet's spending is known. */
const REPORTED_SHARE = 0.75;
/** The same for requests that have no part of an answer yet. */
const REPORTED_UNANSWERED_SHARE = 0.6;
/** What an entry takes of the remainder, as a multiple of its equal part, since hardly ever all entries need retries at once. */
const REMAINDER_PARTS = 1.1;
/**
 * Bound of the retries that the leader does not know yet, as a part of the equal share. A restarted entry is charged with
 * them, so the bound is a trade-off between bursts at one entry and what an entry may send after a restart.
 */
const UNREPORTED_SHARE = 0.4;
/** Bound of the retries of one entry in a window, as a multiple of the equal share. */
const MAX_ENTRY_SHARES = 2;
/** Share of the entries that may be missing in the report of a new leader. */
const MAX_MISSING_SHARE = 0.25;
/**
 * Equal shares of an entry that has just started and can't use the report of a new leader. Where all entries have
 * restarted, earlier spending is unknown; this share and what they may have sent before add up to the whole budget.
 */
const STARTUP_SHARE = 0.25;
/** The same for requests that have no part of an answer yet. */
const STARTUP_UNANSWERED_SHARE = 0.2;
/** Time after which an entry's spending is known to all others. */
const REPORT_LAG_MS = 1_200;
/** Slots of the window in which requests and retries are counted. */
const WINDOW_SLOTS = 50;
const MS_PER_SECOND = 1_000;

interface Slot {
    number: number;
    requests: number;
    repeats: number;
}

/** Why a retry was denied: a bound that it would exceed, what is used of it, and its value, in retries. */
export interface RetryDenial {
    readonly bound:
        /** No leader has reported yet; in milliseconds since the start. */
        | "first-report"
        /** This entry's equal share, without a recent report. */
        | "equal-share"
        /** The fleet's retries, of which a part is reserved for requests with a part of an answer. */
        | "unanswered"
        /** This entry's part of the remainder. */
        | "remainder"
        /** Retries that the leader does not know yet. */
        | "unreported"
        /** Retries of one entry in a window. */
        | "entry";
    readonly used: number;
    readonly limit: number;
}

/** Finds the first bound that one more retry exceeds. */
function findDenial(bounds: readonly RetryDenial[]): RetryDenial | undefined {
    return bounds.find(({ used, limit }) => used + 1 > limit);
}

/** Counts requests and retries of one service at one entry. */
export class SharedRetryBudget {
    private readonly slots: Slot[] = [];
    private remoteSpending: RetrySpending = { requests: 0, repeats: 0 };
    /** Whether a leader has reported since the start. */
    private hasReport = false;
    /** Whether the leader sums lost retries by themselves; they are reported as sent where it does not. */
    private isLostSummed = true;
    /** The most that entries may have sent whose reports a new leader lacks. */
    private missingRepeats = 0;
    /** Whether the leader had observed a whole window when it last answered. */
    private isWindowObserved = false;
    private reportedMs = Number.NEGATIVE_INFINITY;
    /**
     * Added to what this entry may take of the remainder before it is rounded down. Drawn with each report: where less
     * than one retry is left for each entry, some take one, and all together as many as are left.
     */
    private rounding = 0;
    /** Retries since the start: all, those in the last report to the leader, and those in the last one that it answered. */
    private repeats = 0;
    private sentRepeats = 0;
    private knownRepeats = 0;
    private denial: RetryDenial | undefined;

    /**
     * @param options - the whole fleet's budget
     * @param getEntries - number of entries that share it
     * @param getNowMs - the monotonic clock
     * @param startedMs - start of this process on that clock; earlier spending of the instance is unknown
     * @param process - what depends on the process that holds the budget
     */
    constructor(
        private readonly options: SharedRetryBudgetOptions,
        private readonly getEntries: () => number,
        private readonly getNowMs: () => number,
        private readonly startedMs: number = getNowMs(),
        private readonly process: BudgetProcess = { random: () => 0, firstReportMs: 0 },
    ) {}

    /** Counts a caller's request. */
    recordRequest(): void {
        this.getSlot().requests += 1;
    }

    /**
     * Records the leader's report of what other entries sent. A report that covers less than a window is ignored where
     * too many entries are missing in it, or where this entry does not know what it sent in the window itself.
     * @param spending - in the last window
     * @param coverage - what the report is based on
     */
    recordRemoteSpending(spending: RetrySpending, { knownMs, reporters }: SpendingCoverage): void {
        const isLeaderNew = knownMs < this.options.windowMs;
        this.hasReport = true;
        this.isWindowObserved = !isLeaderNew;
        this.knownRepeats = this.sentRepeats;
        this.isLostSummed = spending.lost !== undefined;
        const missing = Math.max(0, this.getEntries() - reporters);
        const isOwnWindowKnown = this.isLostSummed || !this.isStarting;
        if (isLeaderNew && (!isOwnWindowKnown || missing > this.getEntries() * MAX_MISSING_SHARE)) {
            return;
        }
        this.remoteSpending = spending;
        this.missingRepeats = isLeaderNew ? missing * MAX_ENTRY_SHARES * this.computeEqualShare() : 0;
        this.reportedMs = this.getNowMs();
        this.rounding = this.process.random();
    }

    /**
     * Takes one retry out of the budget.
     * @param hasPartialAnswer - whether the caller has received a part of the answer; a share of the budget is reserved
     * for such requests, since a broken stream costs more than a refused request
     * @returns false where the budget is spent
     */
    claimRetry(hasPartialAnswer: boolean): boolean {
        const isReported = this.getNowMs() - this.reportedMs < this.options.windowMs;
        this.denial = isReported
            ? this.findRemainderDenial(hasPartialAnswer)
            : this.findEqualShareDenial(hasPartialAnswer);
        if (this.denial !== undefined) {
            return false;
        }
        this.repeats += 1;
        this.getSlot().repeats += 1;
        return true;
    }

    /** Returns a retry that was taken and not sent. */
    releaseRetry(): void {
        this.getSlot();
        const slot = this.slots.findLast(({ repeats }) => repeats > 0);
        if (slot !== undefined) {
            slot.repeats -= 1;
            this.repeats -= 1;
        }
    }

    /** Why the last retry was denied; undefined if it was not. */
    get lastDenial(): RetryDenial | undefined {
        return this.denial;
    }

    /**
     * Computes what this entry sent.
     * @returns requests and retries in the last window
     */
    computeSpending(): RetrySpending {
        this.getSlot();
        return {
            requests: this.slots.reduce((sum, one) => sum + one.requests, 0),
            repeats: this.slots.reduce((sum, one) => sum + one.repeats, 0),
        };
    }

    /**
     * Computes what this entry reports to the leader.
     * @returns requests and retries in the last window, and what may have been lost with a restart
     */
    computeReport(): RetrySpending {
        const { requests, repeats } = this.computeSpending();
        this.sentRepeats = this.repeats;
        const lost = Math.ceil(this.maxLost);
        return this.isLostSummed ? { requests, repeats, lost } : { requests, repeats: repeats + lost, lost: 0 };
    }

    /**
     * Computes the rate of callers' requests.
     * @returns requests a second over the window
     */
    get requestsPerSecond(): number {
        return this.computeSpending().requests * MS_PER_SECOND / this.options.windowMs;
    }

    private findEqualShareDenial(hasPartialAnswer: boolean): RetryDenial | undefined {
        if (!this.hasReport && this.ageMs < this.process.firstReportMs) {
            return { bound: "first-report", used: this.ageMs, limit: this.process.firstReportMs };
        }
        const { requests, repeats } = this.computeSpending();
        const { ratio, slack } = this.options;
        const steady = hasPartialAnswer ? STATIC_SHARE : STATIC_SHARE * STATIC_UNANSWERED_SHARE;
        const startup = hasPartialAnswer ? STARTUP_SHARE : STARTUP_UNANSWERED_SHARE;
        const share = this.isStarting ? startup : steady;
        return findDenial([{
            bound: "equal-share",
            used: repeats,
            limit: share * (requests * ratio + slack / this.getEntries()),
        }]);
    }

    private findRemainderDenial(hasPartialAnswer: boolean): RetryDenial | undefined {
        const allowed = this.computeAllowed();
        const limit = Math.min(REPORTED_SHARE * allowed, (allowed - this.computeUnknown(allowed)) / REMAINDER_PARTS);
        const sinceMs = this.reportedMs - REPORT_LAG_MS;
        const { repeats } = this.computeSpending();
        const recent = this.countRepeatsSince(sinceMs);
        const known = this.remoteSpending.repeats + repeats - recent;
        // Other entries do not know yet what this one may have lost.
        const unreported = this.isWindowObserved && this.startedMs >= sinceMs ? this.maxLost : 0;
        const unansweredLimit = limit * REPORTED_UNANSWERED_SHARE / REPORTED_SHARE;
        return findDenial([
            ...(hasPartialAnswer
                ? []
                : [{ bound: "unanswered", used: known + recent, limit: unansweredLimit } as const]),
            {
                bound: "remainder",
                used: recent + unreported,
                limit: REMAINDER_PARTS * (limit - known) / this.getEntries() + this.rounding,
            },
            { bound: "unreported", used: this.repeats - this.knownRepeats, limit: this.maxUnreported },
            { bound: "entry", used: repeats, limit: MAX_ENTRY_SHARES * this.computeEqualShare() },
        ]);
    }

    /** The most retries that may have been sent and are in no report; never more than the fleet gives out. */
    private computeUnknown(allowed: number): number {
        const unknown = (this.remoteSpending.lost ?? 0) + this.maxLost + this.missingRepeats;
        return Math.min(unknown, REMAINDER_PARTS * REPORTED_SHARE * allowed);
    }

    /**
     * The most that the instance may have sent before a restart and the leader does not know: since its last report, or
     * in a whole window where the leader is new.
     */
    private get maxLost(): number {
        if (!this.isStarting) {
            return 0;
        }
        return this.isWindowObserved ? this.maxUnreported : MAX_ENTRY_SHARES * this.computeEqualShare();
    }

    /** Whether this entry has been running for less than a window. */
    private get isStarting(): boolean {
        return this.ageMs < this.options.windowMs;
    }

    private get ageMs(): number {
        return this.getNowMs() - this.startedMs;
    }

    /** The most retries that the leader may not know yet; at least one, so that a small budget is not denied altogether. */
    private get maxUnreported(): number {
        return Math.max(1, UNREPORTED_SHARE * this.computeEqualShare());
    }

    /** Retries that all entries together may send in a window. */
    private computeAllowed(): number {
        const { ratio, slack } = this.options;
        return (this.computeSpending().requests + this.remoteSpending.requests) * ratio + slack;
    }

    private computeEqualShare(): number {
        return this.computeAllowed() / this.getEntries();
    }

    private countRepeatsSince(sinceMs: number): number {
        const first = Math.floor(sinceMs / this.slotMs);
        return this.slots.reduce((sum, { number, repeats }) => sum + (number >= first ? repeats : 0), 0);
    }

    private get slotMs(): number {
        return this.options.windowMs / WINDOW_SLOTS;
    }

    private getSlot(): Slot {
        const number = Math.floor(this.getNowMs() / this.slotMs);
        while (this.slots[0] !== undefined && this.slots[0].number <= number - WINDOW_SLOTS) {
            this.slots.shift();
        }
        const last = this.slots.at(-1);
        if (last?.number === number) {
            return last;
        }
        const slot = { number, requests: 0, repeats: 0 };
        this.slots.push(slot);
        return slot;
    }
}
