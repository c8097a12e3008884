/**
 * How often an entry asks for sends, and how far ahead it wants those that it is about to need.
 */

/** The more entries there are the longer each waits, so that the leader answers some 300 to 800 questions a second. */
const GAP_MS_AN_ENTRY = 3;
const LEAST_GAP_MS = 100;
const MOST_GAP_MS = 400;
/** Sends are there before the ones at hand are used up, also where a question takes a while. */
const HORIZON_GAPS = 2;

/**
 * Computes the time between two questions of one entry.
 * @param entries - how many ask
 * @returns milliseconds
 */
export function computeAskGapMs(entries: number): number {
    return Math.min(MOST_GAP_MS, Math.max(LEAST_GAP_MS, entries * GAP_MS_AN_ENTRY));
}

/**
 * Computes how far ahead an entry that sends all the time wants its next sends.
 * @param entries - how many ask
 * @returns milliseconds
 */
export function computeHorizonMs(entries: number): number {
    return computeAskGapMs(entries) * HORIZON_GAPS;
}
