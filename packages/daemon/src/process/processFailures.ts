/**
 * The end of a process because of a failure: its last line says why. See docs/design/failures.md.
 */
import type { LastLineLog } from "./eventLog.js";
import { describeError, recordTaskFailure, UNHANDLED_REJECTION } from "./taskFailures.js";

/** Exit code of a process that ends because of a failure. */
export const EXIT_FAILED = 1;

/** How a process fails: at its start, by an exception that nothing caught, or while it stops. */
export type ProcessFailure = "start-failed" | "process-failed" | "stop-failed";

let processLog: LastLineLog | undefined;

/**
 * Handles what reaches the top of the process from now on: an uncaught exception ends it, since its state is unknown then;
 * a rejected promise is a failure of its task alone.
 * @param log - the log of the process
 */
export function watchProcessFailures(log: LastLineLog): void {
    processLog = log;
    process.on("uncaughtException", endOnException);
    process.on("unhandledRejection", recordRejection);
}

/** Restores the runtime's handling of what reaches the top of the process. */
export function ignoreProcessFailures(): void {
    processLog = undefined;
    process.off("uncaughtException", endOnException);
    process.off("unhandledRejection", recordRejection);
}

/**
 * Ends the process with exit code 1. The cause is the last line of its log, if that is open, and goes to standard
 * error.
 * @param failure - when it failed
 * @param error - the cause
 */
export function endProcess(failure: ProcessFailure, error: unknown): never {
    const fields = describeError(error);
    process.stderr.write(`crankfork: ${failure}: ${String(fields.stack ?? fields.reason)}\n`);
    processLog?.recordLast(failure, fields);
    process.exit(EXIT_FAILED);
}

function endOnException(error: unknown): void {
    endProcess("process-failed", error);
}

function recordRejection(error: unknown): void {
    recordTaskFailure(UNHANDLED_REJECTION, error);
}
