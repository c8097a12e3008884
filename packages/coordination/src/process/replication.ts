/**
 * Log replication: appends and snapshots sent by the leader, and the answers of the other replicas.
 */
import type { LogEntry, LogPayload, ReplicaAddress, ReplicaMessageOf, Snapshot } from "@crankfork/schemas";
import { computeEntryBytes } from "../version/entryBytes.js";
import { applyCommits, applyUpTo, recordOwnSync } from "./commit.js";
import { resetElectionTimeout, stepDown, stepDownIfNewer } from "./election.js";
import { recordLateness } from "./lateness.js";
import { getQuorumContactMs } from "./lease.js";
import {
    appendEntries,
    applyCompaction,
    getMonotonicMs,
    getOtherReplicas,
    type Progress,
    type ReplicaContext,
} from "./replicaContext.js";

const MAX_ENTRIES_PER_MESSAGE = 256;
/**
 * Bounds how long a message delays the heartbeats behind it: 1 MB takes 47 ms at 170 Mbit/s, a third of the heartbeat
 * interval. A single entry is sent whatever its size.
 */
const MAX_BYTES_PER_MESSAGE = 1_000_000;
/** Heartbeat intervals after which unanswered entries are first resent; doubles with each resend. */
const FIRST_RESEND_HEARTBEATS = 3;
/** Upper bound of the resend delay, so that a replica gets its entries soon after a network partition ends. */
const MAX_RESEND_HEARTBEATS = 12;

/**
 * Appends an entry of the current term. The leader counts itself towards its quorum once the entry is on disk.
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
 * Sends missing entries, or a heartbeat, to every other replica.
 * @param context - the leader
 */
export function sendAppendToAll(context: ReplicaContext): void {
    context.lastBroadcastMs = getMonotonicMs(context);
    getOtherReplicas(context.log.getReplicas(), context.options.self.id).forEach((replica) => {
        sendAppend(context, replica, "always");
    });
}

/**
 * Sends new entries to the replicas that have no unanswered entries in flight.
 * @param context - the leader
 */
export function sendNewEntries(context: ReplicaContext): void {
    getOtherReplicas(context.log.getReplicas(), context.options.self.id).forEach((replica) => {
        sendAppend(context, replica, "when-idle");
    });
}

/**
 * Gets when a voter was last heard, by this leader or an earlier one.
 * @param context - the leader
 * @param id - the voter
 * @param otherwiseMs - the time to count from if no silence of the voter is known
 * @returns milliseconds by the monotonic clock
 */
export function getLastHeardMs(context: ReplicaContext, id: string, otherwiseMs: number): number {
    return Math.max(getProgress(context, id).lastAckedSendMs, context.lastHeardMs.get(id) ?? otherwiseMs);
}

/** Lists the voters that a later leader should not have to find silent anew. */
function listSilentVoters(context: ReplicaContext): { id: string; ms: number; }[] {
    const { timing, self } = context.options;
    const now = getMonotonicMs(context);
    return context.log.getReplicas().voters.flatMap(({ id }) => {
        const ms = id === self.id ? 0 : now - getLastHeardMs(context, id, now);
        return ms > timing.minElectionTimeoutMs ? [{ id, ms }] : [];
    });
}

/**
 * Handles entries from the leader. The answer is sent once they are on disk.
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
    recordSilentVoters(context, from.id, message.silent ?? []);
    const { log } = context;
    const startIndex = log.start.index;
    const hasPrevious = message.previous_index < startIndex
        || log.getTerm(message.previous_index) === message.previous_term;
    if (!hasPrevious) {
        const hint = Math.min(log.last.index, message.previous_index - 1);
        sendAnswer(context, from, message.sent_ms, false, Math.max(hint, context.commitIndex));
        return;
    }
    const afterSnapshot = message.entries.filter((entry) => entry.index > startIndex);
    const firstDivergent = afterSnapshot.findIndex((entry) => log.getTerm(entry.index) !== entry.term);
    if (firstDivergent !== -1) {
        appendEntries(context, afterSnapshot.slice(firstDivergent));
    }
    const matchIndex = Math.max(message.previous_index + message.entries.length, startIndex);
    answerAfterSync(context, from, message.sent_ms, matchIndex);
    applyUpTo(context, Math.min(message.commit_index, matchIndex));
    // A heartbeat beside a snapshot names no commit.
    if (message.commit_index > 0 && context.appliedIndex >= message.commit_index) {
        context.lastCaughtUpMs = getMonotonicMs(context);
    }
}

/**
 * Replaces the local state with the leader's snapshot.
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
        // The log is compacted only once the state that replaces its entries is restored.
        if (!tryRestoreState(context, snapshot)) {
            return;
        }
        applyCompaction(context, snapshot);
        context.commitIndex = snapshot.index;
        context.appliedIndex = snapshot.index;
    }
    answerAfterSync(context, from, message.sent_ms, snapshot.index);
}

/** Without an answer, the leader sends a snapshot again, of its state at that time. */
function tryRestoreState({ options: { functions } }: ReplicaContext, { state, index }: Snapshot): boolean {
    try {
        functions.restoreState(state, index);
        return true;
    }
    catch (error) {
        functions.handleEvent({ kind: "snapshot-refused", index, error });
        return false;
    }
}

/**
 * Handles an answer: advances the commit index, or backs up to where the logs may agree.
 * @param context - the leader
 * @param from - the answering replica
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
    progress.lastAckedSendMs = Math.max(progress.lastAckedSendMs, message.sent_ms);
    const quorumContactMs = getQuorumContactMs(context);
    if (Number.isFinite(quorumContactMs)) {
        recordLateness(context, quorumContactMs);
    }
    // Heartbeats may be answered while earlier entries are still in transit. Treating such an answer as the answer to
    // the entries would resend them with each heartbeat: eleven copies in ten heartbeats on a saturated link.
    if (!message.is_accepted || message.match_index >= progress.lastSentIndex) {
        progress.inFlightSinceMs = undefined;
        progress.resends = 0;
    }
    if (message.is_accepted) {
        if (message.match_index > progress.matchIndex) {
            progress.matchIndex = message.match_index;
            progress.matchedMs = getMonotonicMs(context);
        }
        progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
        applyCommits(context);
    }
    else {
        resetMatchIfLost(context, from.id, progress, message);
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
 * Every message that was sent after an acknowledgement follows an entry that the replica has acknowledged. If it refuses
 * such a message and has fewer entries, it has lost some, and these must be neither counted nor left out.
 */
function resetMatchIfLost(
    context: ReplicaContext,
    replica: string,
    progress: Progress,
    refusal: ReplicaMessageOf<"append-answer">,
): void {
    if (refusal.sent_ms <= progress.matchedMs || refusal.match_index >= progress.matchIndex) {
        return;
    }
    context.options.functions.handleEvent({
        kind: "acknowledged-entries-lost",
        replica,
        acknowledgedIndex: progress.matchIndex,
        lastIndex: refusal.match_index,
    });
    progress.matchIndex = 0;
}

/**
 * Gets the replication progress of a replica, and creates it if there is none.
 * @param context - the leader
 * @param id - the replica
 * @returns its progress
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
        matchedMs: Number.NEGATIVE_INFINITY,
        lastAckedSendMs: Number.NEGATIVE_INFINITY,
        inFlightSinceMs: undefined,
        lastSentIndex: 0,
        highestSentIndex: 0,
        resends: 0,
    };
    context.progress.set(id, progress);
    return progress;
}

function sendAppend(context: ReplicaContext, to: ReplicaAddress, when: "always" | "when-idle"): void {
    const { log, options } = context;
    const progress = getProgress(context, to.id);
    const now = getMonotonicMs(context);
    const isAwaitingAnswer = progress.inFlightSinceMs !== undefined
        && now - progress.inFlightSinceMs < computeResendDelayMs(options.timing.heartbeatMs, progress.resends);
    if (isAwaitingAnswer && when === "when-idle") {
        return;
    }
    if (progress.nextIndex <= log.start.index) {
        if (isAwaitingAnswer) {
            sendHeartbeatBesideSnapshot(context, to, now);
        }
        else {
            sendSnapshot(context, to, progress, now);
        }
        return;
    }
    const previousIndex = progress.nextIndex - 1;
    const entries = isAwaitingAnswer
        ? []
        : limitToMessageBytes(log.getFrom(progress.nextIndex, MAX_ENTRIES_PER_MESSAGE));
    if (entries.length > 0) {
        progress.resends += progress.inFlightSinceMs === undefined ? 0 : 1;
        recordResend(context, to, entries.filter((entry) => entry.index <= progress.highestSentIndex).length);
        progress.lastSentIndex = previousIndex + entries.length;
        progress.highestSentIndex = Math.max(progress.highestSentIndex, progress.lastSentIndex);
        progress.inFlightSinceMs = now;
    }
    const silent = listSilentVoters(context);
    options.functions.send(to, {
        kind: "append",
        term: context.term,
        previous_index: previousIndex,
        previous_term: log.getTerm(previousIndex) ?? 0,
        entries,
        commit_index: context.commitIndex,
        ...(silent.length === 0 ? {} : { silent }),
        sent_ms: now,
    });
}

/**
 * A snapshot may take longer than an election timeout to arrive and to be synced. This message follows the beginning of the log,
 * so a replica accepts it regardless of its log, and its answer acknowledges none of the snapshot.
 */
function sendHeartbeatBesideSnapshot(context: ReplicaContext, to: ReplicaAddress, now: number): void {
    context.options.functions.send(to, {
        kind: "append",
        term: context.term,
        previous_index: 0,
        previous_term: 0,
        entries: [],
        commit_index: 0,
        sent_ms: now,
    });
}

/** Exponential backoff, so that a link that is slower than expected is not saturated with resent entries (RFC 6298). */
function computeResendDelayMs(heartbeatMs: number, resends: number): number {
    return heartbeatMs * Math.min(MAX_RESEND_HEARTBEATS, FIRST_RESEND_HEARTBEATS * 2 ** resends);
}

function limitToMessageBytes(entries: readonly LogEntry[]): LogEntry[] {
    let bytes = 0;
    return entries.filter((entry, position) => {
        bytes += computeEntryBytes(entry);
        return position === 0 || bytes <= MAX_BYTES_PER_MESSAGE;
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
    progress.resends += progress.inFlightSinceMs === undefined ? 0 : 1;
    progress.inFlightSinceMs = now;
    progress.lastSentIndex = snapshot.index;
    options.functions.send(to, { kind: "snapshot", term: context.term, snapshot, sent_ms: now });
}

function followLeader(context: ReplicaContext, leader: ReplicaAddress, term: number): void {
    stepDownIfNewer(context, term);
    if (context.role.get() !== "follower") {
        stepDown(context);
    }
    if (context.leader?.id === leader.id) {
        recordLateness(context, context.lastLeaderContactMs + context.options.timing.heartbeatMs);
    }
    context.leader = leader;
    context.hasHeardLeader = true;
    context.failedCampaigns = 0;
    context.lastLeaderContactMs = getMonotonicMs(context);
    resetElectionTimeout(context);
}

function recordSilentVoters(
    context: ReplicaContext,
    leader: string,
    silent: readonly { readonly id: string; readonly ms: number; }[],
): void {
    const now = getMonotonicMs(context);
    context.lastHeardMs = new Map([...silent.map(({ id, ms }) => [id, now - ms] as const), [leader, now]]);
}

function answerAfterSync(context: ReplicaContext, to: ReplicaAddress, sentMs: number, matchIndex: number): void {
    const { term } = context;
    context.queue.runAfterSync(() => {
        // A newer leader may have truncated these entries since; the old leader must not count them.
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
