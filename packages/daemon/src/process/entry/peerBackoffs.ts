/**
 * Backoffs of the voters whose requests failed, while an entry has no leader.
 */
import { ExponentialBackoffs } from "../exponentialBackoffs.js";

const MIN_BACKOFF_MS = 200;
/** Upper bound, so that a voter that has recovered is found within the time to apply a change. */
const MAX_BACKOFF_MS = 1_600;

/** Backoffs by address. */
export class PeerBackoffs {
    private readonly failures = new ExponentialBackoffs(MIN_BACKOFF_MS, MAX_BACKOFF_MS);
    private readonly untilMs = new Map<string, number>();

    /**
     * Returns whether a peer should not be asked yet.
     * @param address - the peer
     * @param nowMs - the time, in milliseconds
     * @returns true until its backoff has passed
     */
    isBackedOff(address: string, nowMs: number): boolean {
        return nowMs < (this.untilMs.get(address) ?? Number.NEGATIVE_INFINITY);
    }

    /**
     * Records a request that failed.
     * @param address - the peer
     * @param nowMs - the time, in milliseconds
     * @param jitter - a random number from 0 up to 1; shortens the backoff by up to a half
     */
    recordFailure(address: string, nowMs: number, jitter: number): void {
        this.untilMs.set(address, nowMs + this.failures.recordFailure(address) * (1 - jitter / 2));
    }

    /**
     * Ends the backoff of a peer that answered.
     * @param address - the peer
     */
    clear(address: string): void {
        this.failures.clear(address);
        this.untilMs.delete(address);
    }

    /** Ends all backoffs, also those of peers that are gone. */
    reset(): void {
        this.failures.reset();
        this.untilMs.clear();
    }
}
