/**
 * Periodic tasks.
 */

/** Stops a periodic task. */
export type StopTicking = () => void;

/**
 * Starts a periodic task.
 * @param everyMs - the period
 * @param tick - the task
 * @returns stops it
 */
export function startTicking(everyMs: number, tick: () => void): StopTicking {
    const timer = setInterval(tick, everyMs);
    return () => {
        clearInterval(timer);
    };
}
