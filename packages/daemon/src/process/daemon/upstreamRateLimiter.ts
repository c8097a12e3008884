/**
 * Rate limiting for one upstream of the product's own interface, by the limit that it announced. No leader grants sends
 * here, so entries divide the limit evenly.
 */
import {
    chooseNewerLimit,
    EqualSharePacer,
    type LimitNotice,
    MAX_SEND_INTERVAL_MS,
    type ObservedLimit,
} from "@crankfork/decisions";

/** Context in which a limit was announced. */
export interface LimitContext {
    /** When the answered request was sent, on the monotonic clock. */
    readonly requestSentMs: number;
    readonly nowMs: number;
    readonly entries: number;
    /** Random number in [0, 1). */
    readonly randomValue: number;
}

/** Minimum rate of the whole fleet: an upstream with a limit of 0 is still probed, to learn when the limit is raised. */
const MIN_REQUESTS_PER_SECOND = 1_000 / MAX_SEND_INTERVAL_MS;

/** Limits the rate of requests to one upstream. */
export class UpstreamRateLimiter {
    private currentLimit: ObservedLimit | undefined;
    private pace: EqualSharePacer | undefined;
    private entries = 1;

    /**
     * Applies a limit announced in an answer.
     * @param notice - the announcement; an unreadable one changes nothing
     * @param context - when the request was sent, and how many entries share the limit
     * @returns whether the limit changed
     */
    receiveLimit(notice: LimitNotice, { requestSentMs: askedMs, nowMs, entries, randomValue }: LimitContext): boolean {
        this.entries = entries;
        if (notice.kind === "unreadable") {
            return false;
        }
        const before = this.currentLimit?.requestsPerSecond;
        const requestsPerSecond = notice.kind === "limit" ? notice.requestsPerSecond : undefined;
        this.currentLimit = chooseNewerLimit(this.currentLimit, {
            requestsPerSecond,
            requestSentMs: askedMs,
            responseReceivedMs: nowMs,
        });
        const after = this.currentLimit.requestsPerSecond;
        if (after === before) {
            return false;
        }
        this.pace = after === undefined
            ? undefined
            : new EqualSharePacer(this.createPaceTerms(after), nowMs, randomValue);
        return true;
    }

    /**
     * Tells whether a request may be sent.
     * @param nowMs - the monotonic clock
     * @returns whether it may; always true without a limit
     */
    maySend(nowMs: number): boolean {
        return this.pace?.isDue(nowMs) ?? true;
    }

    /**
     * Records that a request was sent.
     * @param nowMs - the monotonic clock
     */
    recordSend(nowMs: number): void {
        this.pace?.recordSend(this.createPaceTerms(this.currentLimit?.requestsPerSecond ?? 0), nowMs);
    }

    /**
     * Computes the time until a request may be sent.
     * @param nowMs - the monotonic clock
     * @returns milliseconds; 0 without a limit
     */
    computeWaitMs(nowMs: number): number {
        return this.pace?.computeDelayMs(nowMs) ?? 0;
    }

    private createPaceTerms(limit: number): { requestsPerSecond: number; entries: number; } {
        return { requestsPerSecond: Math.max(MIN_REQUESTS_PER_SECOND, limit), entries: this.entries };
    }
}
