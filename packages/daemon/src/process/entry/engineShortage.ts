/**
 * Services whose engines have not held the model for a while. Engines that have just been lost come back within a
 * moment, so that only a shortage that has lasted as long as a request would wait tells that waiting is in vain.
 */

/** As long as a request waits for a path at the most. */
const PERSISTENCE_MS = 1_800;
/** Looks further apart than this say nothing about the time between them. */
const MAX_OBSERVATION_GAP_MS = 5_000;

interface Shortage {
    readonly sinceMs: number;
    lastSeenMs: number;
}

/** Remembers shortages by service. */
export class EngineShortage {
    private readonly byService = new Map<string, Shortage>();

    /**
     * @param getNowMs - the monotonic clock
     */
    constructor(private readonly getNowMs: () => number) {}

    /**
     * Notes that the engines of a service do not hold its model.
     * @param service - the service's name
     * @returns true where it has been so for a while
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
     * Notes that they do.
     * @param service - the service's name
     */
    recordSufficient(service: string): void {
        this.byService.delete(service);
    }
}
