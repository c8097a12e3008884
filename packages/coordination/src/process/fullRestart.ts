/**
 * Elections right after a restart of every voter.
 *
 * A replica that has just started can't know whether it answered a leader before, whose lease may still run; so it
 * grants no vote for an election time. That wait is in vain where every voter has restarted: whoever led has lost its
 * lease with its process. A candidate finds that out by one round of pre-votes that all voters answer.
 *
 * Why two leases can't meet: each answer is of a life that had begun before the round did and had heard no leader by
 * then. Say another replica, L, holds a lease. L answered the round, and began to lead after that. A quorum has
 * answered L since, in lives that began before the round, so those lives have heard a leader and grant nothing here:
 * a vote is granted past the wait only by the very life that answered the round, while it has heard no leader. Quorums
 * meet, so the candidate isn't elected.
 */
import type { ReplicaMessageOf } from "@crankfork/schemas";
import {
    computeQuorum,
    getMonotonicMs,
    getWokeMs,
    isUpToDate,
    type NewLife,
    type ReplicaContext,
} from "./replicaContext.js";

/**
 * Tells whether a replica still has to wait for a lease that it may have supported before its start.
 * @param context - the replica
 * @returns true for an election time after the start, unless a leader was heard
 */
export function isInFirstWait(context: ReplicaContext): boolean {
    return !context.hasHeardLeader
        && getMonotonicMs(context) - context.startedMs < context.options.timing.minElectionTimeoutMs;
}

/**
 * Describes this life to a candidate.
 * @param context - the replica that was asked
 * @param message - the question
 * @returns undefined once a leader was heard, or where this replica leads
 */
export function createNewLife(context: ReplicaContext, message: ReplicaMessageOf<"pre-vote">): NewLife | undefined {
    return isNewLife(context)
        ? {
            life: context.life,
            age_ms: getMonotonicMs(context) - context.startedMs,
            is_up_to_date: isUpToDate(context, message),
        }
        : undefined;
}

/**
 * Begins a round: answers to earlier ones count no more.
 * @param context - the replica that asks
 */
export function startRound(context: ReplicaContext): void {
    context.roundMs = getMonotonicMs(context);
    context.newLives = new Map();
}

/**
 * Notes an answer to the present round.
 * @param context - the replica that asked
 * @param from - who answers
 * @param message - the answer
 */
export function recordNewLife(
    context: ReplicaContext,
    from: string,
    message: ReplicaMessageOf<"pre-vote-answer">,
): void {
    const { new_life: newLife } = message;
    const isOfThisRound = message.round_ms === context.roundMs;
    const isAwakeSince = context.roundMs >= getWokeMs(context);
    if (
        newLife !== undefined && isOfThisRound && isAwakeSince
        && newLife.age_ms >= getMonotonicMs(context) - context.roundMs
    ) {
        context.newLives.set(from, newLife);
    }
}

/**
 * Tells whether every voter has restarted and enough of them would elect this replica.
 * @param context - the replica that asked
 * @returns true where nobody can hold a lease
 */
export function hasEveryVoterRestarted(context: ReplicaContext): boolean {
    const replicas = context.log.getReplicas();
    const others = replicas.voters.filter((voter) => voter.id !== context.options.self.id);
    const lives = others.flatMap((voter) => context.newLives.get(voter.id) ?? []);
    const upToDate = lives.filter((one) => one.is_up_to_date).length;
    return isNewLife(context) && lives.length === others.length && upToDate + 1 >= computeQuorum(replicas);
}

/**
 * Tells whether a vote may be granted before the first wait is over.
 * @param context - the replica that is asked for its vote
 * @param message - the request
 * @returns true where the candidate heard from this very life, and no leader was heard since
 */
export function isVoteForNewLife(context: ReplicaContext, message: ReplicaMessageOf<"vote">): boolean {
    return isNewLife(context) && message.life === context.life;
}

/**
 * Answers a round in the name of a replica that is gone: its address belongs to another one now, so its process has
 * ended, and its lease with it. It never votes again.
 * @param question - what it was asked
 * @param ageMs - how long the other one has had the address
 * @returns the answer
 */
export function createAnswerForReplacedReplica(
    question: ReplicaMessageOf<"pre-vote">,
    ageMs: number,
): ReplicaMessageOf<"pre-vote-answer"> {
    return {
        kind: "pre-vote-answer",
        term: 0,
        is_granted: false,
        round_ms: question.round_ms,
        new_life: { life: "former", age_ms: ageMs, is_up_to_date: false },
    };
}

function isNewLife(context: ReplicaContext): boolean {
    return !context.hasHeardLeader && context.role.get() !== "leader";
}
