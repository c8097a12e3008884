/**
 * Refusals of the last 10 s at this entry, by service, rank and reason.
 */

/** Time for which a refusal counts. */
const WINDOW_MS = 10_000;
/** Refusals are counted by interval, so that the state does not grow with their number. */
const INTERVAL_MS = 1_000;

/** What a refusal counts under. */
export interface RefusalKey {
    readonly service: string;
    readonly rank: number;
    readonly reason: string;
}

interface CountedRefusal extends RefusalKey {
    /** Counts by interval, the oldest first. */
    readonly counts: Map<number, number>;
}

/** Counts refusals. */
export class RefusalWindow {
    private readonly refusals = new Map<string, CountedRefusal>();

    /**
     * @param getNowMs - the monotonic clock
     */
    constructor(private readonly getNowMs: () => number) {}

    /**
     * Records a refusal.
     * @param key - service, rank and reason
     */
    record(key: RefusalKey): void {
        this.prune();
        const id = `${String(key.rank)} ${key.reason} ${key.service}`;
        const counted = this.refusals.get(id) ?? { ...key, counts: new Map<number, number>() };
        this.refusals.set(id, counted);
        const interval = Math.floor(this.getNowMs() / INTERVAL_MS);
        counted.counts.set(interval, (counted.counts.get(interval) ?? 0) + 1);
    }

    /**
     * Lists the refusals of the last 10 s.
     * @returns services, ranks and reasons with their counts
     */
    list(): readonly (RefusalKey & { readonly count: number; })[] {
        this.prune();
        return [...this.refusals.values()].map(({ counts, ...key }) => ({
            ...key,
            count: [...counts.values()].reduce((sum, one) => sum + one, 0),
        }));
    }

    private prune(): void {
        const first = Math.floor((this.getNowMs() - WINDOW_MS) / INTERVAL_MS);
        this.refusals.forEach(({ counts }, id) => {
            [...counts.keys()].filter((interval) => interval <= first).forEach((interval) => counts.delete(interval));
            if (counts.size === 0) {
                this.refusals.delete(id);
            }
        });
    }
}
