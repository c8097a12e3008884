/**
 * Attempts of requests that crashed an upstream, granted by the leader one at a time. Callers may send such a request to
 * several entries at once; each attempt that runs beside another crashes one more upstream with all streams on it.
 *
 * Grants are soft state. A new leader does not know those of its predecessor, so that one more attempt may run beside
 * theirs; the crashes themselves are in the replicated log.
 */

/** Time after which another attempt may start: a request that crashes upstreams does so when it starts. */
const GRANT_MS = 1_000;

interface Grant {
    readonly fingerprint: string;
    readonly untilMs: number;
}

/** Grants by request fingerprint and by the key of a prompt segment. */
export class ResendGrants {
    private readonly grants = new Map<string, Grant>();

    /**
     * @param getNowMs - the monotonic clock
     */
    constructor(private readonly getNowMs: () => number) {}

    /**
     * Claims the next attempt of a request.
     * @param fingerprint - the request, or the key of a segment that any request may try
     * @param segmentKeys - keys of its suspected segments
     * @returns false while an attempt with one of them is in progress
     */
    claim(fingerprint: string, segmentKeys: readonly string[]): boolean {
        this.removeExpired();
        const keys = [fingerprint, ...segmentKeys];
        if (keys.some((key) => this.grants.has(key))) {
            return false;
        }
        const grant = { fingerprint, untilMs: this.getNowMs() + GRANT_MS };
        keys.forEach((key) => this.grants.set(key, grant));
        return true;
    }

    /**
     * Ends the grants of requests whose attempts have crashed. Crashes of other requests with the same segments do not end them.
     * @param fingerprints - the requests
     */
    releaseCrashed(fingerprints: readonly string[]): void {
        const crashed = new Set(fingerprints);
        for (const [key, grant] of this.grants) {
            if (crashed.has(grant.fingerprint)) {
                this.grants.delete(key);
            }
        }
    }

    /**
     * Ends the grants of requests and segments that have completed.
     * @param keys - fingerprints, and keys of segments
     */
    releaseCompleted(keys: readonly string[]): void {
        keys.forEach((key) => this.grants.delete(key));
    }

    private removeExpired(): void {
        for (const [key, { untilMs }] of this.grants) {
            if (untilMs > this.getNowMs()) {
                // The map is in the order of the claims, which all last as long.
                return;
            }
            this.grants.delete(key);
        }
    }
}
