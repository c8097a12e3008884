/**
 * Failures of tasks: a task that throws or rejects loses its own work, and the process continues.
 */
import type { EventFields, EventLog } from "./eventLog.js";

/** Receives the name of a failed task and what it threw. */
export type TaskFailureHandler = (task: string, error: unknown) => void;

/** Dependencies of {@link createTaskFailureHandler}. */
export interface TaskFailureOptions {
    readonly log: EventLog;
    readonly getNowMs: () => number;
    /** Counts one failure. */
    readonly count: (task: string) => void;
}

/** Name of the task of a rejected promise that nothing handles. */
export const UNHANDLED_REJECTION = "unhandled-rejection";
/** Name of the task that writes the log; its failures are only counted, since a line about one would fail again. */
export const LOG_WRITE = "log-write";

/** Minimum time between two lines about the same task. */
const LINE_INTERVAL_MS = 1_000;
const MAX_STACK_CHARACTERS = 4_000;

const handlers = new Set<TaskFailureHandler>();

/**
 * Registers a handler of failures. The log and the metrics of a process register here, so that a task needs neither.
 * @param handle - called for each failure
 * @returns removes the handler
 */
export function watchTaskFailures(handle: TaskFailureHandler): () => void {
    handlers.add(handle);
    return () => {
        handlers.delete(handle);
    };
}

/**
 * Records that a task failed. Without any handler, the error is thrown again as an uncaught exception.
 * @param task - name of the task, one of a fixed set
 * @param error - what it threw
 */
export function recordTaskFailure(task: string, error: unknown): void {
    if (handlers.size === 0) {
        queueMicrotask(() => {
            throw error;
        });
    }
    handlers.forEach((handle) => {
        handle(task, error);
    });
}

/**
 * Creates a handler that counts all failures and logs at most one line per task and second.
 * @param options - log, clock and counter
 * @returns the handler
 */
export function createTaskFailureHandler({ log, getNowMs, count }: TaskFailureOptions): TaskFailureHandler {
    const lines = new Map<string, { readonly writtenMs: number; suppressed: number; }>();
    return (task, error) => {
        count(task);
        if (task === LOG_WRITE) {
            return;
        }
        const nowMs = getNowMs();
        const last = lines.get(task);
        if (last !== undefined && nowMs - last.writtenMs < LINE_INTERVAL_MS) {
            last.suppressed += 1;
            return;
        }
        lines.set(task, { writtenMs: nowMs, suppressed: 0 });
        const suppressed = last?.suppressed === 0 ? undefined : last?.suppressed;
        log.record("error", "task-failed", { task, ...describeError(error), suppressed });
    };
}

/**
 * Describes an error for the log.
 * @param error - anything that was thrown
 * @returns its message, and its stack with those of its causes if it has one
 */
export function describeError(error: unknown): EventFields {
    if (!(error instanceof Error)) {
        return { reason: formatThrown(error) };
    }
    const stacks = listCauses(error).map((one) => one.stack ?? one.message);
    return {
        reason: `${error.name}: ${error.message}`,
        stack: stacks.join("\ncaused by ").slice(0, MAX_STACK_CHARACTERS),
    };
}

function listCauses(error: Error): readonly Error[] {
    const causes = new Set<Error>();
    for (let one: unknown = error; one instanceof Error && !causes.has(one); one = one.cause) {
        causes.add(one);
    }
    return [...causes];
}

/** A thrown object may have no string form. */
function formatThrown(thrown: unknown): string {
    try {
        return String(thrown);
    }
    catch {
        return typeof thrown;
    }
}
