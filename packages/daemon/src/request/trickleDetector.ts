/**
 * Detects an event that comes in small pieces and does not end. Only the time in which pieces come counts: an upstream that
 * falls silent within an event may go on later.
 */

/** Longest part of a gap between two pieces that counts. */
const MAX_GAP_MS = 100;
const MIN_PIECES = 32;
const MIN_RECEIVING_MS = 500;
/** An event that comes faster ends or reaches its maximum size. */
const MIN_BYTES_PER_MS = 512;

/** Follows the pieces of one event. */
export class TrickleDetector {
    private bytes = 0;
    private pieces = 0;
    private receivingMs = 0;
    private lastMs = 0;

    /** @param getNowMs - the monotonic clock */
    constructor(private readonly getNowMs: () => number) {}

    /** Starts with the next event. */
    reset(): void {
        this.bytes = 0;
        this.pieces = 0;
        this.receivingMs = 0;
    }

    /**
     * Records a piece of an incomplete event.
     * @param bytes - its size
     * @returns whether the event will not end
     */
    isTrickling(bytes: number): boolean {
        const nowMs = this.getNowMs();
        this.receivingMs += this.pieces === 0 ? 0 : Math.min(nowMs - this.lastMs, MAX_GAP_MS);
        this.lastMs = nowMs;
        this.pieces += 1;
        this.bytes += bytes;
        return this.pieces > MIN_PIECES && this.receivingMs > MIN_RECEIVING_MS
            && this.bytes < this.receivingMs * MIN_BYTES_PER_MS;
    }
}
