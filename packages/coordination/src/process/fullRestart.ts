/**
 * Elections right after every voter has restarted.
 *
 * A replica that has just started cannot know whether it had answered a leader whose lease is still valid, so it grants
 * no vote for the minimum election timeout. That wait is unnecessary if every voter has restarted, because a leader
 * loses its lease with its process. A candidate detects this by one round of pre-votes that all voters answer.
 *
 * Why two leases cannot overlap: an incarnation is the time from one start of a voter to the next. Each answer comes
 * from an incarnation that began before the round and had heard no leader when it answered. Suppose another replica L
 * holds a lease. L answered the round and became leader after that. A quorum has answered L since then, in incarnations
 * that began before the round; these have now heard a leader, so they do not vote for the candidate: during the startup
 * wait a vote is granted only by the incarnation that answered the round, and only while it has heard no leader. Any
 * two quorums intersect, so the candidate is not elected.
 */
import type { ReplicaMessageOf } from "@crankfork/schemas";
import {
    computeQuorum,
    getLastResumeMs,
    getMonotonicMs,
    isUpToDate,
    type ReplicaContext,
    type RestartReport,
} from "./replicaContext.js";

/**
 * Returns whether a replica must still wait for a lease that it may have supported before its restart.
 * @param context - the replica
 * @returns true for the minimum election timeout after the start, unless a leader was heard
 */
export function isInStartupWait(context: ReplicaContext): boolean {
    return !context.hasHeardLeader
        && getMonotonicMs(context) - context.startedMs < context.options.timing.minElectionTimeoutMs;
}

/**
 * Describes this incarnation to a candidate.
 * @param context - the replica that received the pre-vote
 * @param message - the pre-vote
 * @returns undefined once a leader was heard, or if this replica leads
 */
export function createRestartReport(
    context: ReplicaContext,
    message: ReplicaMessageOf<"pre-vote">,
): RestartReport | undefined {
    return isLeaderlessSinceStart(context)
        ? {
            life: context.incarnationId,
            age_ms: getMonotonicMs(context) - context.startedMs,
            is_up_to_date: isUpToDate(context, message),
        }
        : undefined;
}

/**
 * Begins a pre-vote round; answers to earlier rounds are ignored from now on.
 * @param context - the replica that seeks election
 */
export function startPreVoteRound(context: ReplicaContext): void {
    context.roundStartedMs = getMonotonicMs(context);
    context.restartReports = new Map();
}

/**
 * Records an answer to the current round, unless it is from another round, this machine was suspended since the round
 * began, or the voter started after it.
 * @param context - the replica that seeks election
 * @param from - the voter
 * @param message - the answer
 */
export function recordRestartReport(
    context: ReplicaContext,
    from: string,
    message: ReplicaMessageOf<"pre-vote-answer">,
): void {
    const { new_life: report } = message;
    const isCurrentRound = message.round_ms === context.roundStartedMs;
    const wasNotSuspended = context.roundStartedMs >= getLastResumeMs(context);
    if (
        report !== undefined && isCurrentRound && wasNotSuspended
        && report.age_ms >= getMonotonicMs(context) - context.roundStartedMs
    ) {
        context.restartReports.set(from, report);
    }
}

/**
 * Returns whether every voter has restarted and a quorum of them would elect this replica.
 * @param context - the replica that seeks election
 * @returns true if no replica can hold a lease
 */
export function hasEveryVoterRestarted(context: ReplicaContext): boolean {
    const replicas = context.log.getReplicas();
    const others = replicas.voters.filter((voter) => voter.id !== context.options.self.id);
    const reports = others.flatMap((voter) => context.restartReports.get(voter.id) ?? []);
    const upToDate = reports.filter((report) => report.is_up_to_date).length;
    return isLeaderlessSinceStart(context) && reports.length === others.length
        && upToDate + 1 >= computeQuorum(replicas);
}

/**
 * Returns whether a vote may be granted during the startup wait.
 * @param context - the replica that is asked for its vote
 * @param message - the vote request
 * @returns true if this incarnation answered the candidate's pre-vote round and has heard no leader since
 */
export function isVoteForThisIncarnation(context: ReplicaContext, message: ReplicaMessageOf<"vote">): boolean {
    return isLeaderlessSinceStart(context) && message.life === context.incarnationId;
}

/**
 * Answers a pre-vote round on behalf of a replica whose address now belongs to another replica: its process has ended,
 * and its lease with it. It never votes again.
 * @param preVote - the pre-vote addressed to the former replica
 * @param ageMs - how long the present replica has had the address
 * @returns the answer
 */
export function createAnswerForReplacedReplica(
    preVote: ReplicaMessageOf<"pre-vote">,
    ageMs: number,
): ReplicaMessageOf<"pre-vote-answer"> {
    return {
        kind: "pre-vote-answer",
        term: 0,
        is_granted: false,
        round_ms: preVote.round_ms,
        new_life: { life: "former", age_ms: ageMs, is_up_to_date: false },
    };
}

function isLeaderlessSinceStart(context: ReplicaContext): boolean {
    return !context.hasHeardLeader && context.role.get() !== "leader";
}
