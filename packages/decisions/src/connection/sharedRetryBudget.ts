/**
 * One entry's part of a budget of repeats that all entries share: a share of its own requests, and an even part of
 * the slack. It needs no message between entries, and the parts add up to no more than the whole.
 */

/** The budget of the whole fleet for one service. */
export interface RetryBudgetTerms {
    /** Repeats allowed as a share of requests. */
    readonly ratio: number;
    /** Repeats allowed besides, in one window. */
    readonly slack: number;
    readonly windowMs: number;
}

/**
 * Part of the budget that is used. The rest covers what one entry can't see: entries that have just restarted and
 * forgot what they spent, and windows that begin between its own slots.
 */
const SAFE_SHARE = 0.8;
/** Part of it that requests without any answer yet may spend. */
const FRESH_SHARE = 0.6;
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

    /**
     * @param terms - the whole fleet's budget
     * @param getEntries - how many entries share it
     * @param getNowMs - the monotonic clock
     */
    constructor(
        private readonly terms: RetryBudgetTerms,
        private readonly getEntries: () => number,
        private readonly getNowMs: () => number,
    ) {}

    /** Counts a request of a caller. */
    recordRequest(): void {
        this.getSlot().requests += 1;
    }

    /**
     * Takes one repeat out of the budget.
     * @param isUnderWay - whether the caller has a part of its answer already; others leave such requests a part of
     * the budget, since a broken stream costs more than a refused one
     * @returns false where it is spent
     */
    claimRepeat(isUnderWay: boolean): boolean {
        const slot = this.getSlot();
        const requests = this.slots.reduce((sum, one) => sum + one.requests, 0);
        const repeats = this.slots.reduce((sum, one) => sum + one.repeats, 0);
        const { ratio, slack } = this.terms;
        const share = isUnderWay ? SAFE_SHARE : SAFE_SHARE * FRESH_SHARE;
        if (repeats + 1 > share * (requests * ratio + slack / this.getEntries())) {
            return false;
        }
        slot.repeats += 1;
        return true;
    }

    /**
     * Computes how many requests callers send.
     * @returns requests a second over the window
     */
    get requestsASecond(): number {
        this.getSlot();
        const requests = this.slots.reduce((sum, one) => sum + one.requests, 0);
        return requests * MS_A_SECOND / this.terms.windowMs;
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
