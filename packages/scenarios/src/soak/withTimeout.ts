/**
 * Waiting in a soak, where whatever takes too long counts as a connection that broke.
 */

/** A caller gives up after this; longer than any fault lasts. */
export const CALL_TIMEOUT_MS = 4_000;

/**
 * Waits for work, but no longer than a caller does.
 * @param work - what is waited for
 * @returns its value
 * @throws Error where it takes too long
 */
export async function withTimeout<Value>(work: Promise<Value>): Promise<Value> {
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<never>((_resolve, reject) => {
        timer = setTimeout(() => {
            reject(new Error(`no answer in ${String(CALL_TIMEOUT_MS)} ms`));
        }, CALL_TIMEOUT_MS);
    });
    try {
        return await Promise.race([work, timeout]);
    }
    finally {
        clearTimeout(timer);
    }
}
