/**
 * Elections: pre-vote, vote, and stepping down.
 *
 * A replica that heard a leader within the least election time grants nothing (Ongaro's thesis, section 4.2.3). The
 * leader's lease rests on this, so it also holds right after a restart, when the replica may have answered a leader
 * that it no longer remembers.
 */
import type { ReplicaAddress, ReplicaMessageOf } from "@crankfork/schemas";
import {
    createNewLife,
    hasEveryVoterRestarted,
    isInFirstWait,
    isVoteForNewLife,
    recordNewLife,
    startRound,
} from "./fullRestart.js";
import {
    computeQuorum,
    getMonotonicMs,
    isUpToDate,
    isVoter,
    type ReplicaContext,
    writeHardState,
} from "./replicaContext.js";
import { appendAsLeader, sendAppendToAll } from "./replication.js";

/** Parts of the election time after which one that came to nothing is tried again. */
const LEAST_RETRY_SHARE = 0.25;
const RETRY_SPREAD = 0.5;

/**
 * Starts an election where no leader was heard for long enough.
 * @param context - the replica
 */
export function startElectionIfDue(context: ReplicaContext): void {
    const { log, options, role } = context;
    const isDue = getMonotonicMs(context) - context.electionTimerMs >= context.electionTimeoutMs;
    if (!isDue || role.get() === "leader" || !isVoter(log.getReplicas(), options.self.id)) {
        return;
    }
    role.send("timed-out");
    resetRetryTimeout(context);
    context.leader = undefined;
    context.grants = new Set([options.self.id]);
    startRound(context);
    const question = { term: context.term + 1, round_ms: context.roundMs, ...getLastPosition(context) };
    sendToVoters(context, () => ({ kind: "pre-vote", ...question }));
    startCandidacyIfPreElected(context);
}

/**
 * Answers a question whether a vote would be granted. Changes nothing here.
 * @param context - the replica
 * @param from - who asks
 * @param message - the question
 */
export function handlePreVote(
    context: ReplicaContext,
    from: ReplicaAddress,
    message: ReplicaMessageOf<"pre-vote">,
): void {
    const is_granted = message.term > context.term && !hasFreshLeader(context) && isUpToDate(context, message);
    const newLife = createNewLife(context, message);
    context.options.functions.send(from, {
        kind: "pre-vote-answer",
        term: is_granted ? message.term : context.term,
        is_granted,
        round_ms: message.round_ms,
        ...(newLife === undefined ? {} : { new_life: newLife }),
    });
}

/**
 * Counts an answer to the pre-vote.
 * @param context - the replica
 * @param from - who answers
 * @param message - the answer
 */
export function handlePreVoteAnswer(
    context: ReplicaContext,
    from: string,
    message: ReplicaMessageOf<"pre-vote-answer">,
): void {
    if (!message.is_granted) {
        stepDownIfNewer(context, message.term);
    }
    if (context.role.get() !== "pre-candidate") {
        return;
    }
    recordNewLife(context, from, message);
    if (message.is_granted && message.term === context.term + 1) {
        context.grants.add(from);
    }
    startCandidacyIfPreElected(context);
}

/**
 * Grants or refuses a vote; the answer leaves once the vote is on disk.
 * @param context - the replica
 * @param from - the candidate
 * @param message - its request
 */
export function handleVote(context: ReplicaContext, from: ReplicaAddress, message: ReplicaMessageOf<"vote">): void {
    if (hasFreshLeader(context) && !message.is_transfer && !isVoteForNewLife(context, message)) {
        return;
    }
    stepDownIfNewer(context, message.term);
    const isFree = context.votedFor === undefined || context.votedFor === from.id;
    const is_granted = message.term === context.term && isFree && isUpToDate(context, message);
    if (is_granted && context.votedFor === undefined) {
        context.votedFor = from.id;
        resetElectionTimeout(context);
        writeHardState(context);
    }
    const { term } = context;
    context.queue.runAfterSync(() => {
        context.options.functions.send(from, { kind: "vote-answer", term, is_granted });
    });
}

/**
 * Counts a vote.
 * @param context - the replica
 * @param from - the voter
 * @param message - its answer
 */
export function handleVoteAnswer(
    context: ReplicaContext,
    from: string,
    message: ReplicaMessageOf<"vote-answer">,
): void {
    stepDownIfNewer(context, message.term);
    if (message.is_granted && message.term === context.term && context.role.get() === "candidate") {
        context.grants.add(from);
        becomeLeaderIfElected(context);
    }
}

/**
 * Takes leadership over at the leader's request, without waiting for silence.
 * @param context - the replica
 * @param message - the request
 */
export function handleTakeOver(context: ReplicaContext, message: ReplicaMessageOf<"take-over">): void {
    const isFollower = context.role.get() === "follower";
    if (message.term === context.term && isFollower && isVoter(context.log.getReplicas(), context.options.self.id)) {
        context.role.send("asked-to-take-over");
        startVoting(context, "asked");
    }
}

/**
 * Follows a newer term.
 * @param context - the replica
 * @param term - a term that was seen
 */
export function stepDownIfNewer(context: ReplicaContext, term: number): void {
    if (term > context.term) {
        context.term = term;
        context.votedFor = undefined;
        writeHardState(context);
        stepDown(context);
    }
}

/**
 * Becomes a follower that knows no leader; proposals that wait end as unknown.
 * @param context - the replica
 */
export function stepDown(context: ReplicaContext): void {
    context.role.send("stepped-down");
    context.leader = undefined;
    context.isHandingOver = false;
    context.grants.clear();
    context.progress.clear();
    const proposals = [...context.proposals.values()];
    context.proposals.clear();
    proposals.forEach((proposal) => {
        proposal.settle({ kind: "unknown" });
    });
}

/**
 * Draws how long to wait for a leader the next time.
 * @param context - the replica
 */
export function resetElectionTimeout(context: ReplicaContext): void {
    context.electionTimerMs = getMonotonicMs(context);
    context.electionTimeoutMs = context.options.timing.minElectionTimeoutMs * (1 + context.options.functions.random());
}

/**
 * Draws how long to wait until the next election, after one that came to nothing, such as a split vote, and after a
 * start. The least election time is for leaders that may still be there: it has passed, or every voter has restarted
 * with this one, or nobody grants anything.
 * @param context - the replica
 */
export function resetRetryTimeout(context: ReplicaContext): void {
    context.electionTimerMs = getMonotonicMs(context);
    const share = LEAST_RETRY_SHARE + RETRY_SPREAD * context.options.functions.random();
    context.electionTimeoutMs = context.options.timing.minElectionTimeoutMs * share;
}

function hasFreshLeader(context: ReplicaContext): boolean {
    if (context.role.get() === "leader") {
        return true;
    }
    if (!context.hasHeardLeader) {
        return isInFirstWait(context);
    }
    const isSeeking = context.role.get() !== "follower";
    return !isSeeking && getMonotonicMs(context) - context.heardMs < context.options.timing.minElectionTimeoutMs;
}

function getLastPosition(context: ReplicaContext): { last_index: number; last_term: number; } {
    const { index, term } = context.log.last;
    return { last_index: index, last_term: term };
}

function startCandidacyIfPreElected(context: ReplicaContext): void {
    // A replica's own vote counts too, so it waits like the others.
    const isGranted = !isInFirstWait(context) && context.grants.size >= computeQuorum(context.log.getReplicas());
    if (isGranted || hasEveryVoterRestarted(context)) {
        context.role.send("pre-elected");
        startVoting(context, isGranted ? "granted" : "restarted");
    }
}

/** Why a replica stands for election: a quorum would grant it, every voter has restarted, or the leader asked for it. */
type CandidacyReason = "granted" | "restarted" | "asked";

function startVoting(context: ReplicaContext, reason: CandidacyReason): void {
    context.term += 1;
    context.votedFor = context.options.self.id;
    context.leader = undefined;
    context.grants.clear();
    resetRetryTimeout(context);
    writeHardState(context);
    const { term } = context;
    context.queue.runAfterSync(() => {
        if (context.term !== term || context.role.get() !== "candidate") {
            return;
        }
        context.grants.add(context.options.self.id);
        const request = { term, is_transfer: reason === "asked", ...getLastPosition(context) };
        sendToVoters(context, ({ id }) => {
            const life = reason === "restarted" ? context.newLives.get(id)?.life : undefined;
            return { kind: "vote", ...request, ...(life === undefined ? {} : { life }) };
        });
        becomeLeaderIfElected(context);
    });
}

function becomeLeaderIfElected(context: ReplicaContext): void {
    const { log, options } = context;
    if (context.grants.size < computeQuorum(log.getReplicas())) {
        return;
    }
    context.role.send("elected");
    context.leader = options.self;
    context.isHandingOver = false;
    context.progress.clear();
    // An entry of its own term is what lets a leader commit those of earlier terms (Raft, section 5.4.2).
    appendAsLeader(context, { kind: "none" });
    sendAppendToAll(context);
}

function sendToVoters(
    context: ReplicaContext,
    createMessage: (voter: ReplicaAddress) => ReplicaMessageOf<"pre-vote" | "vote">,
): void {
    const { voters } = context.log.getReplicas();
    voters.filter((voter) => voter.id !== context.options.self.id).forEach((voter) => {
        context.options.functions.send(voter, createMessage(voter));
    });
}
