/**
 * One entry's part of a retry budget that all entries share.
 *
 * Load pattern: dozens of entries with a few requests a second each, and engines that fail. One second of rejections
 * needs ten retries at one entry and none at the next. With equal shares an entry may make only a few retries per
 * window, so that half of the needed retries are denied and callers are refused although upstreams are free.
 *
 * So an entry draws on the fleet's remaining budget, as last reported by the leader: its token bucket holds at most an
 * equal share of the remainder and refills within a few seconds. Without a recent report it keeps to an equal share of
 * the whole budget, which needs no messages between entries and adds up to no more than the whole.
 *
 * A new leader has the last window of each entry that reports to it, but nothing of entries that are gone and of what
 * restarted ones had sent. Both are charged with the most that one entry can have spent, and less of the budget is given
 * out until the leader has observed a whole window itself. Without this, no bucket would refill in the ten seconds after
 * a change of leader, and engines often fail at the same time as a voter.
 */

/** The whole fleet's budget for one service. */
export interface SharedRetryBudgetOptions {
    /** Retries allowed per request. */
    readonly ratio: number;
    /** Retries allowed besides, in one window. */
    readonly slack: number;
    readonly windowMs: number;
}

/** What was sent to a service in the last window; `repeats` counts retries. */
export interface RetrySpending {
    readonly requests: number;
    readonly repeats: number;
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
 * just restarted and lost their counts, and windows that begin between its own slots.
 */
const STATIC_SHARE = 0.8;
/** Share of it for requests that have no part of an answer yet. */
const STATIC_UNANSWERED_SHARE = 0.6;
/**
 * Share of the budget that is used while the fleet's spending is known. Buckets that were full refill by a third before
 * the leader's report shows what they spent, so the total stays below 1.3 times this share.
 */
const REPORTED_SHARE = 0.75;
/** The same for requests that have no part of an answer yet. */
const REPORTED_UNANSWERED_SHARE = 0.6;
/**
 * The same while the leader is new. Entries that report to no leader keep to equal shares; where they are as many as
 * accepted below, both add up to less than the whole.
 */
const NEW_LEADER_SHARE = 0.5;
/** The same for requests that have no part of an answer yet. */
const NEW_LEADER_UNANSWERED_SHARE = 0.4;
/** Share of the entries that may be missing in the report of a new leader. */
const MAX_MISSING_SHARE = 0.25;
/**
 * Equal shares of an entry that has just started and has no report yet. Where all entries have restarted, earlier
 * spending is unknown; this share and the one above add up to the whole budget.
 */
const STARTUP_SHARE = 0.4;
/** The same for requests that have no part of an answer yet. */
const STARTUP_UNANSWERED_SHARE = 0.3;
/** Time in which a bucket fills: over three times the 1.2 s after which an entry's spending is known to all others. */
const REFILL_MS = 4_000;
/** Age of a report from which it no longer refills the bucket, since it does not show what others have spent since. */
const STALE_REPORT_MS = 1_500;
/** Slots of the window in which requests and retries are counted. */
const WINDOW_SLOTS = 10;
const MS_PER_SECOND = 1_000;

interface Slot {
    number: number;
    requests: number;
    repeats: number;
}

/** Counts requests and retries of one service at one entry. */
export class SharedRetryBudget {
    private readonly slots: Slot[] = [];
    private remoteSpending: RetrySpending = { requests: 0, repeats: 0 };
    private isLeaderNew = false;
    /** Whether the leader had observed a whole window when it last answered. */
    private isWindowObserved = false;
    private reportedMs = Number.NEGATIVE_INFINITY;
    private bucketTokens = 0;
    private filledMs = 0;

    /**
     * @param options - the whole fleet's budget
     * @param getEntries - number of entries that share it
     * @param getNowMs - the monotonic clock
     * @param startedMs - start of this process on that clock; earlier spending of the instance is unknown
     */
    constructor(
        private readonly options: SharedRetryBudgetOptions,
        private readonly getEntries: () => number,
        private readonly getNowMs: () => number,
        private readonly startedMs: number = getNowMs(),
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
        const { windowMs } = this.options;
        const isLeaderNew = knownMs < windowMs;
        this.isWindowObserved = !isLeaderNew;
        const missing = Math.max(0, this.getEntries() - reporters);
        if (isLeaderNew && (this.isStarting || missing > this.getEntries() * MAX_MISSING_SHARE)) {
            return;
        }
        const nowMs = this.getNowMs();
        const isFirst = nowMs - this.reportedMs >= windowMs;
        this.refillBucket();
        const unknown = isLeaderNew ? missing * this.computeMaxUnknown() : 0;
        this.remoteSpending = { requests: spending.requests, repeats: spending.repeats + unknown };
        this.isLeaderNew = isLeaderNew;
        this.reportedMs = nowMs;
        if (isFirst) {
            this.bucketTokens = this.computeBucketSize();
            this.filledMs = nowMs;
        }
    }

    /**
     * Takes one retry out of the budget.
     * @param hasPartialAnswer - whether the caller has received a part of the answer; a share of the budget is reserved
     * for such requests, since a broken stream costs more than a refused request
     * @returns false where the budget is spent
     */
    claimRetry(hasPartialAnswer: boolean): boolean {
        const isReported = this.getNowMs() - this.reportedMs < this.options.windowMs;
        if (!(isReported ? this.takeFromBucket(hasPartialAnswer) : this.isWithinEqualShare(hasPartialAnswer))) {
            return false;
        }
        this.getSlot().repeats += 1;
        return true;
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
     * Computes what this entry reports to the leader. In its first window it adds the most that the instance may have
     * sent before a restart, since a new leader does not know that either. A leader that has observed a whole window
     * counts the last report before the restart itself.
     * @returns requests and retries in the last window
     */
    computeReport(): RetrySpending {
        const { requests, repeats } = this.computeSpending();
        const isUnknown = this.isStarting && !this.isWindowObserved;
        return { requests, repeats: repeats + (isUnknown ? Math.ceil(this.computeMaxUnknown()) : 0) };
    }

    /**
     * Computes the rate of callers' requests.
     * @returns requests a second over the window
     */
    get requestsPerSecond(): number {
        return this.computeSpending().requests * MS_PER_SECOND / this.options.windowMs;
    }

    private isWithinEqualShare(hasPartialAnswer: boolean): boolean {
        const { requests, repeats } = this.computeSpending();
        const { ratio, slack } = this.options;
        const steady = hasPartialAnswer ? STATIC_SHARE : STATIC_SHARE * STATIC_UNANSWERED_SHARE;
        const startup = hasPartialAnswer ? STARTUP_SHARE : STARTUP_UNANSWERED_SHARE;
        const share = this.isStarting ? startup : steady;
        return repeats + 1 <= share * (requests * ratio + slack / this.getEntries());
    }

    private takeFromBucket(hasPartialAnswer: boolean): boolean {
        this.refillBucket();
        const remaining = this.computeRemaining(hasPartialAnswer ? this.reportedShare : this.unansweredShare);
        if (this.bucketTokens < 1 || remaining < 1) {
            return false;
        }
        this.bucketTokens -= 1;
        return true;
    }

    private refillBucket(): void {
        const untilMs = Math.min(this.getNowMs(), this.reportedMs + STALE_REPORT_MS);
        const sinceMs = Math.max(0, untilMs - this.filledMs);
        const bucketSize = this.computeBucketSize();
        this.filledMs = Math.max(this.filledMs, untilMs);
        this.bucketTokens = Math.min(bucketSize, this.bucketTokens + bucketSize * sinceMs / REFILL_MS);
    }

    /** Capacity of the bucket: an equal share of the fleet's remaining budget. */
    private computeBucketSize(): number {
        return Math.max(0, this.computeRemaining(this.reportedShare)) / this.getEntries();
    }

    /** Whether this entry has been running for less than a window. */
    private get isStarting(): boolean {
        return this.getNowMs() - this.startedMs < this.options.windowMs;
    }

    private get reportedShare(): number {
        return this.isLeaderNew ? NEW_LEADER_SHARE : REPORTED_SHARE;
    }

    private get unansweredShare(): number {
        return this.isLeaderNew ? NEW_LEADER_UNANSWERED_SHARE : REPORTED_UNANSWERED_SHARE;
    }

    /** The most retries that one entry can have sent within a window: a full bucket and what flowed into it since. */
    private computeMaxUnknown(): number {
        const { slack, windowMs } = this.options;
        return REPORTED_SHARE * slack / this.getEntries() * (1 + windowMs / REFILL_MS);
    }

    private computeRemaining(share: number): number {
        const own = this.computeSpending();
        const { ratio, slack } = this.options;
        const allowed = (own.requests + this.remoteSpending.requests) * ratio + slack;
        return share * allowed - own.repeats - this.remoteSpending.repeats;
    }

    private getSlot(): Slot {
        const number = Math.floor(this.getNowMs() / (this.options.windowMs / WINDOW_SLOTS));
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
