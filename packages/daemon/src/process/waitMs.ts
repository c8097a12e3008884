/**
 * Waiting by the runtime's clock.
 */

/**
 * Waits.
 * @param ms - how long
 * @returns resolves after that time
 */
export function waitMs(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
}
