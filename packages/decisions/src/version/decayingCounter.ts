/**
 * How often something happened of late: a count that halves with time.
 */

/** After this time a happening counts half. */
const HALF_LIFE_MS = 1_000;

/** A count that halves with time. */
export class DecayingCounter {
    private value = 0;
    private updatedMs = 0;

    /**
     * Counts one.
     * @param nowMs - the monotonic clock
     */
    increment(nowMs: number): void {
        this.value = this.get(nowMs) + 1;
        this.updatedMs = nowMs;
    }

    /**
     * Gets the count.
     * @param nowMs - the monotonic clock
     * @returns what is left of it
     */
    get(nowMs: number): number {
        return this.value * 2 ** (-(nowMs - this.updatedMs) / HALF_LIFE_MS);
    }
}
