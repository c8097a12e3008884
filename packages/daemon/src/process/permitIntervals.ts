/**
 * How often an entry requests send permits, and how far ahead it requests them.
 */

/** The interval grows with the number of entries, so that the leader answers about 300 to 800 requests per second. */
const INTERVAL_MS_PER_ENTRY = 3;
const MIN_INTERVAL_MS = 100;
const MAX_INTERVAL_MS = 400;
/** Permits are requested two intervals ahead, so that new ones arrive in time even if a request is slow. */
const HORIZON_INTERVALS = 2;

/**
 * Computes the interval between two permit requests of one entry.
 * @param entries - number of entries
 * @returns milliseconds
 */
export function computePermitIntervalMs(entries: number): number {
    return Math.min(MAX_INTERVAL_MS, Math.max(MIN_INTERVAL_MS, entries * INTERVAL_MS_PER_ENTRY));
}

/**
 * Computes how far ahead an entry that sends continuously requests permits.
 * @param entries - number of entries
 * @returns milliseconds
 */
export function computePermitHorizonMs(entries: number): number {
    return computePermitIntervalMs(entries) * HORIZON_INTERVALS;
}
