/**
 * Elections: pre-vote, vote, and stepping down.
 *
 * A replica that heard a leader within the minimum election timeout grants no vote (Ongaro's thesis, section 4.2.3).
 * The leader lease depends on this rule, so it also applies right after a restart, when the replica may have answered a
 * leader that it no longer remembers.
 */
import type { ReplicaAddress, ReplicaMessageOf } from "@crankfork/schemas";
import {
    createRestartReport,
    hasEveryVoterRestarted,
    isInStartupWait,
    isVoteForThisIncarnation,
    recordRestartReport,
    startPreVoteRound,
} from "./fullRestart.js";
import { getLatenessMs, recordLateness } from "./lateness.js";
import {
    type Campaign,
    computeQuorum,
    getMonotonicMs,
    isUpToDate,
    isVoter,
    type ReplicaContext,
    writeHardState,
} from "./replicaContext.js";
import { appendAsLeader, sendAppendToAll } from "./replication.js";
import type { Role } from "./roleMachine.js";

/** Delay before an unsuccessful election is retried, as a fraction of the minimum election timeout, and its jitter. */
const MIN_RETRY_FRACTION = 0.25;
const RETRY_JITTER_FRACTION = 0.5;
/** Binary exponential backoff, so that candidates that split the votes do not start again together (Metcalfe and Boggs, 1976). */
const MAX_JITTER_DOUBLINGS = 3;

/**
 * Starts an election if the election timeout has passed without a leader.
 * @param context - the replica
 */
export function startElectionIfDue(context: ReplicaContext): void {
    const { log, options, role } = context;
    const isDue = getMonotonicMs(context) - context.electionTimerStartedMs >= context.electionTimeoutMs;
    if (!isDue || role.get() === "leader" || !isVoter(log.getReplicas(), options.self.id)) {
        return;
    }
    recordElectionTimeout(context);
    context.lateAnswersMs = [];
    role.send("timed-out");
    resetRetryTimeout(context);
    context.leader = undefined;
    context.grants = new Set([options.self.id]);
    startPreVoteRound(context);
    const preVote = { term: context.term + 1, round_ms: context.roundStartedMs, ...getLastPosition(context) };
    sendToVoters(context, () => ({ kind: "pre-vote", ...preVote }));
    startCampaignIfPreVoteWon(context);
}

/**
 * Answers whether a vote would be granted, without changing term or vote. If so, the own election waits for the candidate's, so
 * that candidates of the same moment do not split the votes.
 * @param context - the replica
 * @param from - the replica that seeks election
 * @param message - the pre-vote
 */
export function handlePreVote(
    context: ReplicaContext,
    from: ReplicaAddress,
    message: ReplicaMessageOf<"pre-vote">,
): void {
    const is_granted = message.term > context.term && !hasRecentLeader(context, getLatenessMs(context))
        && isUpToDate(context, message);
    if (is_granted) {
        postponeElection(context);
    }
    const report = createRestartReport(context, message);
    context.options.functions.send(from, {
        kind: "pre-vote-answer",
        term: is_granted ? message.term : context.term,
        is_granted,
        round_ms: message.round_ms,
        ...(report === undefined ? {} : { new_life: report }),
    });
}

/**
 * Counts an answer to the pre-vote.
 * @param context - the replica
 * @param from - the voter
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
    recordLateness(context, message.round_ms);
    recordIfLate(context, message.round_ms, "pre-candidate", context.roundStartedMs);
    if (context.role.get() !== "pre-candidate") {
        return;
    }
    recordRestartReport(context, from, message);
    if (message.is_granted && message.term === context.term + 1) {
        context.grants.add(from);
    }
    startCampaignIfPreVoteWon(context);
}

/**
 * Grants or refuses a vote. The answer is sent once the vote is on disk.
 * @param context - the replica
 * @param from - the candidate
 * @param message - the vote request
 */
export function handleVote(context: ReplicaContext, from: ReplicaAddress, message: ReplicaMessageOf<"vote">): void {
    if (hasRecentLeader(context) && !message.is_transfer && !isVoteForThisIncarnation(context, message)) {
        return;
    }
    stepDownIfNewer(context, message.term);
    const canVote = context.votedFor === undefined || context.votedFor === from.id;
    const is_granted = message.term === context.term && canVote && isUpToDate(context, message);
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
 * Counts a vote. It counts after the election has timed out, too, as long as the term lasts: it is on the voter's disk, and no other
 * replica can get it.
 * @param context - the replica
 * @param from - the voter
 * @param message - the answer
 */
export function handleVoteAnswer(
    context: ReplicaContext,
    from: string,
    message: ReplicaMessageOf<"vote-answer">,
): void {
    stepDownIfNewer(context, message.term);
    const { campaign } = context;
    if (campaign === undefined || message.term !== campaign.term) {
        return;
    }
    recordLateness(context, campaign.startedMs);
    recordIfLate(context, campaign.startedMs, "candidate", campaign.startedMs);
    if (message.is_granted) {
        campaign.votes.add(from);
        becomeLeaderIfElected(context, campaign);
    }
}

/**
 * Starts an election at once when the leader transfers its leadership, without waiting for the election timeout.
 * @param context - the replica
 * @param message - the transfer request
 */
export function handleTakeOver(context: ReplicaContext, message: ReplicaMessageOf<"take-over">): void {
    const isFollower = context.role.get() === "follower";
    if (message.term === context.term && isFollower && isVoter(context.log.getReplicas(), context.options.self.id)) {
        context.role.send("asked-to-take-over");
        startCampaign(context, "asked");
    }
}

/**
 * Adopts a newer term and becomes a follower in it.
 * @param context - the replica
 * @param term - the term of a received message
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
 * Becomes a follower without a known leader. Pending proposals end as `unknown`.
 * @param context - the replica
 */
export function stepDown(context: ReplicaContext): void {
    keepLastHeard(context);
    context.role.send("stepped-down");
    context.leader = undefined;
    context.isTransferringLeadership = false;
    context.grants.clear();
    context.campaign = undefined;
    context.progress.clear();
    const proposals = [...context.proposals.values()];
    context.proposals.clear();
    proposals.forEach((proposal) => {
        proposal.settle({ kind: "unknown" });
    });
}

/** Keeps what a leader knows of silent voters, in case it is elected again. */
function keepLastHeard(context: ReplicaContext): void {
    for (const [id, { lastAckedSendMs }] of context.progress) {
        if (lastAckedSendMs > (context.lastHeardMs.get(id) ?? Number.NEGATIVE_INFINITY)) {
            context.lastHeardMs.set(id, lastAckedSendMs);
        }
    }
}

/**
 * Restarts the election timer with a new random timeout.
 * @param context - the replica
 */
export function resetElectionTimeout(context: ReplicaContext): void {
    context.electionTimerStartedMs = getMonotonicMs(context);
    const { timing, functions } = context.options;
    context.electionTimeoutMs = timing.minElectionTimeoutMs * (1 + functions.random()) + getLatenessMs(context);
}

/**
 * Restarts the election timer with a shorter random timeout, after a start and after an unsuccessful election such as a
 * split vote. The minimum election timeout protects a leader that may still be active and is not needed here: it has
 * already passed, or every voter has restarted too, or the other voters refuse their votes. The timeout allows for the time that
 * answers take, and its random part doubles with each split vote.
 * @param context - the replica
 */
export function resetRetryTimeout(context: ReplicaContext): void {
    context.electionTimerStartedMs = getMonotonicMs(context);
    context.electionTimeoutMs = drawRetryTimeoutMs(context);
}

/** Restarts the election timer like {@link resetRetryTimeout}, unless it would then end earlier. */
function postponeElection(context: ReplicaContext): void {
    const elapsedMs = getMonotonicMs(context) - context.electionTimerStartedMs;
    context.electionTimeoutMs = Math.max(context.electionTimeoutMs, elapsedMs + drawRetryTimeoutMs(context));
}

function drawRetryTimeoutMs(context: ReplicaContext): number {
    const { timing, functions } = context.options;
    const latenessMs = getLatenessMs(context);
    const minMs = timing.minElectionTimeoutMs * MIN_RETRY_FRACTION + latenessMs;
    const jitterMs = timing.minElectionTimeoutMs * RETRY_JITTER_FRACTION + latenessMs;
    const backoff = 2 ** Math.min(context.failedCampaigns, MAX_JITTER_DOUBLINGS);
    return minMs + jitterMs * backoff * functions.random();
}

/** Counts and reports an election that timed out, and the answers to earlier ones that arrived during it. */
function recordElectionTimeout(context: ReplicaContext): void {
    const role = context.role.get();
    if (role === "follower" || role === "leader") {
        return;
    }
    context.failedCampaigns += role === "candidate" ? 1 : 0;
    const campaign = role === "candidate" ? context.campaign : undefined;
    context.options.functions.handleEvent({
        kind: "election-timed-out",
        phase: campaign === undefined ? "pre-vote" : "vote",
        term: context.term,
        grants: (campaign?.votes ?? context.grants).size,
        elapsedMs: getMonotonicMs(context) - (campaign?.startedMs ?? context.roundStartedMs),
        lateAnswers: context.lateAnswersMs.length,
        maxAnswerDelayMs: Math.max(0, ...context.lateAnswersMs),
    });
}

/** Records an answer to an election that is over. */
function recordIfLate(context: ReplicaContext, askedMs: number, asRole: Role, currentMs: number): void {
    if (context.role.get() !== "leader" && (context.role.get() !== asRole || askedMs !== currentMs)) {
        context.lateAnswersMs.push(getMonotonicMs(context) - askedMs);
    }
}

/** `latenessMs` is how much later than usual the next message of the leader may arrive. */
function hasRecentLeader(context: ReplicaContext, latenessMs: number = 0): boolean {
    if (context.role.get() === "leader") {
        return true;
    }
    if (!context.hasHeardLeader) {
        return isInStartupWait(context);
    }
    const isCampaigning = context.role.get() !== "follower";
    return !isCampaigning
        && getMonotonicMs(context) - context.lastLeaderContactMs
            < context.options.timing.minElectionTimeoutMs + latenessMs;
}

function getLastPosition(context: ReplicaContext): { last_index: number; last_term: number; } {
    const { index, term } = context.log.last;
    return { last_index: index, last_term: term };
}

function startCampaignIfPreVoteWon(context: ReplicaContext): void {
    // The replica's own vote counts as well, so the startup wait applies to it too.
    const isGranted = !isInStartupWait(context) && context.grants.size >= computeQuorum(context.log.getReplicas());
    if (isGranted || hasEveryVoterRestarted(context)) {
        context.role.send("pre-elected");
        startCampaign(context, isGranted ? "granted" : "restarted");
    }
}

/** Reason for a campaign: a quorum granted the pre-vote, every voter has restarted, or the leader asked for it. */
type CampaignReason = "granted" | "restarted" | "asked";

function startCampaign(context: ReplicaContext, reason: CampaignReason): void {
    context.term += 1;
    context.votedFor = context.options.self.id;
    context.leader = undefined;
    context.grants.clear();
    const { term } = context;
    const campaign: Campaign = { term, startedMs: getMonotonicMs(context), votes: new Set() };
    context.campaign = campaign;
    resetRetryTimeout(context);
    writeHardState(context);
    context.queue.runAfterSync(() => {
        if (context.campaign !== campaign) {
            return;
        }
        campaign.votes.add(context.options.self.id);
        const request = { term, is_transfer: reason === "asked", ...getLastPosition(context) };
        sendToVoters(context, ({ id }) => {
            const incarnation = reason === "restarted" ? context.restartReports.get(id)?.life : undefined;
            return { kind: "vote", ...request, ...(incarnation === undefined ? {} : { life: incarnation }) };
        });
        becomeLeaderIfElected(context, campaign);
    });
}

function becomeLeaderIfElected(context: ReplicaContext, campaign: Campaign): void {
    const { log, options } = context;
    if (campaign.votes.size < computeQuorum(log.getReplicas())) {
        return;
    }
    context.role.send("elected");
    context.campaign = undefined;
    context.failedCampaigns = 0;
    context.leader = options.self;
    context.isTransferringLeadership = false;
    context.progress.clear();
    const now = getMonotonicMs(context);
    log.getReplicas().voters.forEach(({ id }) => {
        context.lastHeardMs.set(id, context.lastHeardMs.get(id) ?? now);
    });
    // Entries of earlier terms are committed only together with one of the leader's own term (Raft, section 5.4.2).
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
