/**
 * Log line of an election that timed out.
 */
import type { ReplicaEvent } from "@crankfork/coordination";
import type { EventLog } from "./eventLog.js";

/**
 * Logs an election that timed out.
 * @param log - the log
 * @param event - the election
 */
export function recordElectionTimeout(
    log: EventLog,
    event: Extract<ReplicaEvent, { kind: "election-timed-out"; }>,
): void {
    log.record("info", "election-timed-out", {
        phase: event.phase,
        term: event.term,
        grants: event.grants,
        ms: Math.round(event.elapsedMs),
        late_answers: event.lateAnswers,
        answer_delay_ms: Math.round(event.maxAnswerDelayMs),
    });
}
