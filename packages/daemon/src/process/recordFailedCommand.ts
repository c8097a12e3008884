/**
 * Log lines about committed commands and snapshots that were not applied, or whose change was not passed on.
 */
import type { ReplicaEvent } from "@crankfork/coordination";
import type { EventLog } from "./eventLog.js";

/** A command or a snapshot that was not applied, at least in part, or a listener that failed on the change. */
export type FailedCommandEvent = Extract<
    ReplicaEvent,
    {
        kind:
            | "command-invalid"
            | "command-failed"
            | "listener-failed"
            | "snapshot-refused"
            | "snapshot-records-dropped";
    }
>;

/**
 * Records the event in the log.
 * @param log - the log of the instance
 * @param event - the event
 */
export function recordFailedCommand(log: EventLog, event: FailedCommandEvent): void {
    switch (event.kind) {
        case "command-invalid":
            log.record("warn", "command-invalid", { index: event.index, command: event.command, field: event.field });
            return;
        case "command-failed":
            log.record("error", "command-failed", { index: event.index, reason: formatStack(event.error) });
            return;
        case "snapshot-refused":
            log.record("error", "snapshot-refused", { index: event.index, reason: formatStack(event.error) });
            return;
        case "snapshot-records-dropped":
            log.record("warn", "snapshot-records-dropped", { records: event.records });
            return;
        case "listener-failed":
            log.record("error", "listener-failed", { reason: formatStack(event.error) });
            return;
    }
}

function formatStack(error: unknown): string {
    return error instanceof Error ? error.stack ?? String(error) : String(error);
}
