/**
 * One entry's part of a budget of repeats that all entries share.
 *
 * Load pattern: dozens of entries of a few requests a second each, and engines that go missing: a second of declines needs ten
 * repeats at one entry and none at the next. Even parts of the budget allow a few in its window at each, so that half of the
 * repeats can't be had and callers are refused beside free paths.
 *
 * So an entry draws on what the fleet has left, as the leader told last: its bucket holds at most an even part of that, and
 * fills anew within some seconds. Without such word it keeps to an even part of the whole, which needs no message between
 * entries and adds up to no more than the whole.
 */

/** The budget of the whole fleet for one service. */
export interface SharedRetryBudgetOptions {
    /** Repeats allowed as a share of requests. */
    readonly ratio: number;
    /** Repeats allowed besides, in one window. */
    readonly slack: number;
    readonly windowMs: number;
}

/** What was sent to a service in the last window. */
export interface RetrySpending {
    readonly requests: number;
    readonly repeats: number;
}

/**
 * Part of the budget that is used by even parts. The rest covers what one entry can't see: entries that have just restarted
 * and forgot what they spent, and windows that begin between its own slots.
 */
const SAFE_SHARE = 0.8;
/** Part of it that requests without any answer yet may spend. */
const FRESH_SHARE = 0.6;
/**
 * Part of the budget that is drawn on where the fleet's spending is known. Buckets that were full refill by a third before
 * the leader's word shows what they spent, so that the whole stays below 1.3 times this.
 */
const KNOWN_SHARE = 0.75;
/** The same for requests without any answer yet. */
const KNOWN_FRESH_SHARE = 0.6;
/**
 * Even parts of an entry that has just started and has no word yet: where all of them have, nobody remembers what was spent
 * before, so that this and the share above make up the whole.
 */
const START_SHARE = 0.4;
/** The same for requests without any answer yet. */
const START_FRESH_SHARE = 0.3;
/** Time in which a bucket fills: over three times the 1.2 s after which an entry's spending is known everywhere. */
const FILL_MS = 4_000;
/** A word that is older says nothing of what others spent since: the bucket no longer fills. */
const STALE_MS = 1_500;
/** Slots of a window in which repeats and requests are counted. */
const SLOTS = 10;
const MS_A_SECOND = 1_000;

interface Slot {
    number: number;
    requests: number;
    repeats: number;
}

/** Counts requests and repeats of one service at one entry. */
export class SharedRetryBudget {
    private readonly slots: Slot[] = [];
    private elsewhere: RetrySpending = { requests: 0, repeats: 0 };
    private reportedMs = Number.NEGATIVE_INFINITY;
    private bucket = 0;
    private filledMs = 0;
    private readonly startedMs: number;

    /**
     * @param terms - the whole fleet's budget
     * @param getEntries - how many entries share it
     * @param getNowMs - the monotonic clock
     */
    constructor(
        private readonly terms: SharedRetryBudgetOptions,
        private readonly getEntries: () => number,
        private readonly getNowMs: () => number,
    ) {
        this.startedMs = getNowMs();
    }

    /** Counts a request of a caller. */
    recordRequest(): void {
        this.getSlot().requests += 1;
    }

    /**
     * Takes the leader's word of what other entries sent.
     * @param spending - in the last window
     * @param knownMs - for how long that leader has heard of it; where that is less than a window, its word is no whole one
     */
    recordRemoteSpending(spending: RetrySpending, knownMs: number): void {
        if (knownMs < this.terms.windowMs) {
            return;
        }
        const nowMs = this.getNowMs();
        const isFirst = nowMs - this.reportedMs >= this.terms.windowMs;
        this.fillBucket();
        this.elsewhere = spending;
        this.reportedMs = nowMs;
        if (isFirst) {
            this.bucket = this.computeMost();
            this.filledMs = nowMs;
        }
    }

    /**
     * Takes one repeat out of the budget.
     * @param isUnderWay - whether the caller has a part of its answer already; others leave such requests a part of
     * the budget, since a broken stream costs more than a refused one
     * @returns false where it is spent
     */
    claimRetry(isUnderWay: boolean): boolean {
        const isKnown = this.getNowMs() - this.reportedMs < this.terms.windowMs;
        if (!(isKnown ? this.takeFromBucket(isUnderWay) : this.isWithinEvenPart(isUnderWay))) {
            return false;
        }
        this.getSlot().repeats += 1;
        return true;
    }

    /**
     * Computes what this entry sent.
     * @returns requests and repeats in the last window
     */
    computeSpending(): RetrySpending {
        this.getSlot();
        return {
            requests: this.slots.reduce((sum, one) => sum + one.requests, 0),
            repeats: this.slots.reduce((sum, one) => sum + one.repeats, 0),
        };
    }

    /**
     * Computes how many requests callers send.
     * @returns requests a second over the window
     */
    get requestsASecond(): number {
        return this.computeSpending().requests * MS_A_SECOND / this.terms.windowMs;
    }

    private isWithinEvenPart(isUnderWay: boolean): boolean {
        const { requests, repeats } = this.computeSpending();
        const { ratio, slack } = this.terms;
        const isNew = this.getNowMs() - this.startedMs < this.terms.windowMs;
        const usual = isUnderWay ? SAFE_SHARE : SAFE_SHARE * FRESH_SHARE;
        const first = isUnderWay ? START_SHARE : START_FRESH_SHARE;
        const share = isNew ? first : usual;
        return repeats + 1 <= share * (requests * ratio + slack / this.getEntries());
    }

    private takeFromBucket(isUnderWay: boolean): boolean {
        this.fillBucket();
        const left = this.computeLeft(isUnderWay ? KNOWN_SHARE : KNOWN_FRESH_SHARE);
        if (this.bucket < 1 || left < 1) {
            return false;
        }
        this.bucket -= 1;
        return true;
    }

    private fillBucket(): void {
        const untilMs = Math.min(this.getNowMs(), this.reportedMs + STALE_MS);
        const sinceMs = Math.max(0, untilMs - this.filledMs);
        const most = this.computeMost();
        this.filledMs = Math.max(this.filledMs, untilMs);
        this.bucket = Math.min(most, this.bucket + most * sinceMs / FILL_MS);
    }

    /** An even part of what the fleet has left. */
    private computeMost(): number {
        return Math.max(0, this.computeLeft(KNOWN_SHARE)) / this.getEntries();
    }

    private computeLeft(share: number): number {
        const own = this.computeSpending();
        const { ratio, slack } = this.terms;
        const allowed = (own.requests + this.elsewhere.requests) * ratio + slack;
        return share * allowed - own.repeats - this.elsewhere.repeats;
    }

    private getSlot(): Slot {
        const number = Math.floor(this.getNowMs() / (this.terms.windowMs / SLOTS));
        while (this.slots[0] !== undefined && this.slots[0].number <= number - SLOTS) {
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
