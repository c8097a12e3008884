/**
 * Commit: an entry counts once a quorum has it on disk; then it is applied, in order, once.
 */
import type { LogEntry } from "@crankfork/schemas";
import { stepDown } from "./election.js";
import { applyCompaction, computeQuorum, isVoter, type ProposalResult, type ReplicaContext } from "./replicaContext.js";
import { getProgress, sendAppendToAll } from "./replication.js";

/**
 * Moves the leader's commit on as far as a quorum has synced; call it after a sync here too.
 * @param context - the leader
 */
export function applyCommits(context: ReplicaContext): void {
    if (context.role.get() !== "leader") {
        return;
    }
    const replicas = context.log.getReplicas();
    const matched = replicas.voters.map((voter) => getMatchIndex(context, voter.id)).sort((left, right) =>
        right - left
    );
    const index = matched[computeQuorum(replicas) - 1] ?? 0;
    // Only an entry of the present term may be counted (Raft, section 5.4.2); it commits those before it.
    if (index > context.commitIndex && context.log.getTerm(index) === context.term) {
        applyUpTo(context, index);
        sendCommitIfIdle(context);
        stepDownIfRemoved(context);
    }
}

/** Followers apply what they know is committed; with no entry on its way to tell them, the next heartbeat would. */
function sendCommitIfIdle(context: ReplicaContext): void {
    if (context.commitIndex === context.log.last.index) {
        sendAppendToAll(context);
    }
}

/**
 * Marks what the leader has synced itself.
 * @param context - the leader
 * @param index - last entry on its disk
 */
export function recordOwnSync(context: ReplicaContext, index: number): void {
    const progress = getProgress(context, context.options.self.id);
    progress.matchIndex = Math.max(progress.matchIndex, index);
}

/**
 * Applies committed entries.
 * @param context - the replica
 * @param index - the last that is committed
 */
export function applyUpTo(context: ReplicaContext, index: number): void {
    context.commitIndex = Math.max(context.commitIndex, index);
    while (context.appliedIndex < context.commitIndex) {
        const entry = context.log.get(context.appliedIndex + 1);
        if (entry === undefined) {
            return;
        }
        context.appliedIndex = entry.index;
        settleProposal(context, entry, applyEntry(context, entry));
    }
    compactIfDue(context);
}

function applyEntry(context: ReplicaContext, entry: LogEntry): unknown {
    return entry.payload.kind === "command"
        ? context.options.functions.applyCommand(entry.payload.command, entry.index)
        : undefined;
}

function settleProposal(context: ReplicaContext, entry: LogEntry, result: unknown): void {
    const proposal = context.proposals.get(entry.index);
    if (proposal === undefined) {
        return;
    }
    context.proposals.delete(entry.index);
    const settled: ProposalResult = proposal.term === entry.term
        ? { kind: "applied", result, index: entry.index }
        : { kind: "unknown" };
    proposal.settle(settled);
}

function compactIfDue(context: ReplicaContext): void {
    const { log, options, appliedIndex } = context;
    if (appliedIndex - log.start.index < options.snapshotThreshold) {
        return;
    }
    applyCompaction(context, {
        index: appliedIndex,
        term: log.getTerm(appliedIndex) ?? 0,
        replicas: log.getReplicas(appliedIndex),
        state: options.functions.getState(),
    });
}

function stepDownIfRemoved(context: ReplicaContext): void {
    const committed = context.log.getReplicas(context.commitIndex);
    if (!isVoter(committed, context.options.self.id)) {
        stepDown(context);
    }
}

function getMatchIndex(context: ReplicaContext, id: string): number {
    return getProgress(context, id).matchIndex;
}
