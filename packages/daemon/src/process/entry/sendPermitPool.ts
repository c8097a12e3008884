/**
 * Permits of an entry for sends to one rate-limited upstream, and the requests that wait for them.
 */

/** A request's claim to a permit. */
export interface PermitClaim {
    /** Identifies the request. */
    readonly request: object;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Maximum time for which the request waits for a permit. */
    readonly maxWaitMs: number;
}

/** Time until a request may be sent. */
export interface PermitWait {
    readonly remainingMs: number;
    /** Whether this entry holds a permit for that time; otherwise another entry may get it. */
    readonly isHeld: boolean;
}

/** What to request from the leader. */
export interface PermitDemand {
    readonly count: number;
    /** How far ahead permits are still useful. */
    readonly withinMs: number;
}

interface SendPermit {
    readonly validFromMs: number;
    readonly validUntilMs: number;
}

interface PendingClaim {
    readonly claim: PermitClaim;
    readonly sinceMs: number;
    /** Time of the last claim attempt. */
    readonly lastPolledMs: number;
}

/**
 * Unused permits expire after this time. If it were shorter, requests that poll for a permit, or have to open a
 * connection, would miss it; if longer, entries with few callers would accumulate permits and send a burst.
 */
const PERMIT_LIFETIME_MS = 250;
/** Sends between two requests to the leader from which on as many permits are requested ahead. */
const MIN_STEADY_SENDS = 3;
/** Number of waiting requests from which on more are expected after them. */
const MIN_STEADY_WAITING = 2;
/** Round-trip time to the leader, by which a permit arrives later than requested. */
const ROUND_TRIP_MS = 20;
/** Waiting requests poll more often than this; a claim without a poll for longer is dropped. */
const CLAIM_TIMEOUT_MS = 60;

/** Tracks permits and claims for one upstream. */
export class SendPermitPool {
    private readonly waiting = new Map<object, PendingClaim>();
    private permits: readonly SendPermit[] = [];
    /** Sends since the last request to the leader. */
    private sentCount = 0;
    private requestedMs = Number.NEGATIVE_INFINITY;
    private isRequestPending = false;
    /** When the leader can grant the next permit to any entry. */
    private nextAvailableMs = 0;

    /** Number of permits held. */
    get permitCount(): number {
        return this.permits.length;
    }

    /**
     * Checks whether a send is permitted.
     * @param nowMs - the monotonic clock
     * @returns false where no permit is valid now
     */
    hasPermit(nowMs: number): boolean {
        return this.findPermit(nowMs) !== undefined;
    }

    /**
     * Claims a permit for a request; where none is available, the request waits.
     * @param claim - the request
     * @param nowMs - the monotonic clock
     * @returns false where no permit is left, or a more urgent request waits for it
     */
    tryClaim(claim: PermitClaim, nowMs: number): boolean {
        if (this.hasPermit(nowMs) && !this.hasMoreUrgentClaim(claim, nowMs)) {
            this.waiting.delete(claim.request);
            return true;
        }
        const sinceMs = this.waiting.get(claim.request)?.sinceMs ?? nowMs;
        this.waiting.set(claim.request, { claim, sinceMs, lastPolledMs: nowMs });
        return false;
    }

    /**
     * Withdraws the claim of a request.
     * @param request - the request
     */
    withdraw(request: object): void {
        this.waiting.delete(request);
    }

    /**
     * Consumes a permit.
     * @param nowMs - the monotonic clock
     */
    recordSend(nowMs: number): void {
        const used = this.findPermit(nowMs);
        this.permits = this.permits.filter((one) => one !== used);
        this.sentCount += 1;
    }

    /**
     * Computes the time until a request may be sent.
     * @param nowMs - the monotonic clock
     * @returns milliseconds
     */
    computeWait(nowMs: number): PermitWait {
        const next = this.permits.find(({ validUntilMs }) => validUntilMs > nowMs);
        if (next !== undefined) {
            return { remainingMs: Math.max(0, next.validFromMs - nowMs), isHeld: true };
        }
        // The leader has not answered the newest claims yet.
        const isUnknown = this.isRequestPending
            || [...this.waiting.values()].some(({ sinceMs }) => sinceMs > this.requestedMs);
        return { remainingMs: isUnknown ? 0 : Math.max(0, this.nextAvailableMs - nowMs), isHeld: false };
    }

    /**
     * Takes the number of permits to request from the leader.
     * @param nowMs - the monotonic clock
     * @param horizonMs - how far ahead permits are useful where requests are expected to continue
     * @returns undefined where none are needed
     */
    takeDemand(nowMs: number, horizonMs: number): PermitDemand | undefined {
        this.permits = this.permits.filter(({ validUntilMs }) => validUntilMs > nowMs);
        const waiting = this.listPendingClaims(nowMs);
        // Steady traffic will need as many permits again; under sporadic traffic, permits requested ahead would expire.
        const next = this.sentCount >= MIN_STEADY_SENDS ? this.sentCount : 0;
        const isSteady = next > 0 || waiting.length >= MIN_STEADY_WAITING;
        const count = waiting.length + next - this.permits.length;
        this.sentCount = 0;
        this.isRequestPending = count > 0;
        this.requestedMs = nowMs;
        return count > 0 ? { count, withinMs: isSteady ? horizonMs : computeMaxWaitMs(waiting, nowMs) } : undefined;
    }

    /**
     * Checks whether there are neither claims nor permits.
     * @param nowMs - the monotonic clock
     * @returns true where the pool can be discarded
     */
    isIdle(nowMs: number): boolean {
        const isUsedUp = this.permits.every(({ validUntilMs }) => validUntilMs <= nowMs);
        return isUsedUp && this.sentCount === 0 && this.listPendingClaims(nowMs).length === 0;
    }

    /**
     * Adds permits granted by the leader.
     * @param inMs - delays from now after which each permit is valid
     * @param nextInMs - delay until the next permit is available to any entry
     * @param nowMs - the monotonic clock
     */
    applyGrants(inMs: readonly number[], nextInMs: number, nowMs: number): void {
        const granted = inMs.map((one) => {
            const validFromMs = nowMs + Math.max(0, one);
            return { validFromMs, validUntilMs: validFromMs + PERMIT_LIFETIME_MS };
        });
        this.permits = [...this.permits, ...granted].sort((left, right) => left.validFromMs - right.validFromMs);
        this.nextAvailableMs = nowMs + nextInMs;
    }

    /** Records that the leader answered, or that the request failed. */
    recordReply(): void {
        this.isRequestPending = false;
    }

    private findPermit(nowMs: number): SendPermit | undefined {
        return this.permits.find(({ validFromMs, validUntilMs }) => validFromMs <= nowMs && nowMs < validUntilMs);
    }

    /** Whether a more urgent request waits for a permit. */
    private hasMoreUrgentClaim({ request, priority }: PermitClaim, nowMs: number): boolean {
        return this.listPendingClaims(nowMs).some(({ claim }) =>
            claim.request !== request && claim.priority < priority
        );
    }

    /** Lists claims; those not polled recently belong to requests that were served elsewhere, refused or cancelled. */
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
    return Math.max(0, ...waiting.map(({ claim, sinceMs }) => sinceMs + claim.maxWaitMs - ROUND_TRIP_MS - nowMs));
}
