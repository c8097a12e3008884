/**
 * The rest that one upstream asked this instance for, and its return.
 *
 * Load pattern: an upstream with too much to do turns requests away within a millisecond or two and asks for seconds of rest.
 * It has the fewest open requests of all then, so whatever is sent where least is open goes there.
 *
 * The rest is kept whole, however long: a limit of ours below it would send what was asked not to come. After it, requests come
 * back as they are served: one, then two more for each that was. Whoever found the upstream resting would meet there at once
 * otherwise, and it would ask for rest again.
 */

/** What an answer that asked for rest changed. */
export type RetryAfterChange =
    | "begun"
    /** It rests already, and will for longer than it said before. */
    | "prolonged"
    /** It rests already for at least as long. */
    | "unchanged";

/** Requests served after the end of a rest from which on nothing is kept back: by then 15 may be open, more than one entry has. */
const SERVED_AFTER_RETURN = 7;
/** Requests that each one served lets go after the rest, beside the first one. */
const SENDS_FOR_A_SERVED = 2;

/** One upstream's rest. */
export class RetryAfterBackoff {
    private endMs = Number.NEGATIVE_INFINITY;
    private sent = 0;
    private served = 0;

    /** When it ends, on the monotonic clock; infinite where it lasts as long as the upstream's life. */
    get endsAtMs(): number {
        return this.endMs;
    }

    /** Whether nothing is kept back any more; so also before the first rest. */
    get isRampedUp(): boolean {
        return this.endMs === Number.NEGATIVE_INFINITY || this.served >= SERVED_AFTER_RETURN;
    }

    /**
     * Takes an answer that asked for rest. Each answer's time holds by itself, so the latest end counts.
     * @param restMs - for how long, from the moment at which the answer came
     * @param nowMs - the monotonic clock
     * @returns what it changed
     */
    recordRetryAfter(restMs: number, nowMs: number): RetryAfterChange {
        const isRunning = this.isBackingOff(nowMs);
        const endMs = nowMs + restMs;
        this.sent = 0;
        this.served = 0;
        if (isRunning && endMs <= this.endMs) {
            return "unchanged";
        }
        this.endMs = endMs;
        return isRunning ? "prolonged" : "begun";
    }

    /**
     * Tells whether nothing may be sent.
     * @param nowMs - the monotonic clock
     * @returns true until the end
     */
    isBackingOff(nowMs: number): boolean {
        return nowMs < this.endMs;
    }

    /**
     * Tells whether one more request may be sent after the end.
     * @param nowMs - the monotonic clock
     * @returns false during the rest, and while too few of those sent since were served
     */
    canSend(nowMs: number): boolean {
        return !this.isBackingOff(nowMs) && (this.isRampedUp || this.sent <= this.served * SENDS_FOR_A_SERVED);
    }

    /** Marks that a request was sent after the end. */
    recordSend(): void {
        this.sent += 1;
    }

    /** Marks that a request that was sent after the end is served: answered whole, or its stream has begun. */
    recordSuccess(): void {
        this.served += 1;
    }

    /** Marks that a request that was sent after the end came to nothing; another may take its place. */
    releaseSend(): void {
        this.sent = Math.max(0, this.sent - 1);
    }
}
