/**
 * State and helper functions shared by the parts of a replica.
 */
import type {
    LogEntry,
    ReplicaAddress,
    ReplicaMessage,
    ReplicaMessageOf,
    ReplicaSet,
    Snapshot,
} from "@crankfork/schemas";
import type { ReplicaLog } from "../version/replicaLog.js";
import type { GroupCommitQueue } from "./groupCommitQueue.js";
import type { Lateness } from "./lateness.js";
import type { LogStorage, SnapshotRecovery } from "./logStorage.js";
import type { Role, RoleService } from "./roleMachine.js";

/** Timing of a replica, in milliseconds. */
export interface ReplicaTiming {
    /** Interval between two heartbeats of the leader. */
    readonly heartbeatMs: number;
    /** Minimum time without a leader before an election; the random timeout is at most twice as long. */
    readonly minElectionTimeoutMs: number;
}

/** An event of a replica, for logs and timelines. */
export type ReplicaEvent =
    | { readonly kind: "role"; readonly role: Role; readonly term: number; }
    | { readonly kind: "replicas"; readonly replicas: ReplicaSet; }
    | { readonly kind: "snapshot"; readonly index: number; }
    /** A snapshot that a crash had interrupted was completed at the start. */
    | ({ readonly kind: "snapshot-recovered"; } & SnapshotRecovery)
    /** A replica no longer has entries that it had acknowledged. */
    | {
        readonly kind: "acknowledged-entries-lost";
        readonly replica: string;
        readonly acknowledgedIndex: number;
        readonly lastIndex: number;
    }
    | ElectionTimeoutEvent
    /** Entries are sent to a replica again. */
    | { readonly kind: "resent"; readonly to: string; readonly entries: number; }
    /** A committed command is invalid and changed nothing. */
    | { readonly kind: "command-invalid"; readonly index: number; readonly command: string; readonly field: string; }
    /** The state machine failed on a committed command; replicas go on with the next one. */
    | { readonly kind: "command-failed"; readonly index: number; readonly error: unknown; }
    /** A leader's snapshot cannot be restored; this replica stays at its entry. */
    | { readonly kind: "snapshot-refused"; readonly index: number; readonly error: unknown; }
    /** A snapshot was restored without the records that cannot be parsed. */
    | { readonly kind: "snapshot-records-dropped"; readonly records: number; }
    /** A message was ignored: a term, an index or an echoed time in it cannot be true. */
    | {
        readonly kind: "message-ignored";
        readonly from: string;
        readonly message: ReplicaMessage["kind"];
        readonly term: number;
    }
    | { readonly kind: "fault"; readonly error: unknown; };

/** An election of this replica timed out. */
export interface ElectionTimeoutEvent {
    readonly kind: "election-timed-out";
    readonly phase: "pre-vote" | "vote";
    readonly term: number;
    /** Votes or pre-votes in favour, including its own. */
    readonly grants: number;
    readonly elapsedMs: number;
    /** Answers to earlier elections that arrived during this one. */
    readonly lateAnswers: number;
    /** Delay of the latest of them since its election began, in milliseconds; 0 without late answers. */
    readonly maxAnswerDelayMs: number;
}

/** Dependencies of a replica on the surrounding process. */
export interface ReplicaFunctions {
    /** Sends a message; it may be lost, delayed, duplicated or reordered. */
    readonly send: (to: ReplicaAddress, message: ReplicaMessage) => void;
    /** A number from 0 up to 1. */
    readonly random: () => number;
    /**
     * Applies a committed command to the state; its result is returned to the proposer. It must check the command before it changes
     * anything, so that a command that fails has no effect on any replica.
     */
    readonly applyCommand: (command: unknown, index: number) => unknown;
    /** The whole state as plain data. */
    readonly getState: () => unknown;
    /** Replaces the state with the state of a snapshot at a log index; if it throws, the state is as before. */
    readonly restoreState: (state: unknown, index: number) => void;
    readonly handleEvent: (event: ReplicaEvent) => void;
    /** Clock that accounts for suspended time. Defaults to the runtime's monotonic clock, which does not. */
    readonly clock?: ReplicaClock | undefined;
}

/** The clock of a replica. */
export interface ReplicaClock {
    readonly getNowMs: () => number;
    readonly getLastResumeMs: () => number;
}

/** Options of a replica. */
export interface ReplicaOptions {
    readonly self: ReplicaAddress;
    readonly timing: ReplicaTiming;
    readonly storage: LogStorage;
    /** Number of applied entries after which a snapshot replaces them. */
    readonly snapshotThreshold: number;
    readonly functions: ReplicaFunctions;
}

/** Replication progress of another replica, as tracked by the leader. */
export interface Progress {
    nextIndex: number;
    matchIndex: number;
    /** When `matchIndex` was last raised, by the leader's monotonic clock. */
    matchedMs: number;
    /** When the newest answered message was sent, by the leader's monotonic clock. */
    lastAckedSendMs: number;
    /** When the unanswered entries were last sent; undefined if there are none. */
    inFlightSinceMs: number | undefined;
    /** Last entry of the newest message that carried entries. */
    lastSentIndex: number;
    /** Highest entry ever sent; entries up to it count as resent. */
    highestSentIndex: number;
    /** How often the unanswered entries were resent. */
    resends: number;
}

/** Result of a proposal. */
export type ProposalResult =
    | { readonly kind: "applied"; readonly result: unknown; readonly index: number; }
    | { readonly kind: "not-leader"; readonly leader: ReplicaAddress | undefined; }
    /** Leadership was lost before the commit was known, or applying the entry failed: it may or may not be committed. */
    | { readonly kind: "unknown"; };

/** A proposal waiting for its commit. */
export interface PendingProposal {
    readonly term: number;
    readonly settle: (result: ProposalResult) => void;
}

/** A voter's report that it has heard no leader since its start. */
export type RestartReport = NonNullable<ReplicaMessageOf<"pre-vote-answer">["new_life"]>;

/** An election in which this replica seeks votes. */
export interface Campaign {
    readonly term: number;
    /** When it began, by the monotonic clock. */
    readonly startedMs: number;
    /** Ids of the voters that granted their vote. */
    readonly votes: Set<string>;
}

/** State of a replica, shared by its parts. */
export interface ReplicaContext {
    readonly options: ReplicaOptions;
    readonly log: ReplicaLog;
    readonly queue: GroupCommitQueue;
    readonly role: RoleService;
    term: number;
    votedFor: string | undefined;
    leader: ReplicaAddress | undefined;
    /** Identifies this incarnation: the time from this start of the replica to the next. */
    readonly incarnationId: string;
    /** When this incarnation began, by the monotonic clock. */
    readonly startedMs: number;
    /** Whether a leader was heard in this incarnation. */
    hasHeardLeader: boolean;
    /** When a leader was last heard, by the monotonic clock. */
    lastLeaderContactMs: number;
    /** When a follower last had all that the leader had committed, by the monotonic clock. */
    lastCaughtUpMs: number;
    /** When the election timer was last reset, by the monotonic clock. */
    electionTimerStartedMs: number;
    /** Timeout of the election timer. */
    electionTimeoutMs: number;
    commitIndex: number;
    appliedIndex: number;
    /** Ids of the voters that granted the current pre-vote. */
    grants: Set<string>;
    /** The last election for a vote; undefined once this replica was elected, stepped down, or restarted. */
    campaign: Campaign | undefined;
    /** Elections for a vote that timed out since a leader was last heard. */
    failedCampaigns: number;
    /** How late messages of other replicas were recently. */
    lateness: Lateness;
    /** Delays of answers to earlier elections, since the current one began, in milliseconds. */
    lateAnswersMs: number[];
    /** When the current pre-vote round began, by the monotonic clock; also identifies the round. */
    roundStartedMs: number;
    /** Reports of voters, in the current pre-vote round, that they have heard no leader since their start. */
    restartReports: Map<string, RestartReport>;
    progress: Map<string, Progress>;
    /** When other voters were last heard, by this replica or an earlier leader, by the local monotonic clock. */
    lastHeardMs: Map<string, number>;
    proposals: Map<number, PendingProposal>;
    /** Set during a leadership transfer: the leader holds no lease and accepts no proposals. */
    isTransferringLeadership: boolean;
    /** When the leader last sent to all, by the monotonic clock. */
    lastBroadcastMs: number;
    isStopped: boolean;
}

/**
 * Reads the monotonic clock.
 * @param context - the replica
 * @returns milliseconds; never goes back
 */
export function getMonotonicMs({ options }: Pick<ReplicaContext, "options">): number {
    return options.functions.clock?.getNowMs() ?? performance.now();
}

/**
 * Gets when the machine last resumed. Durations measured from an earlier time are not reliable.
 * @param context - the replica
 * @returns milliseconds by the monotonic clock; minus infinity if it was never suspended
 */
export function getLastResumeMs({ options }: Pick<ReplicaContext, "options">): number {
    return options.functions.clock?.getLastResumeMs() ?? Number.NEGATIVE_INFINITY;
}

/**
 * Returns whether a replica is a voter.
 * @param replicas - the replica set
 * @param id - the replica
 * @returns true for a voter
 */
export function isVoter(replicas: ReplicaSet, id: string): boolean {
    return replicas.voters.some((voter) => voter.id === id);
}

/**
 * Gets all replicas but one.
 * @param replicas - the replica set
 * @param id - the replica to leave out
 * @returns voters, then learners
 */
export function getOtherReplicas(replicas: ReplicaSet, id: string): readonly ReplicaAddress[] {
    return [...replicas.voters, ...replicas.learners].filter((replica) => replica.id !== id);
}

/**
 * Computes how many voters make a quorum.
 * @param replicas - the replica set
 * @returns more than half of the voters
 */
export function computeQuorum(replicas: ReplicaSet): number {
    return Math.floor(replicas.voters.length / 2) + 1;
}

/**
 * Returns whether a candidate's log is at least as up-to-date as the local log (Raft, section 5.4.1).
 * @param context - the replica that is asked for its vote
 * @param position - last entry of the candidate's log
 * @returns true if it is
 */
export function isUpToDate(
    context: ReplicaContext,
    position: { readonly last_index: number; readonly last_term: number; },
): boolean {
    const { last } = context.log;
    return position.last_term > last.term
        || (position.last_term === last.term && position.last_index >= last.index);
}

/**
 * Queues the term and the vote to be written to disk.
 * @param context - the replica
 */
export function writeHardState(context: ReplicaContext): void {
    const voted_for = context.votedFor;
    const state = voted_for === undefined ? { term: context.term } : { term: context.term, voted_for };
    context.queue.write([{ kind: "hard-state", state }]);
}

/**
 * Appends entries to the log in memory and queues them to be written to disk.
 * @param context - the replica
 * @param entries - the entries
 */
export function appendEntries(context: ReplicaContext, entries: readonly LogEntry[]): void {
    context.log.append(entries);
    context.queue.write([{ kind: "append", entries: [...entries] }]);
    for (const { payload } of entries) {
        if (payload.kind === "replicas") {
            context.options.functions.handleEvent({ kind: "replicas", replicas: payload.replicas });
        }
    }
}

/**
 * Replaces the entries up to a snapshot with it in memory, and queues the snapshot to be written to disk.
 * @param context - the replica
 * @param snapshot - the snapshot
 */
export function applyCompaction(context: ReplicaContext, snapshot: Snapshot): void {
    context.log.compact(snapshot);
    const { term, votedFor } = context;
    const tail = [...context.log.getFrom(snapshot.index + 1)];
    const hardState = votedFor === undefined ? { term } : { term, voted_for: votedFor };
    context.queue.enqueueWrite(() => context.options.storage.writeSnapshot(snapshot, hardState, tail));
    context.options.functions.handleEvent({ kind: "snapshot", index: snapshot.index });
}
