/**
 * Replication: the leader's entries reach the others, and their answers come back.
 */
import type { LogEntry, LogPayload, ReplicaAddress, ReplicaMessageOf, Snapshot } from "@crankfork/schemas";
import { computeEntryBytes } from "../version/entryBytes.js";
import { applyCommits, applyUpTo, recordOwnSync } from "./commit.js";
import { resetElectionTimeout, stepDown, stepDownIfNewer } from "./election.js";
import {
    appendEntries,
    applyCompaction,
    getMonotonicMs,
    getOthers,
    type Progress,
    type ReplicaContext,
} from "./replicaContext.js";

const MOST_ENTRIES_A_MESSAGE = 256;
/**
 * A message that fills the link holds up the heartbeats behind it: 1 MB takes 47 ms of 170 Mbit/s, a third of the time
 * between two heartbeats. One entry is sent whatever its size.
 */
const MOST_BYTES_A_MESSAGE = 1_000_000;
/** Heartbeats after which entries that were not answered are sent again the first time; twice as many each time after. */
const RESEND_AFTER_HEARTBEATS = 3;
/** The most of them; a replica that is back after a cut waits no longer for its entries. */
const MOST_RESEND_HEARTBEATS = 12;

/**
 * Appends an entry of the present term; it counts for the leader's own vote once it is on disk.
 * @param context - the leader
 * @param payload - what the entry carries
 * @returns the entry's index
 */
export function appendAsLeader(context: ReplicaContext, payload: LogPayload): number {
    const { term } = context;
    const index = context.log.last.index + 1;
    appendEntries(context, [{ index, term, payload }]);
    context.queue.runAfterSync(() => {
        if (context.term === term && context.role.get() === "leader") {
            recordOwnSync(context, index);
            applyCommits(context);
        }
    });
    return index;
}

/**
 * Sends to every other replica what it lacks, or a heartbeat.
 * @param context - the leader
 */
export function sendAppendToAll(context: ReplicaContext): void {
    context.broadcastMs = getMonotonicMs(context);
    getOthers(context.log.getReplicas(), context.options.self.id).forEach((replica) => {
        sendAppend(context, replica, "always");
    });
}

/**
 * Sends new entries to those replicas that have answered all earlier ones.
 * @param context - the leader
 */
export function sendNewEntries(context: ReplicaContext): void {
    getOthers(context.log.getReplicas(), context.options.self.id).forEach((replica) => {
        sendAppend(context, replica, "when-idle");
    });
}

/**
 * Takes entries from the leader; the answer leaves once they are on disk.
 * @param context - the replica
 * @param from - the leader
 * @param message - the entries
 */
export function handleAppend(
    context: ReplicaContext,
    from: ReplicaAddress,
    message: ReplicaMessageOf<"append">,
): void {
    if (message.term < context.term) {
        sendAnswer(context, from, message.sent_ms, false, context.log.last.index);
        return;
    }
    followLeader(context, from, message.term);
    const { log } = context;
    const startIndex = log.start.index;
    const hasPrevious = message.previous_index < startIndex
        || log.getTerm(message.previous_index) === message.previous_term;
    if (!hasPrevious) {
        const hint = Math.min(log.last.index, message.previous_index - 1);
        sendAnswer(context, from, message.sent_ms, false, Math.max(hint, context.commitIndex));
        return;
    }
    const fresh = message.entries.filter((entry) => entry.index > startIndex);
    const firstNew = fresh.findIndex((entry) => log.getTerm(entry.index) !== entry.term);
    if (firstNew !== -1) {
        appendEntries(context, fresh.slice(firstNew));
    }
    const matchIndex = Math.max(message.previous_index + message.entries.length, startIndex);
    answerAfterSync(context, from, message.sent_ms, matchIndex);
    applyUpTo(context, Math.min(message.commit_index, matchIndex));
}

/**
 * Puts the leader's snapshot in the place of the state here.
 * @param context - the replica
 * @param from - the leader
 * @param message - the snapshot
 */
export function handleSnapshot(
    context: ReplicaContext,
    from: ReplicaAddress,
    message: ReplicaMessageOf<"snapshot">,
): void {
    if (message.term < context.term) {
        sendAnswer(context, from, message.sent_ms, false, context.log.last.index);
        return;
    }
    followLeader(context, from, message.term);
    const { snapshot } = message;
    if (snapshot.index > context.commitIndex) {
        applyCompaction(context, snapshot);
        context.options.functions.restoreState(snapshot.state);
        context.commitIndex = snapshot.index;
        context.appliedIndex = snapshot.index;
    }
    answerAfterSync(context, from, message.sent_ms, snapshot.index);
}

/**
 * Takes an answer: moves the commit on, or goes back to where the logs agree.
 * @param context - the leader
 * @param from - who answers
 * @param message - the answer
 */
export function handleAppendAnswer(
    context: ReplicaContext,
    from: ReplicaAddress,
    message: ReplicaMessageOf<"append-answer">,
): void {
    stepDownIfNewer(context, message.term);
    if (context.role.get() !== "leader" || message.term !== context.term) {
        return;
    }
    const progress = getProgress(context, from.id);
    progress.heardMs = Math.max(progress.heardMs, message.sent_ms);
    // A heartbeat is answered while entries that left before it are still on their way. Taken for their answer it sent
    // them again each time: eleven copies in ten heartbeats on a full link.
    if (!message.is_accepted || message.match_index >= progress.sentIndex) {
        progress.sentMs = undefined;
        progress.resends = 0;
    }
    if (message.is_accepted) {
        progress.matchIndex = Math.max(progress.matchIndex, message.match_index);
        progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
        applyCommits(context);
    }
    else {
        progress.nextIndex = Math.max(
            progress.matchIndex + 1,
            Math.min(progress.nextIndex - 1, message.match_index + 1),
        );
    }
    if (progress.matchIndex < context.log.last.index) {
        sendAppend(context, from, "when-idle");
    }
}

/**
 * Gets what the leader knows of a replica.
 * @param context - the leader
 * @param id - the replica
 * @returns its progress, made where there was none
 */
export function getProgress(context: ReplicaContext, id: string): Progress {
    const known = context.progress.get(id);
    if (known !== undefined) {
        return known;
    }
    const nextIndex = context.log.last.index + 1;
    const progress: Progress = {
        nextIndex,
        matchIndex: 0,
        heardMs: Number.NEGATIVE_INFINITY,
        sentMs: undefined,
        sentIndex: 0,
        mostSentIndex: 0,
        resends: 0,
    };
    context.progress.set(id, progress);
    return progress;
}

function sendAppend(context: ReplicaContext, to: ReplicaAddress, when: "always" | "when-idle"): void {
    const { log, options } = context;
    const progress = getProgress(context, to.id);
    const now = getMonotonicMs(context);
    const isWaiting = progress.sentMs !== undefined
        && now - progress.sentMs < computeResendMs(options.timing.heartbeatMs, progress.resends);
    if (isWaiting && when === "when-idle") {
        return;
    }
    if (progress.nextIndex <= log.start.index) {
        if (!isWaiting) {
            sendSnapshot(context, to, progress, now);
        }
        return;
    }
    const previousIndex = progress.nextIndex - 1;
    const entries = isWaiting ? [] : takeWithinBytes(log.getFrom(progress.nextIndex, MOST_ENTRIES_A_MESSAGE));
    if (entries.length > 0) {
        progress.resends += progress.sentMs === undefined ? 0 : 1;
        recordResend(context, to, entries.filter((entry) => entry.index <= progress.mostSentIndex).length);
        progress.sentIndex = previousIndex + entries.length;
        progress.mostSentIndex = Math.max(progress.mostSentIndex, progress.sentIndex);
        progress.sentMs = now;
    }
    options.functions.send(to, {
        kind: "append",
        term: context.term,
        previous_index: previousIndex,
        previous_term: log.getTerm(previousIndex) ?? 0,
        entries,
        commit_index: context.commitIndex,
        sent_ms: now,
    });
}

/** Waits longer each time, so that a link which is slower than expected is not filled with copies (RFC 6298). */
function computeResendMs(heartbeatMs: number, resends: number): number {
    return heartbeatMs * Math.min(MOST_RESEND_HEARTBEATS, RESEND_AFTER_HEARTBEATS * 2 ** resends);
}

function takeWithinBytes(entries: readonly LogEntry[]): LogEntry[] {
    let bytes = 0;
    return entries.filter((entry, position) => {
        bytes += computeEntryBytes(entry);
        return position === 0 || bytes <= MOST_BYTES_A_MESSAGE;
    });
}

function recordResend(context: ReplicaContext, to: ReplicaAddress, entries: number): void {
    if (entries > 0) {
        context.options.functions.handleEvent({ kind: "resent", to: to.id, entries });
    }
}

function sendSnapshot(context: ReplicaContext, to: ReplicaAddress, progress: Progress, now: number): void {
    const { log, options } = context;
    const snapshot: Snapshot = {
        index: context.appliedIndex,
        term: log.getTerm(context.appliedIndex) ?? 0,
        replicas: log.getReplicas(context.appliedIndex),
        state: options.functions.getState(),
    };
    progress.resends += progress.sentMs === undefined ? 0 : 1;
    progress.sentMs = now;
    progress.sentIndex = snapshot.index;
    options.functions.send(to, { kind: "snapshot", term: context.term, snapshot, sent_ms: now });
}

function followLeader(context: ReplicaContext, leader: ReplicaAddress, term: number): void {
    stepDownIfNewer(context, term);
    if (context.role.get() !== "follower") {
        stepDown(context);
    }
    context.leader = leader;
    context.hasHeardLeader = true;
    context.heardMs = getMonotonicMs(context);
    resetElectionTimeout(context);
}

function answerAfterSync(context: ReplicaContext, to: ReplicaAddress, sentMs: number, matchIndex: number): void {
    const { term } = context;
    context.queue.runAfterSync(() => {
        // A newer leader may have cut these entries since; the old one must not count them.
        if (context.term === term) {
            sendAnswer(context, to, sentMs, true, matchIndex);
        }
    });
}

function sendAnswer(
    context: ReplicaContext,
    to: ReplicaAddress,
    sent_ms: number,
    is_accepted: boolean,
    match_index: number,
): void {
    context.options.functions.send(to, {
        kind: "append-answer",
        term: context.term,
        is_accepted,
        match_index,
        sent_ms,
    });
}
