/**
 * Measures how fast a queue drains, from its own departures while requests wait, so that every slowdown, such as by
 * more urgent classes, is included. See docs/design/admission.md.
 */

/** Weight of the newest departure in the moving average. */
const SMOOTHING = 0.05;

/** Drain rate of one queue. */
export class DrainMeter {
    private msPerToken: number | undefined;
    private meanTokens = 0;
    /** Start of the wait for the next departure; undefined while the queue is empty. */
    private sinceMs: number | undefined;

    /**
     * Records that a request waits.
     * @param nowMs - the monotonic clock
     */
    recordArrival(nowMs: number): void {
        this.sinceMs ??= nowMs;
    }

    /**
     * Records a departure to a slot.
     * @param tokens - expected cost of the request
     * @param isEmpty - whether the queue is empty now
     * @param nowMs - the monotonic clock
     */
    recordDeparture(tokens: number, isEmpty: boolean, nowMs: number): void {
        const elapsedMs = nowMs - (this.sinceMs ?? nowMs);
        const sample = elapsedMs / tokens;
        this.msPerToken = this.msPerToken === undefined
            ? sample
            : this.msPerToken + SMOOTHING * (sample - this.msPerToken);
        this.meanTokens = this.meanTokens === 0 ? tokens : this.meanTokens + SMOOTHING * (tokens - this.meanTokens);
        this.sinceMs = isEmpty ? undefined : nowMs;
    }

    /** Records that all waiting requests were withdrawn. */
    recordEmpty(): void {
        this.sinceMs = undefined;
    }

    /**
     * Gets the drain rate.
     * @param nowMs - the monotonic clock
     * @returns milliseconds a token, including a departure that is overdue; undefined before the first departure
     */
    getMsPerToken(nowMs: number): number | undefined {
        if (this.msPerToken === undefined) {
            return undefined;
        }
        const overdue = this.sinceMs === undefined ? 0 : (nowMs - this.sinceMs) / this.meanTokens;
        return Math.max(this.msPerToken, overdue * SMOOTHING + this.msPerToken * (1 - SMOOTHING));
    }
}
