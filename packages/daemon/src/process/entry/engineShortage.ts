/**
 * Tracks services whose engines have not held the complete model for a while. Lost engines usually return within
 * moments, so waiting is only futile once a shortage has lasted as long as a request would wait.
 */

/** Maximum time for which a request waits for a path. */
const PERSISTENCE_MS = 1_800;
/** Observations further apart than this say nothing about the time between them. */
const MAX_OBSERVATION_GAP_MS = 5_000;

interface Shortage {
    readonly sinceMs: number;
    lastSeenMs: number;
}

/** Tracks shortages by service. */
export class EngineShortage {
    private readonly byService = new Map<string, Shortage>();

    /**
     * @param getNowMs - the monotonic clock
     */
    constructor(private readonly getNowMs: () => number) {}

    /**
     * Records that the engines of a service don't hold its complete model.
     * @param service - name of the service
     * @returns true where the shortage has persisted
     */
    recordShortage(service: string): boolean {
        const nowMs = this.getNowMs();
        const known = this.byService.get(service);
        const shortage = known !== undefined && nowMs - known.lastSeenMs < MAX_OBSERVATION_GAP_MS
            ? known
            : { sinceMs: nowMs, lastSeenMs: nowMs };
        shortage.lastSeenMs = nowMs;
        this.byService.set(service, shortage);
        return nowMs - shortage.sinceMs >= PERSISTENCE_MS;
    }

    /**
     * Records that the engines of a service hold its complete model.
     * @param service - name of the service
     */
    recordSufficient(service: string): void {
        this.byService.delete(service);
    }
}
