/**
 * Backoff from an upstream that answered with `Retry-After` (called a rest in events and metrics), and the slow start
 * after it.
 *
 * Load pattern: an overloaded upstream rejects requests within a millisecond or two and asks for seconds of backoff.
 * It then has the fewest open requests of all, so least-request balancing would send everything to it.
 *
 * The requested time is observed in full, however long: a cap would send requests that the upstream asked not to get.
 * Afterwards sends are ramped up: one request first, then two more for each success. Without the ramp, all waiting
 * requests would reach the upstream at once, and it would ask for backoff again.
 */

/** Effect of a response with `Retry-After`. */
export type RetryAfterChange =
    | "begun"
    /** A backoff was active and now ends later. */
    | "prolonged"
    /** A backoff was active that ends no sooner. */
    | "unchanged";

/** Successes after a backoff that end the ramp-up: 15 requests may be open by then, more than one entry has. */
const RAMP_UP_SUCCESSES = 7;
/** Further sends that each success permits during the ramp-up. */
const SENDS_PER_SUCCESS = 2;

/** The backoff from one upstream. */
export class RetryAfterBackoff {
    private endMs = Number.NEGATIVE_INFINITY;
    private sent = 0;
    private successes = 0;

    /** End of the backoff on the monotonic clock; infinite where it lasts until the upstream restarts. */
    get endsAtMs(): number {
        return this.endMs;
    }

    /** Whether sends are unrestricted after the last backoff; also true before the first. */
    get isRampedUp(): boolean {
        return this.endMs === Number.NEGATIVE_INFINITY || this.successes >= RAMP_UP_SUCCESSES;
    }

    /**
     * Records a response with `Retry-After`. Each response's time stands on its own, so the latest end applies.
     * @param backoffMs - the requested time, from the arrival of the response
     * @param nowMs - the monotonic clock
     * @returns what it changed
     */
    recordRetryAfter(backoffMs: number, nowMs: number): RetryAfterChange {
        const isActive = this.isBackingOff(nowMs);
        const endMs = nowMs + backoffMs;
        this.sent = 0;
        this.successes = 0;
        if (isActive && endMs <= this.endMs) {
            return "unchanged";
        }
        this.endMs = endMs;
        return isActive ? "prolonged" : "begun";
    }

    /**
     * Tells whether nothing may be sent.
     * @param nowMs - the monotonic clock
     * @returns true until the end of the backoff
     */
    isBackingOff(nowMs: number): boolean {
        return nowMs < this.endMs;
    }

    /**
     * Tells whether one more request may be sent.
     * @param nowMs - the monotonic clock
     * @returns false during the backoff, and during the ramp-up while too few of the requests sent have succeeded
     */
    canSend(nowMs: number): boolean {
        return !this.isBackingOff(nowMs) && (this.isRampedUp || this.sent <= this.successes * SENDS_PER_SUCCESS);
    }

    /** Records a request sent after the backoff. */
    recordSend(): void {
        this.sent += 1;
    }

    /** Records that such a request succeeded: it was answered in full, or its stream has begun. */
    recordSuccess(): void {
        this.successes += 1;
    }

    /** Records that such a request ended without success; another may be sent in its place. */
    releaseSend(): void {
        this.sent = Math.max(0, this.sent - 1);
    }
}
