/**
 * Commit: an entry is committed once a quorum has synced it to disk, and is then applied once, in log order.
 */
import type { LogEntry } from "@crankfork/schemas";
import { stepDown } from "./election.js";
import { applyCompaction, computeQuorum, isVoter, type ProposalResult, type ReplicaContext } from "./replicaContext.js";
import { getProgress, sendAppendToAll } from "./replication.js";

/**
 * Advances the leader's commit index to the last entry that a quorum has synced. Also called after a local sync.
 * @param context - the leader
 */
export function applyCommits(context: ReplicaContext): void {
    if (context.role.get() !== "leader") {
        return;
    }
    const replicas = context.log.getReplicas();
    const matchIndexes = replicas.voters.map((voter) => getMatchIndex(context, voter.id)).sort((left, right) =>
        right - left
    );
    const index = matchIndexes[computeQuorum(replicas) - 1] ?? 0;
    // Only entries of the current term are committed by counting replicas, and earlier entries with them (Raft, 5.4.2).
    if (index > context.commitIndex && context.log.getTerm(index) === context.term) {
        applyUpTo(context, index);
        sendCommitIfIdle(context);
        stepDownIfRemoved(context);
    }
}

/** If no entry is pending to carry the commit index, followers would learn it only with the next heartbeat. */
function sendCommitIfIdle(context: ReplicaContext): void {
    if (context.commitIndex === context.log.last.index) {
        sendAppendToAll(context);
    }
}

/**
 * Records the last entry that the leader itself has synced.
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
 * @param index - last committed entry
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

type AppliedEntry = { readonly kind: "applied"; readonly result: unknown; } | { readonly kind: "failed"; };

/** The entry is committed, so a failure would return with each start and on each replica; the log goes on after it. */
function applyEntry({ options: { functions } }: ReplicaContext, { payload, index }: LogEntry): AppliedEntry {
    if (payload.kind !== "command") {
        return { kind: "applied", result: undefined };
    }
    try {
        return { kind: "applied", result: functions.applyCommand(payload.command, index) };
    }
    catch (error) {
        functions.handleEvent({ kind: "command-failed", index, error });
        return { kind: "failed" };
    }
}

function settleProposal(context: ReplicaContext, entry: LogEntry, applied: AppliedEntry): void {
    const proposal = context.proposals.get(entry.index);
    if (proposal === undefined) {
        return;
    }
    context.proposals.delete(entry.index);
    const settled: ProposalResult = proposal.term === entry.term && applied.kind === "applied"
        ? { ...applied, index: entry.index }
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
