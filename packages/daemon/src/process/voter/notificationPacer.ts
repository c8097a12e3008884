/**
 * Paces notifications of changes to entries by the processor time that is left. What renews leases, commits and documents
 * shares the processor with notifications; without a bound, a leader on a slow processor answers nothing in time, and
 * entries that give up and ask again add to its load.
 */

/** Dependencies of {@link NotificationPacer}. */
export interface NotificationPacerOptions {
    readonly getNowMs: () => number;
    /** Returns the share of the time since the last call for which the event loop was busy, 0 to 1. */
    readonly takeLoopUse: () => number;
}

/**
 * Minimum interval between two notifications of one entry, per connected entry: about 1,000 answers per second regardless of
 * the number of entries.
 */
const INTERVAL_MS_PER_ENTRY = 1;
/** Together with the longest hold time this stays below the time for which an entry waits for an answer. */
const MAX_INTERVAL_MS = 500;
const CHECK_INTERVAL_MS = 200;
/** Above this use the interval grows; the remainder is left for commits, documents and operators. */
const MAX_LOOP_USE = 0.7;
/** Below this use it shrinks. */
const MIN_LOOP_USE = 0.5;
const CHANGE_FACTOR = 1.6;
const MAX_FACTOR = 16;

/** Computes the interval between notifications. */
export class NotificationPacer {
    private factor = 1;
    private checkedMs = Number.NEGATIVE_INFINITY;

    /**
     * @param options - clock and event loop
     */
    constructor(private readonly options: NotificationPacerOptions) {}

    /**
     * Computes the minimum interval between two notifications of one entry.
     * @param entries - number of connected entries
     * @returns milliseconds
     */
    computeIntervalMs(entries: number): number {
        this.adapt();
        return Math.min(MAX_INTERVAL_MS, entries * INTERVAL_MS_PER_ENTRY * this.factor);
    }

    private adapt(): void {
        const nowMs = this.options.getNowMs();
        if (nowMs - this.checkedMs < CHECK_INTERVAL_MS) {
            return;
        }
        this.checkedMs = nowMs;
        const use = this.options.takeLoopUse();
        if (use > MAX_LOOP_USE) {
            this.factor = Math.min(MAX_FACTOR, this.factor * CHANGE_FACTOR);
        }
        else if (use < MIN_LOOP_USE) {
            this.factor = Math.max(1, this.factor / CHANGE_FACTOR);
        }
    }
}
