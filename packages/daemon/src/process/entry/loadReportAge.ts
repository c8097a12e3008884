/**
 * How old the loads of other entries are, as this entry knows them.
 */

/** Weight of the newest interval in the smoothed one. */
const NEWEST_WEIGHT = 0.2;
/** The longest age that is reckoned with: without a leader for longer, all loads have changed anyway. */
const MOST_AGE_MS = 2_000;

/** Follows when the state was told. */
export class StateAge {
    private reportedMs: number;
    private intervalMs = 0;

    /**
     * @param getNowMs - the monotonic clock
     */
    constructor(private readonly getNowMs: () => number) {
        this.reportedMs = getNowMs();
    }

    /** Marks that the leader told the loads of the others. */
    recordState(): void {
        const nowMs = this.getNowMs();
        this.intervalMs += NEWEST_WEIGHT * (nowMs - this.reportedMs - this.intervalMs);
        this.reportedMs = nowMs;
    }

    /**
     * Computes the mean age of what each of the others has told: the leader held on average half an interval of theirs
     * when it told this entry.
     * @returns milliseconds
     */
    getMeanMs(): number {
        return Math.min(MOST_AGE_MS, this.getNowMs() - this.reportedMs + this.intervalMs / 2);
    }
}
