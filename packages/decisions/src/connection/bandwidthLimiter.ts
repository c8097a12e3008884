/**
 * Limits large transfers to a share of a link's bandwidth. Works like a token bucket that lends: a transfer may start
 * while the debt of earlier ones is small enough.
 */

/** Settings of a limiter. */
export interface BandwidthLimiterOptions {
    readonly bytesPerSecond: number;
    /** Longest wait for a slot, in milliseconds; a request that would wait longer is told when to retry. */
    readonly maxWaitMs: number;
}

/** Outcome of a reservation. */
export type TransferSlot =
    | { readonly kind: "granted"; readonly waitMs: number; }
    | { readonly kind: "busy"; readonly retryMs: number; };

const MS_PER_SECOND = 1_000;

/** Reserves bandwidth in the order in which it is requested. */
export class BandwidthLimiter {
    private freeAtMs = Number.NEGATIVE_INFINITY;

    /**
     * @param options - rate and longest wait
     */
    constructor(private readonly options: BandwidthLimiterOptions) {}

    /**
     * Reserves a slot. A granted slot counts as used, whether or not the transfer takes place.
     * @param bytes - size of the transfer
     * @param nowMs - the monotonic clock
     * @returns how long to wait before the transfer, or when to retry
     */
    reserve(bytes: number, nowMs: number): TransferSlot {
        const { bytesPerSecond: bytesASecond, maxWaitMs: mostWaitMs } = this.options;
        const waitMs = Math.max(0, this.freeAtMs - nowMs);
        if (waitMs > mostWaitMs) {
            return { kind: "busy", retryMs: waitMs - mostWaitMs };
        }
        this.freeAtMs = nowMs + waitMs + bytes / bytesASecond * MS_PER_SECOND;
        return { kind: "granted", waitMs };
    }
}
