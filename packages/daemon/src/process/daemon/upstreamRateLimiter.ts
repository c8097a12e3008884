/**
 * The rate that one upstream of the product's own interface named, and this entry's even part of it. There is no leader to ask for
 * sends here, so that entries share a limit evenly.
 */
import { chooseNewerLimit, EvenPace, type HeardLimit, type LimitNotice, MOST_GAP_MS } from "@crankfork/decisions";

/** What is known around a notice. */
export interface LimitContext {
    /** When the request left that was answered, on the monotonic clock. */
    readonly askedMs: number;
    readonly nowMs: number;
    readonly entries: number;
    /** From 0 up to 1. */
    readonly randomValue: number;
}

/** An upstream that takes none is asked so often by the whole fleet, since nobody would learn otherwise that this is over. */
const LEAST_A_SECOND = 1_000 / MOST_GAP_MS;

/** Paces what goes to one upstream. */
export class UpstreamRateLimiter {
    private heard: HeardLimit | undefined;
    private pace: EvenPace | undefined;
    private entries = 1;

    /**
     * Takes what an answer said of a limit.
     * @param notice - the notice; one that can't be read changes nothing
     * @param view - when it was asked, and who shares the limit
     * @returns whether the limit is another one now
     */
    receiveLimit(notice: LimitNotice, { askedMs, nowMs, entries, randomValue }: LimitContext): boolean {
        this.entries = entries;
        if (notice.kind === "unreadable") {
            return false;
        }
        const before = this.heard?.requestsASecond;
        const requestsASecond = notice.kind === "limit" ? notice.requestsASecond : undefined;
        this.heard = chooseNewerLimit(this.heard, { requestsASecond, askedMs, heardMs: nowMs });
        const after = this.heard.requestsASecond;
        if (after === before) {
            return false;
        }
        this.pace = after === undefined ? undefined : new EvenPace(this.createTerms(after), nowMs, randomValue);
        return true;
    }

    /**
     * Tells whether a request may be sent.
     * @param nowMs - the monotonic clock
     * @returns true also where there is no limit
     */
    maySend(nowMs: number): boolean {
        return this.pace?.isDue(nowMs) ?? true;
    }

    /**
     * Marks that a request was sent.
     * @param nowMs - the monotonic clock
     */
    recordSend(nowMs: number): void {
        this.pace?.recordSend(this.createTerms(this.heard?.requestsASecond ?? 0), nowMs);
    }

    /**
     * Computes how long it takes until a request may be sent.
     * @param nowMs - the monotonic clock
     * @returns milliseconds; 0 where there is no limit
     */
    computeWaitMs(nowMs: number): number {
        return this.pace?.computeLeftMs(nowMs) ?? 0;
    }

    private createTerms(limit: number): { requestsASecond: number; entries: number; } {
        return { requestsASecond: Math.max(LEAST_A_SECOND, limit), entries: this.entries };
    }
}
