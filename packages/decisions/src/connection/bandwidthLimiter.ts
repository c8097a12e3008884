/**
 * When bytes may leave, so that large transfers take no more than a part of a link (a token bucket that lends).
 */

/** What a budget is made with. */
export interface BandwidthLimiterOptions {
    readonly bytesPerSecond: number;
    /** Longest wait for a turn, in milliseconds; whoever would wait longer is told to come back. */
    readonly maxWaitMs: number;
}

/** Whether a transfer has a turn. */
export type TransferSlot =
    | { readonly kind: "granted"; readonly waitMs: number; }
    | { readonly kind: "busy"; readonly retryMs: number; };

const MS_A_SECOND = 1_000;

/** Gives turns in the order in which they are asked for. */
export class BandwidthLimiter {
    private freeAtMs = Number.NEGATIVE_INFINITY;

    /**
     * @param terms - rate and patience
     */
    constructor(private readonly terms: BandwidthLimiterOptions) {}

    /**
     * Claims a turn. One that is granted is spent, whether or not it is used.
     * @param bytes - what is to leave
     * @param nowMs - the monotonic clock
     * @returns how long to wait before it leaves, or when to ask again
     */
    reserve(bytes: number, nowMs: number): TransferSlot {
        const { bytesPerSecond: bytesASecond, maxWaitMs: mostWaitMs } = this.terms;
        const waitMs = Math.max(0, this.freeAtMs - nowMs);
        if (waitMs > mostWaitMs) {
            return { kind: "busy", retryMs: waitMs - mostWaitMs };
        }
        this.freeAtMs = nowMs + waitMs + bytes / bytesASecond * MS_A_SECOND;
        return { kind: "granted", waitMs };
    }
}
