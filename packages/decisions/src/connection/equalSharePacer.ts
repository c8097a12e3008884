/**
 * An entry's even part of a limit, for the time in which no leader can be asked: an even part needs no message, and adds up to no
 * more than the limit.
 */

/** What the part follows from. */
export interface EqualSharePacerOptions {
    /** Requests a second from all instances together. */
    readonly requestsASecond: number;
    readonly entries: number;
}

/** A send that was due for so long may still be made; what is older is lost, so that quiet times are not made up for at once. */
const BACKLOG_MS = 100;
const MS_A_SECOND = 1_000;

/** Paces the sends of one entry to one upstream, evenly (GCRA with no burst, ITU-T I.371). */
export class EqualSharePacer {
    private nextMs: number;

    /**
     * @param terms - the limit and who shares it
     * @param nowMs - the monotonic clock
     * @param draw - from 0 up to 1; entries that begin at the same moment don't send at the same moment
     */
    constructor(terms: EqualSharePacerOptions, nowMs: number, draw: number) {
        this.nextMs = nowMs + draw * computeGapMs(terms);
    }

    /**
     * Tells whether a request may be sent.
     * @param nowMs - the monotonic clock
     * @returns true from the time on at which the next one is due
     */
    isDue(nowMs: number): boolean {
        return this.nextMs <= nowMs;
    }

    /**
     * Marks that a request was sent.
     * @param terms - the limit and who shares it
     * @param nowMs - the monotonic clock
     */
    recordSend(terms: EqualSharePacerOptions, nowMs: number): void {
        this.nextMs = Math.max(this.nextMs, nowMs - BACKLOG_MS) + computeGapMs(terms);
    }

    /**
     * Computes how long it takes until the next one is due.
     * @param nowMs - the monotonic clock
     * @returns milliseconds
     */
    computeDelayMs(nowMs: number): number {
        return Math.max(0, this.nextMs - nowMs);
    }
}

/** Without a leader nobody says whose turn it is to try an upstream that takes none, so nobody does. */
function computeGapMs({ requestsASecond, entries }: EqualSharePacerOptions): number {
    return MS_A_SECOND * Math.max(1, entries) / requestsASecond;
}
