/**
 * Periodic tasks.
 */
import { startTask } from "./startTask.js";
import { limitTimerMs } from "./waitMs.js";

/** Stops a periodic task. */
export type StopPeriodicTask = () => void;

/**
 * Starts a periodic task. A tick that fails is recorded, and the next one comes as usual.
 * @param task - its name for log and metrics, one of a fixed set
 * @param everyMs - the period, in milliseconds
 * @param tick - the task; it may throw, or return a promise that rejects
 * @returns stops it
 */
export function startPeriodicTask(task: string, everyMs: number, tick: () => unknown): StopPeriodicTask {
    const timer = setInterval(() => {
        startTask(task, tick);
    }, limitTimerMs(everyMs));
    return () => {
        clearInterval(timer);
    };
}
