/**
 * Checks the positions that a message names against those that a log can have reached, and the times that it echoes. Positions are
 * stored and counted on from, so that one near the end of the range of integers would leave none for later entries.
 */
import type { LogEntry, ReplicaMessage, ReplicaMessageOf } from "@crankfork/schemas";
import { getMonotonicMs, type ReplicaContext } from "./replicaContext.js";

/** No log grows so long: at a million entries a second it would take nine years. */
const MAX_LOG_INDEX = 2 ** 48;
/**
 * A message whose term is further ahead is ignored. No elections take so many terms, and a term near the end of the range of
 * integers would leave none for the next elections.
 */
const MAX_TERM_LEAD = 2 ** 32;

/**
 * Checks whether a replica can have sent a message.
 * @param context - the replica that received it
 * @param message - the message
 * @returns false if a term, an index or an echoed time cannot be true; the message must be ignored then
 */
export function isPossibleMessage(context: ReplicaContext, message: ReplicaMessage): boolean {
    if (message.term - context.term > MAX_TERM_LEAD) {
        return false;
    }
    switch (message.kind) {
        case "pre-vote":
        case "vote":
            return isIndex(message.last_index) && message.last_term <= message.term;
        case "append":
            return isPossibleAppend(message);
        case "append-answer":
            return isIndex(message.match_index) && canAnswer(context, message);
        case "snapshot":
            return isIndex(message.snapshot.index) && message.snapshot.term <= message.term;
        case "pre-vote-answer":
        case "vote-answer":
        case "take-over":
            return true;
    }
}

/**
 * Checks whether an index can be a position in a log.
 * @param index - the index; 0 is the position before the first entry
 * @returns false if no log is that long
 */
export function isIndex(index: number): boolean {
    return index >= 0 && index <= MAX_LOG_INDEX;
}

function isPossibleAppend(message: ReplicaMessageOf<"append">): boolean {
    const { term, previous_index, previous_term, entries, commit_index } = message;
    const isNext = (entry: LogEntry, at: number): boolean => entry.index === previous_index + 1 + at;
    return isIndex(previous_index) && isIndex(previous_index + entries.length) && isIndex(commit_index)
        && previous_term <= term && entries.every((entry, at) => entry.term <= term && isNext(entry, at));
}

/**
 * A leader's log only grows, and each match in its term is a match with one of its entries. Its clock never goes back, and its lease
 * is counted from the time that an answer echoes.
 */
function canAnswer(context: ReplicaContext, answer: ReplicaMessageOf<"append-answer">): boolean {
    if (answer.term !== context.term || context.role.get() !== "leader") {
        return true;
    }
    return answer.sent_ms <= getMonotonicMs(context)
        && (!answer.is_accepted || answer.match_index <= context.log.last.index);
}
