/**
 * When the engines of a service registered, as a leader sees it.
 */

/** Follows the arrivals of one service. */
export class ArrivalWatch {
    private known: ReadonlySet<string> = new Set();
    private firstMs: number | undefined;
    private arrivedMs = 0;

    /**
     * Takes the engines that are there now.
     * @param ids - their ids
     * @param isBegun - whether some hold layers, so that nobody waits for more
     * @param nowMs - the monotonic clock
     */
    update(ids: readonly string[], isBegun: boolean, nowMs: number): void {
        if (ids.some((id) => !this.known.has(id))) {
            this.arrivedMs = nowMs;
        }
        this.known = new Set(ids);
        this.firstMs = isBegun || ids.length === 0 ? undefined : this.firstMs ?? nowMs;
    }

    /**
     * Computes how long ago an engine came.
     * @param nowMs - the monotonic clock
     * @returns times since the last arrival, and since the first since nothing was held; in milliseconds
     */
    computeAges(nowMs: number): { readonly sinceArrivalMs: number; readonly sinceFirstMs: number; } {
        return { sinceArrivalMs: nowMs - this.arrivedMs, sinceFirstMs: nowMs - (this.firstMs ?? nowMs) };
    }
}
