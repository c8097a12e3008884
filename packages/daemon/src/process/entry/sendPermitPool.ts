/**
 * What an entry's requests want of one upstream with a limit, and the sends to it that the entry holds.
 */

/** A request that wants a send. */
export interface SendWish {
    /** Tells requests apart. */
    readonly request: object;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** For how long it may wait for a send. */
    readonly maxWaitMs: number;
}

/** How long it takes until a request may be sent. */
export interface SendsLeft {
    readonly leftMs: number;
    /** Whether a send is held here for that time; else it may be somebody else's. */
    readonly isHeld: boolean;
}

/** What is asked of the leader. */
export interface WantedSends {
    readonly count: number;
    /** How far ahead a send is still of use. */
    readonly withinMs: number;
}

interface HeldSend {
    readonly fromMs: number;
    readonly untilMs: number;
}

interface WaitingRequest {
    readonly wish: SendWish;
    readonly sinceMs: number;
    /** When it looked last. */
    readonly seenMs: number;
}

/**
 * A send that was not made so long after its time is lost. Shorter, and a request that polls for one, or has a connection to open,
 * misses it; longer, and entries that have few callers save sends up and make them together.
 */
const KEPT_MS = 250;
/** Sends made between two questions from which on as many are wanted ahead. */
const LEAST_MADE = 3;
/** Requests that wait at a time from which on others will when these are gone. */
const LEAST_WAITING = 2;
/** A question and its answer are on their way for so long, so that a send comes that much later than was asked. */
const WAY_MS = 20;
/** A waiting request looks again within this time. */
const LOOK_MS = 60;

/** Follows one upstream. */
export class SendDemand {
    private readonly waiting = new Map<object, WaitingRequest>();
    private held: readonly HeldSend[] = [];
    /** Sends made since the leader was asked. */
    private made = 0;
    private askedMs = Number.NEGATIVE_INFINITY;
    private isAsked = false;
    /** When the leader has the next one for somebody. */
    private nextMs = 0;

    /** Sends that are held. */
    get heldCount(): number {
        return this.held.length;
    }

    /**
     * Tells whether a send may be made.
     * @param nowMs - the monotonic clock
     * @returns false where none is held for now
     */
    hasSend(nowMs: number): boolean {
        return this.findSend(nowMs) !== undefined;
    }

    /**
     * Tells whether a request may be sent; where not, it waits.
     * @param wish - the request
     * @param nowMs - the monotonic clock
     * @returns false where no send is left, or a more urgent request waits for it
     */
    claim(wish: SendWish, nowMs: number): boolean {
        if (this.hasSend(nowMs) && !this.isBehind(wish, nowMs)) {
            this.waiting.delete(wish.request);
            return true;
        }
        const sinceMs = this.waiting.get(wish.request)?.sinceMs ?? nowMs;
        this.waiting.set(wish.request, { wish, sinceMs, seenMs: nowMs });
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
        const used = this.findSend(nowMs);
        this.held = this.held.filter((one) => one !== used);
        this.made += 1;
    }

    /**
     * Computes how long it takes until a request may be sent.
     * @param nowMs - the monotonic clock
     * @returns milliseconds
     */
    computeWait(nowMs: number): SendsLeft {
        const next = this.held.find(({ untilMs }) => untilMs > nowMs);
        if (next !== undefined) {
            return { leftMs: Math.max(0, next.fromMs - nowMs), isHeld: true };
        }
        // What the leader says to those that have just come is not known yet.
        const isUnknown = this.isAsked || [...this.waiting.values()].some(({ sinceMs }) => sinceMs > this.askedMs);
        return { leftMs: isUnknown ? 0 : Math.max(0, this.nextMs - nowMs), isHeld: false };
    }

    /**
     * Takes what the leader is to be asked for.
     * @param nowMs - the monotonic clock
     * @param horizonMs - how far ahead sends are wanted where others will want some when these are used up
     * @returns undefined where nothing is wanted
     */
    takeWanted(nowMs: number, horizonMs: number): WantedSends | undefined {
        this.held = this.held.filter(({ untilMs }) => untilMs > nowMs);
        const waiting = this.listWaiting(nowMs);
        // Whoever sends all the time will need as many again; what one that sends now and then gets ahead is lost.
        const next = this.made >= LEAST_MADE ? this.made : 0;
        const isSteady = next > 0 || waiting.length >= LEAST_WAITING;
        const count = waiting.length + next - this.held.length;
        this.made = 0;
        this.isAsked = count > 0;
        this.askedMs = nowMs;
        return count > 0 ? { count, withinMs: isSteady ? horizonMs : computePatienceMs(waiting, nowMs) } : undefined;
    }

    /**
     * Tells whether nothing is wanted and nothing held.
     * @param nowMs - the monotonic clock
     * @returns true where nothing is lost by forgetting it
     */
    isIdle(nowMs: number): boolean {
        const isUsedUp = this.held.every(({ untilMs }) => untilMs <= nowMs);
        return isUsedUp && this.made === 0 && this.listWaiting(nowMs).length === 0;
    }

    /**
     * Takes what the leader granted.
     * @param inMs - from when on each send may be made, from now
     * @param nextInMs - when the next one is free for somebody
     * @param nowMs - the monotonic clock
     */
    applyGranted(inMs: readonly number[], nextInMs: number, nowMs: number): void {
        const sends = inMs.map((one) => {
            const fromMs = nowMs + Math.max(0, one);
            return { fromMs, untilMs: fromMs + KEPT_MS };
        });
        this.held = [...this.held, ...sends].sort((left, right) => left.fromMs - right.fromMs);
        this.nextMs = nowMs + nextInMs;
    }

    /** Marks that the leader's answer is there, or does not come. */
    recordAnswer(): void {
        this.isAsked = false;
    }

    private findSend(nowMs: number): HeldSend | undefined {
        return this.held.find(({ fromMs, untilMs }) => fromMs <= nowMs && nowMs < untilMs);
    }

    /** Whether a more urgent request waits for the same. */
    private isBehind({ request, priority }: SendWish, nowMs: number): boolean {
        return this.listWaiting(nowMs).some(({ wish }) => wish.request !== request && wish.priority < priority);
    }

    /** Those that have not looked again are served elsewhere, refused or gone. */
    private listWaiting(nowMs: number): readonly WaitingRequest[] {
        for (const [request, { seenMs }] of this.waiting) {
            if (nowMs - seenMs > LOOK_MS) {
                this.waiting.delete(request);
            }
        }
        return [...this.waiting.values()];
    }
}

function computePatienceMs(waiting: readonly WaitingRequest[], nowMs: number): number {
    return Math.max(0, ...waiting.map(({ wish, sinceMs }) => sinceMs + wish.maxWaitMs - WAY_MS - nowMs));
}
