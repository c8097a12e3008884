/**
 * What the parts of a replica share.
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
import type { DurableQueue } from "./groupCommitQueue.js";
import type { LogStorage } from "./logStorage.js";
import type { Role, RoleService } from "./roleMachine.js";

/** Times of a replica, in milliseconds. */
export interface ReplicaTiming {
    /** Between two messages of a leader. */
    readonly heartbeatMs: number;
    /** Least time without a leader before an election; at most twice as long is waited. */
    readonly minElectionTimeoutMs: number;
}

/** Something that a replica did, for logs and the time line. */
export type ReplicaEvent =
    | { readonly kind: "role"; readonly role: Role; readonly term: number; }
    | { readonly kind: "replicas"; readonly replicas: ReplicaSet; }
    | { readonly kind: "snapshot"; readonly index: number; }
    /** Entries that were sent to a replica before are sent to it once more. */
    | { readonly kind: "resent"; readonly to: string; readonly entries: number; }
    | { readonly kind: "fault"; readonly error: unknown; };

/** What a replica needs from the process around it. */
export interface ReplicaFunctions {
    /** Sends a message; it may be lost, late, doubled or reordered. */
    readonly send: (to: ReplicaAddress, message: ReplicaMessage) => void;
    /** A number from 0 up to 1. */
    readonly random: () => number;
    /** Applies a committed command to the state; what it returns answers the proposer. */
    readonly applyCommand: (command: unknown, index: number) => unknown;
    /** The whole state as plain data. */
    readonly getState: () => unknown;
    /** Puts a state from a snapshot in the place of the present one. */
    readonly restoreState: (state: unknown) => void;
    readonly handleEvent: (event: ReplicaEvent) => void;
    /** Notices time asleep; the runtime's monotonic clock, which does not, where left out. */
    readonly clock?: ReplicaClock | undefined;
}

/** The clock of a replica. */
export interface ReplicaClock {
    readonly getNowMs: () => number;
    readonly getLastResumeMs: () => number;
}

/** Everything that a replica is made with. */
export interface ReplicaOptions {
    readonly self: ReplicaAddress;
    readonly timing: ReplicaTiming;
    readonly storage: LogStorage;
    /** Entries after which a snapshot replaces them. */
    readonly snapshotThreshold: number;
    readonly functions: ReplicaFunctions;
}

/** What a leader knows of another replica. */
export interface Progress {
    nextIndex: number;
    matchIndex: number;
    /** When the newest answered message was sent, by the leader's monotonic clock. */
    heardMs: number;
    /** When entries were sent that are not answered yet; undefined where there are none. */
    sentMs: number | undefined;
    /** The last entry of the newest message that had any. */
    sentIndex: number;
    /** The last entry that was ever sent, by which those that are sent again are counted. */
    mostSentIndex: number;
    /** How often entries that are not answered yet were sent again. */
    resends: number;
}

/** How a proposal ended. */
export type ProposalResult =
    | { readonly kind: "applied"; readonly result: unknown; readonly index: number; }
    | { readonly kind: "not-leader"; readonly leader: ReplicaAddress | undefined; }
    /** Leadership was lost before the commit was known: it may or may not be in the log. */
    | { readonly kind: "unknown"; };

/** A proposal that waits for its commit. */
export interface PendingProposal {
    readonly term: number;
    readonly settle: (result: ProposalResult) => void;
}

/** What a voter told of a life that has heard no leader. */
export type NewLife = NonNullable<ReplicaMessageOf<"pre-vote-answer">["new_life"]>;

/** The state that the parts of a replica work on. */
export interface ReplicaContext {
    readonly options: ReplicaOptions;
    readonly log: ReplicaLog;
    readonly queue: DurableQueue;
    readonly role: RoleService;
    term: number;
    votedFor: string | undefined;
    leader: ReplicaAddress | undefined;
    /** Names the time from this start to the next. */
    readonly life: string;
    /** When this life began, by the monotonic clock. */
    readonly startedMs: number;
    /** Whether a leader was heard in this life. */
    hasHeardLeader: boolean;
    /** When a leader was last heard, by the monotonic clock. */
    heardMs: number;
    /** Since when a leader is waited for, by the monotonic clock. */
    electionTimerMs: number;
    /** How long to wait for a leader from then. */
    electionTimeoutMs: number;
    commitIndex: number;
    appliedIndex: number;
    /** Ids that granted the present vote or pre-vote. */
    grants: Set<string>;
    /** When the present round of pre-votes began, by the monotonic clock; names it. */
    roundMs: number;
    /** Voters that told in this round that they have heard no leader since their start. */
    newLives: Map<string, NewLife>;
    progress: Map<string, Progress>;
    proposals: Map<number, PendingProposal>;
    /** Set while leadership is being handed over: no lease, no proposals. */
    isHandingOver: boolean;
    /** When the leader last sent to all, by the monotonic clock. */
    broadcastMs: number;
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
 * Tells when the machine last woke. A time that was taken before says nothing of how long ago it was.
 * @param context - the replica
 * @returns milliseconds by the monotonic clock; minus infinity where it never slept
 */
export function getWokeMs({ options }: Pick<ReplicaContext, "options">): number {
    return options.functions.clock?.getLastResumeMs() ?? Number.NEGATIVE_INFINITY;
}

/**
 * Tells whether a replica may vote.
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
 * @param id - the one left out
 * @returns voters, then learners
 */
export function getOthers(replicas: ReplicaSet, id: string): readonly ReplicaAddress[] {
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
 * Tells whether a candidate's log is as new as the one here (Raft, section 5.4.1).
 * @param context - the replica that is asked
 * @param position - where the candidate's log ends
 * @returns true where it is
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
 * Queues the term and vote for the disk.
 * @param context - the replica
 */
export function writeHardState(context: ReplicaContext): void {
    const voted_for = context.votedFor;
    const state = voted_for === undefined ? { term: context.term } : { term: context.term, voted_for };
    context.queue.write([{ kind: "hard-state", state }]);
}

/**
 * Appends entries in memory and queues them for the disk.
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
 * Puts a snapshot in the place of the entries up to it, in memory and queued for the disk.
 * @param context - the replica
 * @param snapshot - the snapshot
 */
export function applyCompaction(context: ReplicaContext, snapshot: Snapshot): void {
    context.log.compact(snapshot);
    const { term, votedFor } = context;
    const tail = [...context.log.getFrom(snapshot.index + 1)];
    const hardState = votedFor === undefined ? { term } : { term, voted_for: votedFor };
    context.queue.writeOther(() => context.options.storage.writeSnapshot(snapshot, hardState, tail));
    context.options.functions.handleEvent({ kind: "snapshot", index: snapshot.index });
}
