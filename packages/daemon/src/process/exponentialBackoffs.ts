/**
 * Exponential backoff for peers and upstreams whose requests fail, so that repeating them does not keep up the overload that makes
 * them fail.
 */

/** Counts the consecutive failures of each peer or upstream. */
export class ExponentialBackoffs {
    private readonly counts = new Map<string, number>();

    /**
     * @param minMs - interval after a first failure, in milliseconds; doubles with each further one
     * @param maxMs - upper bound of the interval, in milliseconds
     */
    constructor(private readonly minMs: number, private readonly maxMs: number) {}

    /**
     * Records a failure.
     * @param id - the peer, or the upstream's incarnation
     * @returns the time until its next request, in milliseconds
     */
    recordFailure(id: string): number {
        const count = this.counts.get(id) ?? 0;
        this.counts.set(id, count + 1);
        return Math.min(this.maxMs, this.minMs * 2 ** count);
    }

    /**
     * Drops the failures of a peer or upstream.
     * @param id - the one that succeeded
     */
    clear(id: string): void {
        this.counts.delete(id);
    }

    /**
     * Drops the failures of those that are gone.
     * @param isKnown - whether one is still there
     */
    prune(isKnown: (id: string) => boolean): void {
        [...this.counts.keys()].filter((id) => !isKnown(id)).forEach((id) => {
            this.clear(id);
        });
    }

    /** Drops all failures. */
    reset(): void {
        this.counts.clear();
    }
}
