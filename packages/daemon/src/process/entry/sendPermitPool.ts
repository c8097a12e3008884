/**
 * What an entry's requests want of one upstream with a limit, and the sends to it that the entry holds.
 */

/** A request that wants a send. */
export interface PermitClaim {
    /** Tells requests apart. */
    readonly request: object;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** For how long it may wait for a send. */
    readonly maxWaitMs: number;
}

/** How long it takes until a request may be sent. */
export interface PermitWait {
    readonly leftMs: number;
    /** Whether a send is held here for that time; else it may be somebody else's. */
    readonly isHeld: boolean;
}

/** What is asked of the leader. */
export interface PermitDemand {
    readonly count: number;
    /** How far ahead a send is still of use. */
    readonly withinMs: number;
}

interface SendPermit {
    readonly validFromMs: number;
    readonly validUntilMs: number;
}

interface PendingClaim {
    readonly wish: PermitClaim;
    readonly sinceMs: number;
    /** When it looked last. */
    readonly lastPolledMs: number;
}

/**
 * A send that was not made so long after its time is lost. Shorter, and a request that polls for one, or has a connection to open,
 * misses it; longer, and entries that have few callers save sends up and make them together.
 */
const PERMIT_LIFETIME_MS = 250;
/** Sends made between two questions from which on as many are wanted ahead. */
const MIN_STEADY_SENDS = 3;
/** Requests that wait at a time from which on others will when these are gone. */
const MIN_STEADY_WAITING = 2;
/** A question and its answer are on their way for so long, so that a send comes that much later than was asked. */
const ROUND_TRIP_MS = 20;
/** A waiting request looks again within this time. */
const CLAIM_TIMEOUT_MS = 60;

/** Follows one upstream. */
export class SendPermitPool {
    private readonly waiting = new Map<object, PendingClaim>();
    private permits: readonly SendPermit[] = [];
    /** Sends made since the leader was asked. */
    private sentCount = 0;
    private requestedMs = Number.NEGATIVE_INFINITY;
    private isRequestPending = false;
    /** When the leader has the next one for somebody. */
    private nextAvailableMs = 0;

    /** Sends that are held. */
    get permitCount(): number {
        return this.permits.length;
    }

    /**
     * Tells whether a send may be made.
     * @param nowMs - the monotonic clock
     * @returns false where none is held for now
     */
    hasPermit(nowMs: number): boolean {
        return this.findPermit(nowMs) !== undefined;
    }

    /**
     * Tells whether a request may be sent; where not, it waits.
     * @param wish - the request
     * @param nowMs - the monotonic clock
     * @returns false where no send is left, or a more urgent request waits for it
     */
    tryClaim(wish: PermitClaim, nowMs: number): boolean {
        if (this.hasPermit(nowMs) && !this.hasMoreUrgentClaim(wish, nowMs)) {
            this.waiting.delete(wish.request);
            return true;
        }
        const sinceMs = this.waiting.get(wish.request)?.sinceMs ?? nowMs;
        this.waiting.set(wish.request, { wish, sinceMs, lastPolledMs: nowMs });
        return false;
    }

    /**
     * Takes a request's wish back.
     * @param request - the request
     */
    withdraw(request: object): void {
        this.waiting.delete(request);
    }

    /**
     * Uses a send up.
     * @param nowMs - the monotonic clock
     */
    recordSend(nowMs: number): void {
        const used = this.findPermit(nowMs);
        this.permits = this.permits.filter((one) => one !== used);
        this.sentCount += 1;
    }

    /**
     * Computes how long it takes until a request may be sent.
     * @param nowMs - the monotonic clock
     * @returns milliseconds
     */
    computeWait(nowMs: number): PermitWait {
        const next = this.permits.find(({ validUntilMs }) => validUntilMs > nowMs);
        if (next !== undefined) {
            return { leftMs: Math.max(0, next.validFromMs - nowMs), isHeld: true };
        }
        // What the leader says to those that have just come is not known yet.
        const isUnknown = this.isRequestPending
            || [...this.waiting.values()].some(({ sinceMs }) => sinceMs > this.requestedMs);
        return { leftMs: isUnknown ? 0 : Math.max(0, this.nextAvailableMs - nowMs), isHeld: false };
    }

    /**
     * Takes what the leader is to be asked for.
     * @param nowMs - the monotonic clock
     * @param horizonMs - how far ahead sends are wanted where others will want some when these are used up
     * @returns undefined where nothing is wanted
     */
    takeDemand(nowMs: number, horizonMs: number): PermitDemand | undefined {
        this.permits = this.permits.filter(({ validUntilMs }) => validUntilMs > nowMs);
        const waiting = this.listPendingClaims(nowMs);
        // Whoever sends all the time will need as many again; what one that sends now and then gets ahead is lost.
        const next = this.sentCount >= MIN_STEADY_SENDS ? this.sentCount : 0;
        const isSteady = next > 0 || waiting.length >= MIN_STEADY_WAITING;
        const count = waiting.length + next - this.permits.length;
        this.sentCount = 0;
        this.isRequestPending = count > 0;
        this.requestedMs = nowMs;
        return count > 0 ? { count, withinMs: isSteady ? horizonMs : computeMaxWaitMs(waiting, nowMs) } : undefined;
    }

    /**
     * Tells whether nothing is wanted and nothing held.
     * @param nowMs - the monotonic clock
     * @returns true where nothing is lost by forgetting it
     */
    isIdle(nowMs: number): boolean {
        const isUsedUp = this.permits.every(({ validUntilMs }) => validUntilMs <= nowMs);
        return isUsedUp && this.sentCount === 0 && this.listPendingClaims(nowMs).length === 0;
    }

    /**
     * Takes what the leader granted.
     * @param inMs - from when on each send may be made, from now
     * @param nextInMs - when the next one is free for somebody
     * @param nowMs - the monotonic clock
     */
    applyGrants(inMs: readonly number[], nextInMs: number, nowMs: number): void {
        const sends = inMs.map((one) => {
            const validFromMs = nowMs + Math.max(0, one);
            return { validFromMs, validUntilMs: validFromMs + PERMIT_LIFETIME_MS };
        });
        this.permits = [...this.permits, ...sends].sort((left, right) => left.validFromMs - right.validFromMs);
        this.nextAvailableMs = nowMs + nextInMs;
    }

    /** Marks that the leader's answer is there, or does not come. */
    recordReply(): void {
        this.isRequestPending = false;
    }

    private findPermit(nowMs: number): SendPermit | undefined {
        return this.permits.find(({ validFromMs, validUntilMs }) => validFromMs <= nowMs && nowMs < validUntilMs);
    }

    /** Whether a more urgent request waits for the same. */
    private hasMoreUrgentClaim({ request, priority }: PermitClaim, nowMs: number): boolean {
        return this.listPendingClaims(nowMs).some(({ wish }) => wish.request !== request && wish.priority < priority);
    }

    /** Those that have not looked again are served elsewhere, refused or gone. */
    private listPendingClaims(nowMs: number): readonly PendingClaim[] {
        for (const [request, { lastPolledMs }] of this.waiting) {
            if (nowMs - lastPolledMs > CLAIM_TIMEOUT_MS) {
                this.waiting.delete(request);
            }
        }
        return [...this.waiting.values()];
    }
}

function computeMaxWaitMs(waiting: readonly PendingClaim[], nowMs: number): number {
    return Math.max(0, ...waiting.map(({ wish, sinceMs }) => sinceMs + wish.maxWaitMs - ROUND_TRIP_MS - nowMs));
}
