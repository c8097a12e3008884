/**
 * Age of the load reports of other entries.
 */

/** Weight of the newest interval in the moving average. */
const SMOOTHING_FACTOR = 0.2;
/** Upper bound of the age: after a longer time without a leader, all loads have changed anyway. */
const MAX_AGE_MS = 2_000;

/** Tracks the intervals between load reports. */
export class LoadReportAge {
    private lastReportMs: number;
    private meanIntervalMs = 0;

    /**
     * @param getNowMs - the monotonic clock
     */
    constructor(private readonly getNowMs: () => number) {
        this.lastReportMs = getNowMs();
    }

    /** Records that the leader reported the loads of other entries. */
    recordReport(): void {
        const nowMs = this.getNowMs();
        this.meanIntervalMs += SMOOTHING_FACTOR * (nowMs - this.lastReportMs - this.meanIntervalMs);
        this.lastReportMs = nowMs;
    }

    /**
     * Computes the mean age of the other entries' loads: the leader had held each for half an interval on average when
     * it reported them.
     * @returns milliseconds
     */
    getMeanAgeMs(): number {
        return Math.min(MAX_AGE_MS, this.getNowMs() - this.lastReportMs + this.meanIntervalMs / 2);
    }
}
