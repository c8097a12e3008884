/**
 * How fast a queue drains: measured from its own departures while something waits, so that whatever slows it down,
 * such as more pressing classes, is in the measure. See docs/design/admission.md.
 */

/** Weight of the newest departure in the running mean. */
const SMOOTHING = 0.05;

/** The measure of one queue. */
export class DrainMeter {
    private msPerToken: number | undefined;
    private meanTokens = 0;
    /** Since when the next departure is waited for; undefined while nothing waits. */
    private sinceMs: number | undefined;

    /**
     * Marks that something waits.
     * @param nowMs - the monotonic clock
     */
    recordArrival(nowMs: number): void {
        this.sinceMs ??= nowMs;
    }

    /**
     * Marks a departure to a slot.
     * @param tokens - what the request is expected to cost
     * @param isEmpty - whether nothing waits any more
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

    /** Marks that all that waited was withdrawn. */
    recordEmpty(): void {
        this.sinceMs = undefined;
    }

    /**
     * Gets the measure.
     * @param nowMs - the monotonic clock
     * @returns milliseconds a token; a departure that is overdue counts already. Undefined before the first one.
     */
    getMsPerToken(nowMs: number): number | undefined {
        if (this.msPerToken === undefined) {
            return undefined;
        }
        const overdue = this.sinceMs === undefined ? 0 : (nowMs - this.sinceMs) / this.meanTokens;
        return Math.max(this.msPerToken, overdue * SMOOTHING + this.msPerToken * (1 - SMOOTHING));
    }
}
