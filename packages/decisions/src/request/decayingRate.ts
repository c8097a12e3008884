/**
 * A rate as an average with exponential decay.
 */

/** Time constant of the average: bursts last some seconds, so a rate has to follow within one. */
const TIME_CONSTANT_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** Measures a rate per second. */
export class DecayingRate {
    private value = 0;
    private updatedMs = 0;

    /**
     * Adds an amount.
     * @param amount - the amount
     * @param nowMs - the monotonic clock
     */
    add(amount: number, nowMs: number): void {
        this.value = this.get(nowMs) + amount * MS_PER_SECOND / TIME_CONSTANT_MS;
        this.updatedMs = nowMs;
    }

    /**
     * Gets the rate.
     * @param nowMs - the monotonic clock
     * @returns the rate per second
     */
    get(nowMs: number): number {
        return this.value * Math.exp(-Math.max(0, nowMs - this.updatedMs) / TIME_CONSTANT_MS);
    }
}
