/**
 * A counter with exponential decay.
 */

/** Time after which an event counts half. */
const HALF_LIFE_MS = 1_000;

/** Counts recent events, with exponential decay. */
export class DecayingCounter {
    private value = 0;
    private updatedMs = 0;

    /**
     * Counts one event.
     * @param nowMs - the monotonic clock
     */
    increment(nowMs: number): void {
        this.value = this.get(nowMs) + 1;
        this.updatedMs = nowMs;
    }

    /**
     * Gets the decayed count.
     * @param nowMs - the monotonic clock
     * @returns the count
     */
    get(nowMs: number): number {
        return this.value * 2 ** (-(nowMs - this.updatedMs) / HALF_LIFE_MS);
    }
}
