/**
 * Paces an entry by an equal share of an upstream's rate limit while no leader can be asked: equal shares need no
 * messages between entries and add up to no more than the limit.
 */

/** The limit and the number of entries that share it. */
export interface EqualSharePacerOptions {
    /** Requests a second from all instances together. */
    readonly requestsPerSecond: number;
    readonly entries: number;
}

/**
 * A send that has been due for up to this long may still be made; older ones are dropped, so that idle time is not made
 * up for in a burst.
 */
const MAX_BACKLOG_MS = 100;
const MS_PER_SECOND = 1_000;

/** Paces the sends of one entry to one upstream evenly (GCRA without a burst, ITU-T I.371). */
export class EqualSharePacer {
    private nextMs: number;

    /**
     * @param options - the limit and the number of entries
     * @param nowMs - the monotonic clock
     * @param random - from 0 up to 1; offsets the first send, so that entries that start together don't send together
     */
    constructor(options: EqualSharePacerOptions, nowMs: number, random: number) {
        this.nextMs = nowMs + random * computeIntervalMs(options);
    }

    /**
     * Tells whether a request may be sent.
     * @param nowMs - the monotonic clock
     * @returns true once the next send is due
     */
    isDue(nowMs: number): boolean {
        return this.nextMs <= nowMs;
    }

    /**
     * Records that a request was sent.
     * @param options - the limit and the number of entries
     * @param nowMs - the monotonic clock
     */
    recordSend(options: EqualSharePacerOptions, nowMs: number): void {
        this.nextMs = Math.max(this.nextMs, nowMs - MAX_BACKLOG_MS) + computeIntervalMs(options);
    }

    /**
     * Computes the time until the next send is due.
     * @param nowMs - the monotonic clock
     * @returns milliseconds
     */
    computeDelayMs(nowMs: number): number {
        return Math.max(0, this.nextMs - nowMs);
    }
}

/** Infinite for a limit of 0: without a leader nobody decides which entry probes such an upstream, so none does. */
function computeIntervalMs({ requestsPerSecond, entries }: EqualSharePacerOptions): number {
    return MS_PER_SECOND * Math.max(1, entries) / requestsPerSecond;
}
