/**
 * How often an entry requests send permits, and how far ahead it requests them.
 */

/** The interval grows with the number of entries, so that the leader answers about 300 to 800 requests per second. */
const GAP_MS_AN_ENTRY = 3;
const LEAST_GAP_MS = 100;
const MOST_GAP_MS = 400;
/** Permits are requested two intervals ahead, so that new ones arrive in time even if a request is slow. */
const HORIZON_GAPS = 2;

/**
 * Computes the interval between two permit requests of one entry.
 * @param entries - number of entries
 * @returns milliseconds
 */
export function computePermitIntervalMs(entries: number): number {
    return Math.min(MOST_GAP_MS, Math.max(LEAST_GAP_MS, entries * GAP_MS_AN_ENTRY));
}

/**
 * Computes how far ahead an entry that sends continuously requests permits.
 * @param entries - number of entries
 * @returns milliseconds
 */
export function computePermitHorizonMs(entries: number): number {
    return computePermitIntervalMs(entries) * HORIZON_GAPS;
}
