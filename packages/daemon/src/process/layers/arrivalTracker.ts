/**
 * When the engines of a service registered, as observed by a leader.
 */

/** Tracks the arrivals of one service's engines. */
export class ArrivalTracker {
    private known: ReadonlySet<string> = new Set();
    private firstArrivalMs: number | undefined;
    private lastArrivalMs = 0;

    /**
     * Updates the set of registered engines.
     * @param ids - engine ids
     * @param isPlacementStarted - whether some hold layers, in which case placement does not wait for more engines
     * @param nowMs - the monotonic clock
     */
    update(ids: readonly string[], isPlacementStarted: boolean, nowMs: number): void {
        if (ids.some((id) => !this.known.has(id))) {
            this.lastArrivalMs = nowMs;
        }
        this.known = new Set(ids);
        this.firstArrivalMs = isPlacementStarted || ids.length === 0 ? undefined : this.firstArrivalMs ?? nowMs;
    }

    /**
     * Computes the time since engines arrived.
     * @param nowMs - the monotonic clock
     * @returns milliseconds since the last arrival, and since the first arrival while no layers were held
     */
    computeAges(nowMs: number): { readonly sinceArrivalMs: number; readonly sinceFirstMs: number; } {
        return { sinceArrivalMs: nowMs - this.lastArrivalMs, sinceFirstMs: nowMs - (this.firstArrivalMs ?? nowMs) };
    }
}
