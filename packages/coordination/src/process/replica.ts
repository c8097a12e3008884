/**
 * One replica of the log. It lives as long as the process; what it must remember is in its storage.
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
import { DurableQueue } from "./groupCommitQueue.js";
import { getLeaseLeftMs, hasCommittedInTerm, hasLease, stepDownWithoutQuorum } from "./lease.js";
import type { LogStorage } from "./logStorage.js";
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
    getProgress,
    handleAppend,
    handleAppendAnswer,
    handleSnapshot,
    sendAppendToAll,
    sendNewEntries,
} from "./replication.js";
import { type Role, startRoleMachine } from "./roleMachine.js";

/** Ticks in one heartbeat. */
const TICKS_A_HEARTBEAT = 2;

/** What a replica says of itself. */
export interface ReplicaStatus {
    readonly role: Role;
    readonly term: number;
    readonly leader: ReplicaAddress | undefined;
    readonly commitIndex: number;
    readonly lastIndex: number;
    readonly replicas: ReplicaSet;
    /** How long the lease lasts, in milliseconds; 0 or less without one. */
    readonly leaseRemainingMs: number;
}

/** How a change of the replica set ended. */
export type ReplicaChangeResult = ProposalResult | { readonly kind: "refused"; readonly reason: ReplicaChangeRefusal; };

/**
 * Founds a cluster whose only voter is one replica. The only way to get a first voter.
 * @param storage - empty storage of that replica
 * @param self - the replica
 * @throws Error where the storage holds a log already
 */
export async function bootstrapSingleVoter(storage: LogStorage, self: ReplicaAddress): Promise<void> {
    if (!await bootstrapLog(storage, [self])) {
        throw new Error(`the replica ${self.id} holds a log already; it can't found a cluster`);
    }
}

/**
 * Writes the beginning of a log that several replicas found together. Each of them writes the same.
 * @param storage - storage of one of them
 * @param voters - all of them, in the same order everywhere
 * @returns false where the storage holds a log already; nothing is written then
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
     * Reads what the storage holds and starts to take part.
     * @param options - who it is, its times, its storage, and the process around it
     * @returns the running replica
     * @throws CorruptLogError where the storage lost something that was acknowledged
     */
    static async start(options: ReplicaOptions): Promise<Replica> {
        const stored = await options.storage.read();
        const context = createContext(options, () => replica);
        const replica: Replica = new Replica(context);
        context.term = stored.hardState.term;
        context.votedFor = stored.hardState.voted_for;
        if (stored.snapshot !== undefined) {
            context.log.compact(stored.snapshot);
            options.functions.restoreState(stored.snapshot.state);
            context.commitIndex = stored.snapshot.index;
            context.appliedIndex = stored.snapshot.index;
        }
        context.log.append(stored.entries);
        resetRetryTimeout(context);
        const tickMs = options.timing.heartbeatMs / TICKS_A_HEARTBEAT;
        replica.timer = setInterval(() => {
            replica.tick();
        }, tickMs);
        return replica;
    }

    /** Stops at once: nothing is sent or written any more, and proposals end as unknown. */
    stop(): void {
        this.context.isStopped = true;
        clearInterval(this.timer);
        this.context.queue.close();
        stepDown(this.context);
    }

    /**
     * Waits for the write that a stop came in the middle of.
     * @returns resolves once the files are left alone
     */
    waitForPendingWrites(): Promise<void> {
        return this.context.queue.awaitWritten();
    }

    /**
     * Takes a message from another replica.
     * @param from - the sender
     * @param message - the message
     */
    receive(from: ReplicaAddress, message: ReplicaMessage): void {
        if (this.context.isStopped) {
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
     * @returns what applying it gave; or that this is not the leader; or that the end can't be known
     */
    propose(command: unknown): Promise<ProposalResult> {
        if (!this.canPropose()) {
            return Promise.resolve({ kind: "not-leader", leader: this.getOtherLeader() });
        }
        return this.appendProposal({ kind: "command", command });
    }

    /**
     * Proposes another replica set; at most one voter may differ.
     * @param replicas - the new set
     * @returns how the proposal ended
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
     * Tells whether this replica's state is the newest there is, at this moment.
     * @returns true for a leader inside its lease that has applied all it committed
     */
    hasLeaderLease(): boolean {
        return hasLease(this.context);
    }

    /**
     * Hands leadership to the voter whose log is longest; does nothing on a follower.
     * @returns the voter that was asked, or undefined where there is none
     */
    transferLeadership(): ReplicaAddress | undefined {
        const { context } = this;
        const { self } = context.options;
        if (context.role.get() !== "leader") {
            return undefined;
        }
        const others = context.log.getReplicas().voters.filter((voter) => voter.id !== self.id);
        const byMatch = (id: string): number => getProgress(context, id).matchIndex;
        const target = others.sort((left, right) => byMatch(right.id) - byMatch(left.id))[0];
        if (target === undefined) {
            return undefined;
        }
        context.isHandingOver = true;
        sendAppendToAll(context);
        context.options.functions.send(target, { kind: "take-over", term: context.term });
        return target;
    }

    /**
     * Gets what the replica says of itself.
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
            leaseRemainingMs: getLeaseLeftMs(context),
        };
    }

    /**
     * Tells how long another replica has said nothing to this leader.
     * @param id - the replica
     * @returns milliseconds, counted from the election at the earliest; 0 on a follower
     */
    getMsSinceLastContact(id: string): number {
        const { context } = this;
        if (context.role.get() !== "leader") {
            return 0;
        }
        return getMonotonicMs(context) - Math.max(getProgress(context, id).heardMs, this.electedMs);
    }

    /**
     * Marks the moment of election, from which a quorum has one election time to answer.
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
        return context.role.get() === "leader" && !context.isHandingOver && hasCommittedInTerm(context);
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
            stepDownWithoutQuorum(context, this.electedMs);
        }
        const isDue = getMonotonicMs(context) - context.broadcastMs >= context.options.timing.heartbeatMs;
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
        queue: new DurableQueue({
            storage: options.storage,
            handleFault: (error) => {
                functions.handleEvent({ kind: "fault", error });
                getReplica().stop();
            },
        }),
        role: startRoleMachine((role) => {
            getReplica().handleRole(role);
        }),
        term: 0,
        votedFor: undefined,
        leader: undefined,
        // A replica can't know whether it answered a leader just before it restarted.
        life: String(functions.random()),
        startedMs: now,
        hasHeardLeader: false,
        heardMs: now,
        electionTimerMs: now,
        electionTimeoutMs: options.timing.minElectionTimeoutMs,
        commitIndex: 0,
        appliedIndex: 0,
        grants: new Set(),
        roundMs: now,
        newLives: new Map(),
        progress: new Map(),
        proposals: new Map(),
        isHandingOver: false,
        broadcastMs: 0,
        isStopped: false,
    };
}
