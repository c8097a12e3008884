/**
 * Periodic tasks.
 */

/** Stops a periodic task. */
export type StopPeriodicTask = () => void;

/**
 * Starts a periodic task.
 * @param everyMs - the period
 * @param tick - the task
 * @returns stops it
 */
export function startPeriodicTask(everyMs: number, tick: () => void): StopPeriodicTask {
    const timer = setInterval(tick, everyMs);
    return () => {
        clearInterval(timer);
    };
}
