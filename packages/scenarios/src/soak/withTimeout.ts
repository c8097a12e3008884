/**
 * Timeout for requests of a soak run; one that takes longer counts as a broken connection.
 */

/** Time after which a caller gives up; longer than any fault lasts. */
export const CALL_TIMEOUT_MS = 4_000;

/**
 * Waits for a promise for at most the call timeout.
 * @param work - the promise
 * @returns its value
 * @throws Error if the promise is not settled in time
 */
export async function withTimeout<Value>(work: Promise<Value>): Promise<Value> {
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<never>((_resolve, reject) => {
        timer = setTimeout(() => {
            reject(new Error(`request timed out after ${String(CALL_TIMEOUT_MS)} ms`));
        }, CALL_TIMEOUT_MS);
    });
    try {
        return await Promise.race([work, timeout]);
    }
    finally {
        clearTimeout(timer);
    }
}
