/**
 * Intervals between orders to an engine that refuses them, for instance while it carries out an earlier order.
 */

/** Interval after a first refusal; doubles with each further one. */
const MIN_INTERVAL_MS = 250;
const MAX_INTERVAL_MS = 2_000;

/** Counts the consecutive refusals of each engine. */
export class RefusalBackoff {
    private readonly counts = new Map<string, number>();

    /**
     * Records that an engine refused an order.
     * @param id - the engine's incarnation
     * @returns the time until its next order, in milliseconds
     */
    recordRefusal(id: string): number {
        const count = this.counts.get(id) ?? 0;
        this.counts.set(id, count + 1);
        return Math.min(MAX_INTERVAL_MS, MIN_INTERVAL_MS * 2 ** count);
    }

    /**
     * Drops the refusals of an engine.
     * @param id - the engine's incarnation, which has begun an order
     */
    clear(id: string): void {
        this.counts.delete(id);
    }

    /**
     * Drops the refusals of incarnations that have ended.
     * @param isKnown - whether an incarnation is still registered
     */
    prune(isKnown: (id: string) => boolean): void {
        [...this.counts.keys()].filter((id) => !isKnown(id)).forEach((id) => {
            this.clear(id);
        });
    }

    /** Drops all refusals; another leader may have given orders since. */
    reset(): void {
        this.counts.clear();
    }
}
