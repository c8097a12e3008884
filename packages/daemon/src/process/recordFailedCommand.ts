/**
 * Log lines about committed commands and snapshots that were not applied, at least in part.
 */
import type { ReplicaEvent } from "@crankfork/coordination";
import type { EventLog } from "./eventLog.js";
import { describeError } from "./taskFailures.js";

/** A command or a snapshot that was not applied, at least in part. */
export type FailedCommandEvent = Extract<
    ReplicaEvent,
    {
        kind:
            | "command-invalid"
            | "command-failed"
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
            log.record("error", "command-failed", { index: event.index, ...describeError(event.error) });
            return;
        case "snapshot-refused":
            log.record("error", "snapshot-refused", { index: event.index, ...describeError(event.error) });
            return;
        case "snapshot-records-dropped":
            log.record("warn", "snapshot-records-dropped", { records: event.records });
            return;
    }
}
