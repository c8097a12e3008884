/**
 * One replica of the log. It exists as long as the process; its persistent state is in its storage.
 */
import type { ReplicaAddress, ReplicaMessage, ReplicaSet } from "@crankfork/schemas";
import { ReplicaLog } from "../version/replicaLog.js";
import { applyCommits } from "./commit.js";
import {
    handlePreVote,
    handlePreVoteAnswer,
    handleTakeOver,
    handleVote,
    handleVoteAnswer,
    resetRetryTimeout,
    startElectionIfDue,
    stepDown,
} from "./election.js";
import { GroupCommitQueue } from "./groupCommitQueue.js";
import { noLateness } from "./lateness.js";
import {
    getLeaseRemainingMs,
    getQuorumContactMs,
    hasCommittedInTerm,
    hasLease,
    stepDownIfQuorumLost,
} from "./lease.js";
import type { LogStorage } from "./logStorage.js";
import { isPossibleMessage } from "./messageCheck.js";
import { checkReplicaChange, type ReplicaChangeRefusal } from "./replicaChange.js";
import {
    getMonotonicMs,
    isVoter,
    type ProposalResult,
    type ReplicaContext,
    type ReplicaOptions,
} from "./replicaContext.js";
import {
    appendAsLeader,
    getLastHeardMs,
    getProgress,
    handleAppend,
    handleAppendAnswer,
    handleSnapshot,
    sendAppendToAll,
    sendNewEntries,
} from "./replication.js";
import { type Role, startRoleMachine } from "./roleMachine.js";

/** Timer ticks per heartbeat interval. */
const TICKS_PER_HEARTBEAT = 2;
/** Heartbeat intervals in which a replica that is not silent answers a new leader. */
const HEARTBEATS_TO_ANSWER = 1;

/** Status of a replica. */
export interface ReplicaStatus {
    readonly role: Role;
    readonly term: number;
    readonly leader: ReplicaAddress | undefined;
    readonly commitIndex: number;
    readonly lastIndex: number;
    readonly replicas: ReplicaSet;
    /** Remaining duration of the leader lease, in milliseconds; 0 or less without one. */
    readonly leaseRemainingMs: number;
}

/** Result of a change of the replica set. */
export type ReplicaChangeResult = ProposalResult | { readonly kind: "refused"; readonly reason: ReplicaChangeRefusal; };

/**
 * Bootstraps a cluster with a single voter.
 * @param storage - empty storage of that replica
 * @param self - the replica
 * @throws Error if the storage already holds a log
 */
export async function bootstrapSingleVoter(storage: LogStorage, self: ReplicaAddress): Promise<void> {
    if (!await bootstrapLog(storage, [self])) {
        throw new Error(`replica ${self.id} already holds a log; cannot bootstrap a cluster`);
    }
}

/**
 * Writes the first entry of a log that several replicas bootstrap together. Each of them writes the same entry.
 * @param storage - storage of one of them
 * @param voters - all of them, in the same order on each replica
 * @returns false if the storage already holds a log; nothing is written then
 */
export async function bootstrapLog(storage: LogStorage, voters: readonly ReplicaAddress[]): Promise<boolean> {
    const stored = await storage.read();
    if (stored.snapshot !== undefined || stored.entries.length > 0 || stored.hardState.term > 0) {
        return false;
    }
    const replicas: ReplicaSet = { voters: [...voters], learners: [] };
    await storage.write([{
        kind: "append",
        entries: [{ index: 1, term: 0, payload: { kind: "replicas", replicas } }],
    }]);
    return true;
}

/** A replica of the log. */
export class Replica {
    private electedMs = 0;
    private timer: NodeJS.Timeout | undefined;

    private constructor(private readonly context: ReplicaContext) {}

    /**
     * Restores the state from the storage and starts the replica.
     * @param options - identity, timing, storage and dependencies
     * @returns the running replica
     * @throws CorruptLogError if the storage lost acknowledged data
     */
    static async start(options: ReplicaOptions): Promise<Replica> {
        const stored = await options.storage.read();
        const context = createContext(options, () => replica);
        const replica: Replica = new Replica(context);
        context.term = stored.hardState.term;
        context.votedFor = stored.hardState.voted_for;
        if (stored.snapshot !== undefined) {
            context.log.compact(stored.snapshot);
            options.functions.restoreState(stored.snapshot.state, stored.snapshot.index);
            context.commitIndex = stored.snapshot.index;
            context.appliedIndex = stored.snapshot.index;
        }
        context.log.append(stored.entries);
        if (stored.recovery !== undefined) {
            options.functions.handleEvent({ kind: "snapshot-recovered", ...stored.recovery });
        }
        resetRetryTimeout(context);
        const tickMs = options.timing.heartbeatMs / TICKS_PER_HEARTBEAT;
        replica.timer = setInterval(() => {
            try {
                replica.tick();
            }
            catch (error) {
                replica.fail(error);
            }
        }, tickMs);
        return replica;
    }

    /** Stops at once: nothing more is sent or queued for the disk, and pending proposals end as `unknown`. */
    stop(): void {
        this.context.isStopped = true;
        clearInterval(this.timer);
        this.context.queue.close();
        stepDown(this.context);
    }

    /**
     * Stops after an exception: what it left half changed must not be acted on.
     * @param error - the cause
     */
    fail(error: unknown): void {
        try {
            this.context.options.functions.handleEvent({ kind: "fault", error });
        }
        finally {
            this.stop();
        }
    }

    /**
     * Waits for a write that was in progress when the replica was stopped.
     * @returns resolves once the files are no longer written
     */
    waitForPendingWrites(): Promise<void> {
        return this.context.queue.waitForPendingWrites();
    }

    /**
     * Handles a message from another replica. One that no replica can have sent is ignored.
     * @param from - the sender
     * @param message - the message
     */
    receive(from: ReplicaAddress, message: ReplicaMessage): void {
        if (this.context.isStopped) {
            return;
        }
        if (!isPossibleMessage(this.context, message)) {
            const { kind, term } = message;
            this.context.options.functions.handleEvent({ kind: "message-ignored", from: from.id, message: kind, term });
            return;
        }
        switch (message.kind) {
            case "pre-vote":
                handlePreVote(this.context, from, message);
                return;
            case "pre-vote-answer":
                handlePreVoteAnswer(this.context, from.id, message);
                return;
            case "vote":
                handleVote(this.context, from, message);
                return;
            case "vote-answer":
                handleVoteAnswer(this.context, from.id, message);
                return;
            case "append":
                handleAppend(this.context, from, message);
                return;
            case "append-answer":
                handleAppendAnswer(this.context, from, message);
                return;
            case "snapshot":
                handleSnapshot(this.context, from, message);
                return;
            case "take-over":
                handleTakeOver(this.context, message);
                return;
        }
    }

    /**
     * Proposes a command.
     * @param command - plain data
     * @returns the result of applying it, or that this replica is not the leader, or that the outcome is unknown
     */
    propose(command: unknown): Promise<ProposalResult> {
        if (!this.canPropose()) {
            return Promise.resolve({ kind: "not-leader", leader: this.getOtherLeader() });
        }
        return this.appendProposal({ kind: "command", command });
    }

    /**
     * Proposes a new replica set; at most one voter may differ from the current one.
     * @param replicas - the new set
     * @returns the result of the proposal
     */
    changeReplicas(replicas: ReplicaSet): Promise<ReplicaChangeResult> {
        if (!this.canPropose()) {
            return Promise.resolve({ kind: "not-leader", leader: this.getOtherLeader() });
        }
        const reason = checkReplicaChange(this.context, replicas);
        if (reason !== undefined) {
            return Promise.resolve({ kind: "refused", reason });
        }
        return this.appendProposal({ kind: "replicas", replicas });
    }

    /**
     * Returns whether this replica holds the leader lease, so that reads of its state are linearizable at this moment.
     * @returns true for a leader within its lease that has committed an entry of its own term
     */
    hasLeaderLease(): boolean {
        return hasLease(this.context);
    }

    /**
     * Transfers leadership to the most up-to-date other voter; does nothing unless this replica leads.
     * @param isEligible - whether a voter may become the leader
     * @returns the voter that was asked, or undefined if there is none
     */
    transferLeadership(isEligible: (id: string) => boolean = () => true): ReplicaAddress | undefined {
        const { context } = this;
        const { self } = context.options;
        if (context.role.get() !== "leader") {
            return undefined;
        }
        const others = context.log.getReplicas().voters.filter((voter) => voter.id !== self.id && isEligible(voter.id));
        const getMatchIndex = (id: string): number => getProgress(context, id).matchIndex;
        const target = others.sort((left, right) => getMatchIndex(right.id) - getMatchIndex(left.id))[0];
        if (target === undefined) {
            return undefined;
        }
        context.isTransferringLeadership = true;
        sendAppendToAll(context);
        context.options.functions.send(target, { kind: "take-over", term: context.term });
        return target;
    }

    /**
     * Gets the status of the replica.
     * @returns role, term, positions and replica set
     */
    getStatus(): ReplicaStatus {
        const { context } = this;
        return {
            role: context.role.get(),
            term: context.term,
            leader: context.leader,
            commitIndex: context.commitIndex,
            lastIndex: context.log.last.index,
            replicas: context.log.getReplicas(),
            leaseRemainingMs: getLeaseRemainingMs(context),
        };
    }

    /**
     * Gets the time since a follower had applied all that its leader had committed, or since a leader was in contact with its quorum.
     * @returns milliseconds; infinite before the first contact
     */
    getStalenessMs(): number {
        const { context } = this;
        const currentMs = context.role.get() === "leader" ? getQuorumContactMs(context) : context.lastCaughtUpMs;
        return getMonotonicMs(context) - currentMs;
    }

    /**
     * Gets how long another replica has not answered this leader and those before it.
     * @param id - the replica
     * @returns milliseconds, counted from this leader's election until a sound replica must have answered it; 0 unless this
     * replica leads
     */
    getMsSinceLastContact(id: string): number {
        const { context } = this;
        if (context.role.get() !== "leader") {
            return 0;
        }
        const now = getMonotonicMs(context);
        const sinceElectionMs = now - this.electedMs;
        const silenceMs = now - getLastHeardMs(context, id, this.electedMs);
        const answerMs = context.options.timing.heartbeatMs * HEARTBEATS_TO_ANSWER;
        return sinceElectionMs < answerMs ? Math.min(silenceMs, sinceElectionMs) : silenceMs;
    }

    /**
     * Gets how long this replica has led.
     * @returns milliseconds; 0 unless it leads
     */
    getMsSinceElection(): number {
        return this.context.role.get() === "leader" ? getMonotonicMs(this.context) - this.electedMs : 0;
    }

    /**
     * Handles a change of the role. A new leader steps down unless a quorum answers within the minimum election timeout
     * of its election.
     * @param role - the new role
     */
    handleRole(role: Role): void {
        if (role === "leader") {
            this.electedMs = getMonotonicMs(this.context);
        }
        this.context.options.functions.handleEvent({ kind: "role", role, term: this.context.term });
    }

    private canPropose(): boolean {
        const { context } = this;
        return context.role.get() === "leader" && !context.isTransferringLeadership && hasCommittedInTerm(context);
    }

    private getOtherLeader(): ReplicaAddress | undefined {
        const { leader, options } = this.context;
        return leader?.id === options.self.id ? undefined : leader;
    }

    private appendProposal(payload: Parameters<typeof appendAsLeader>[1]): Promise<ProposalResult> {
        return new Promise((settle) => {
            const index = appendAsLeader(this.context, payload);
            this.context.proposals.set(index, { term: this.context.term, settle });
            sendNewEntries(this.context);
        });
    }

    private tick(): void {
        const { context } = this;
        if (context.role.get() !== "leader") {
            startElectionIfDue(context);
            return;
        }
        if (isVoter(context.log.getReplicas(), context.options.self.id)) {
            stepDownIfQuorumLost(context, this.electedMs);
        }
        const isDue = getMonotonicMs(context) - context.lastBroadcastMs >= context.options.timing.heartbeatMs;
        if (context.role.get() === "leader" && isDue) {
            applyCommits(context);
            sendAppendToAll(context);
        }
    }
}

function createContext(options: ReplicaOptions, getReplica: () => Replica): ReplicaContext {
    const { functions } = options;
    const now = getMonotonicMs({ options });
    return {
        options,
        log: new ReplicaLog(),
        queue: new GroupCommitQueue({
            storage: options.storage,
            handleFault: (error) => {
                getReplica().fail(error);
            },
        }),
        role: startRoleMachine((role) => {
            getReplica().handleRole(role);
        }),
        term: 0,
        votedFor: undefined,
        leader: undefined,
        incarnationId: String(functions.random()),
        startedMs: now,
        // The replica cannot know whether it had answered a leader just before it restarted.
        hasHeardLeader: false,
        lastLeaderContactMs: now,
        lastCaughtUpMs: Number.NEGATIVE_INFINITY,
        electionTimerStartedMs: now,
        electionTimeoutMs: options.timing.minElectionTimeoutMs,
        commitIndex: 0,
        appliedIndex: 0,
        grants: new Set(),
        campaign: undefined,
        failedCampaigns: 0,
        lateness: noLateness,
        lateAnswersMs: [],
        roundStartedMs: now,
        restartReports: new Map(),
        progress: new Map(),
        lastHeardMs: new Map(),
        proposals: new Map(),
        isTransferringLeadership: false,
        lastBroadcastMs: 0,
        isStopped: false,
    };
}
