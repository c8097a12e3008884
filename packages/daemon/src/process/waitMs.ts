/**
 * Timers as promises.
 */

/**
 * Waits.
 * @param ms - duration in milliseconds
 * @returns resolves after that time
 */
export function waitMs(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
}
