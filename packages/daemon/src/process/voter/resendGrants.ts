/**
 * Attempts of requests that crashed an upstream, granted by the leader one at a time. Callers may send such a request to
 * several entries at once; each attempt that runs beside another crashes one more upstream with all streams on it.
 *
 * Grants are soft state. A new leader does not know those of its predecessor, so that one more attempt may run beside
 * theirs; the crashes themselves are in the replicated log.
 */

/** Time after which another attempt may start: a request that crashes upstreams does so when it starts. */
const GRANT_MS = 1_000;

/** Grants by request fingerprint and by the key of a prompt segment. */
export class ResendGrants {
    private readonly untilMs = new Map<string, number>();

    /**
     * @param getNowMs - the monotonic clock
     */
    constructor(private readonly getNowMs: () => number) {}

    /**
     * Claims the next attempt of a request.
     * @param keys - its fingerprint, and the keys of its suspected segments
     * @returns false while an attempt with one of them is in progress
     */
    claim(keys: readonly string[]): boolean {
        this.removeExpired();
        if (keys.some((key) => this.untilMs.has(key))) {
            return false;
        }
        keys.forEach((key) => this.untilMs.set(key, this.getNowMs() + GRANT_MS));
        return true;
    }

    /**
     * Ends the grants of requests whose attempts have crashed or completed.
     * @param keys - fingerprints, and keys of segments
     */
    release(keys: readonly string[]): void {
        keys.forEach((key) => this.untilMs.delete(key));
    }

    private removeExpired(): void {
        for (const [fingerprint, untilMs] of this.untilMs) {
            if (untilMs > this.getNowMs()) {
                // The map is in the order of the claims, which all last as long.
                return;
            }
            this.untilMs.delete(fingerprint);
        }
    }
}
