/**
 * Log line about a message between replicas that no replica can have sent.
 */
import type { ReplicaEvent } from "@crankfork/coordination";
import type { EventLog } from "./eventLog.js";

/**
 * Records the event in the log.
 * @param log - the log of the instance
 * @param event - the event
 */
export function recordIgnoredMessage(
    log: Pick<EventLog, "record">,
    { from, message, term }: Extract<ReplicaEvent, { kind: "message-ignored"; }>,
): void {
    log.record("warn", "message-ignored", { peer: from, message, term });
}
