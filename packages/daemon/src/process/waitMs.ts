/**
 * Timers as promises.
 */

/** Node.js fires a timer of more after 1 ms. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/**
 * Limits the time of a timer that comes from settings, documents or messages.
 * @param ms - duration in milliseconds
 * @returns the duration, or the longest one that a timer can have; also for NaN, with which a loop would not pause
 */
export function limitTimerMs(ms: number): number {
    return ms < MAX_TIMER_MS ? ms : MAX_TIMER_MS;
}

/**
 * Waits.
 * @param ms - duration in milliseconds; one beyond the range of timers becomes the longest
 * @returns resolves after that time
 */
export function waitMs(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, limitTimerMs(ms)));
}
