/**
 * Work that is looked at again and again while the process lives.
 */

/** Ends the ticking. */
export type StopTicking = () => void;

/**
 * Calls a function again and again.
 * @param everyMs - between two calls
 * @param tick - what is called
 * @returns ends it
 */
export function startTicking(everyMs: number, tick: () => void): StopTicking {
    const timer = setInterval(tick, everyMs);
    return () => {
        clearInterval(timer);
    };
}
