/**
 * Intervals between orders to an engine that reports layers beyond the model. Where its reports are wrong, it may go on with them
 * whatever it is ordered.
 */
import { ExponentialBackoffs } from "../exponentialBackoffs.js";

/** Tracks when an engine may be ordered again, by its incarnation. */
export class OutsideOrders {
    private readonly backoffs: ExponentialBackoffs;
    private readonly dueMs = new Map<string, number>();

    /**
     * @param minMs - interval after a first order, in milliseconds; doubles with each further one
     * @param maxMs - upper bound of the interval, in milliseconds
     */
    constructor(minMs: number, private readonly maxMs: number) {
        this.backoffs = new ExponentialBackoffs(minMs, maxMs);
    }

    /**
     * Records an order to an engine that reports layers beyond the model. An engine that had none for the longest interval starts
     * again with the shortest one.
     * @param id - the engine
     * @param nowMs - the monotonic clock
     */
    record(id: string, nowMs: number): void {
        if (nowMs - (this.dueMs.get(id) ?? nowMs) >= this.maxMs) {
            this.backoffs.clear(id);
        }
        this.dueMs.set(id, nowMs + this.backoffs.recordFailure(id));
    }

    /**
     * Checks whether an engine's next order is not due yet.
     * @param id - the engine
     * @param nowMs - the monotonic clock
     * @returns false for an engine without such an order
     */
    isWaiting(id: string, nowMs: number): boolean {
        return nowMs < (this.dueMs.get(id) ?? Number.NEGATIVE_INFINITY);
    }

    /**
     * Drops the records of engines that are gone.
     * @param isKnown - whether an incarnation is registered
     */
    prune(isKnown: (id: string) => boolean): void {
        this.backoffs.prune(isKnown);
        [...this.dueMs.keys()].filter((id) => !isKnown(id)).forEach((id) => {
            this.dueMs.delete(id);
        });
    }

    /** Drops all records; a newly elected leader has given no orders yet. */
    reset(): void {
        this.backoffs.reset();
        this.dueMs.clear();
    }
}
