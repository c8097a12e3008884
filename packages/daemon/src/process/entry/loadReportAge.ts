/**
 * How old the loads of other entries are, as this entry knows them.
 */

/** Weight of the newest interval in the smoothed one. */
const SMOOTHING_FACTOR = 0.2;
/** The longest age that is reckoned with: without a leader for longer, all loads have changed anyway. */
const MAX_AGE_MS = 2_000;

/** Follows when the state was told. */
export class LoadReportAge {
    private lastReportMs: number;
    private meanIntervalMs = 0;

    /**
     * @param getNowMs - the monotonic clock
     */
    constructor(private readonly getNowMs: () => number) {
        this.lastReportMs = getNowMs();
    }

    /** Marks that the leader told the loads of the others. */
    recordReport(): void {
        const nowMs = this.getNowMs();
        this.meanIntervalMs += SMOOTHING_FACTOR * (nowMs - this.lastReportMs - this.meanIntervalMs);
        this.lastReportMs = nowMs;
    }

    /**
     * Computes the mean age of what each of the others has told: the leader held on average half an interval of theirs
     * when it told this entry.
     * @returns milliseconds
     */
    getMeanAgeMs(): number {
        return Math.min(MAX_AGE_MS, this.getNowMs() - this.lastReportMs + this.meanIntervalMs / 2);
    }
}
