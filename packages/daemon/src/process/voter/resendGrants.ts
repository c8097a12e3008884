/**
 * Attempts of requests that crashed an upstream, granted by the leader one at a time. Callers may send such a request to
 * several entries at once; each attempt that runs beside another crashes one more upstream with all streams on it.
 *
 * Grants are soft state. A new leader does not know those of its predecessor, so that one more attempt may run beside
 * theirs; the crashes themselves are in the replicated log.
 */

/** Time after which another attempt may start: a request that crashes upstreams does so when it starts. */
const GRANT_MS = 1_000;

/** Grants by request fingerprint. */
export class ResendGrants {
    private readonly untilMs = new Map<string, number>();

    /**
     * @param getNowMs - the monotonic clock
     */
    constructor(private readonly getNowMs: () => number) {}

    /**
     * Claims the next attempt of a request.
     * @param fingerprint - the request
     * @returns false while another attempt is in progress
     */
    claim(fingerprint: string): boolean {
        this.removeExpired();
        if (this.untilMs.has(fingerprint)) {
            return false;
        }
        this.untilMs.set(fingerprint, this.getNowMs() + GRANT_MS);
        return true;
    }

    /**
     * Ends the grants of requests whose attempts have crashed or completed.
     * @param fingerprints - the requests
     */
    release(fingerprints: readonly string[]): void {
        fingerprints.forEach((fingerprint) => this.untilMs.delete(fingerprint));
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
