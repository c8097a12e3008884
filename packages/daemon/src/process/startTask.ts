/**
 * Tasks that nobody awaits: a failure is recorded under the task's name, and ends nothing else.
 */
import { recordTaskFailure } from "./taskFailures.js";
import { limitTimerMs, waitMs } from "./waitMs.js";

/** Delay after a failed round of a loop; it doubles with each further one. */
const MIN_LOOP_DELAY_MS = 50;
const MAX_LOOP_DELAY_MS = 2_000;

/**
 * Starts a task.
 * @param task - its name for log and metrics, one of a fixed set
 * @param run - the task; it may throw, or return a promise that rejects
 * @param handleFailure - called with the error after it was recorded; if it throws, that is recorded, too
 */
export function startTask(task: string, run: () => unknown, handleFailure?: (error: unknown) => void): void {
    const fail = (error: unknown): void => {
        recordTaskFailure(task, error);
        if (handleFailure !== undefined) {
            startTask(task, () => {
                handleFailure(error);
            });
        }
    };
    try {
        const result = run();
        if (result instanceof Promise) {
            result.catch(fail);
        }
    }
    catch (error) {
        fail(error);
    }
}

/**
 * Runs a task for each item; a failure leaves the other items as they are.
 * @param task - its name for log and metrics
 * @param items - the items
 * @param run - the task; it may throw, or return a promise that rejects
 */
export function runForEach<Item>(task: string, items: Iterable<Item>, run: (item: Item) => unknown): void {
    for (const item of items) {
        startTask(task, () => run(item));
    }
}

/**
 * Starts a task once a time has passed.
 * @param task - its name for log and metrics
 * @param afterMs - the time, in milliseconds; one beyond the range of timers becomes the longest
 * @param run - the task; it may throw, or return a promise that rejects
 * @returns the timer
 */
export function startTimer(task: string, afterMs: number, run: () => unknown): NodeJS.Timeout {
    return setTimeout(() => {
        startTask(task, run);
    }, limitTimerMs(afterMs));
}

/**
 * Runs rounds one after another. After a failed one it continues with a delay.
 * @param task - its name for log and metrics
 * @param shouldContinue - called before each round; the loop ends in the turn in which this returns false
 * @param run - one round
 * @returns resolves at the end of the loop; never rejects
 */
export async function runLoop(task: string, shouldContinue: () => boolean, run: () => Promise<void>): Promise<void> {
    let delayMs = MIN_LOOP_DELAY_MS;
    for (;;) {
        try {
            if (!shouldContinue()) {
                return;
            }
            await run();
            delayMs = MIN_LOOP_DELAY_MS;
        }
        catch (error) {
            recordTaskFailure(task, error);
            await waitMs(delayMs);
            delayMs = Math.min(MAX_LOOP_DELAY_MS, delayMs * 2);
        }
    }
}
