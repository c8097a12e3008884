/**
 * The leader's lease: a span in which no other leader can have been elected.
 *
 * A replica that answered a message refuses its vote for the least election time from when it came, which is not
 * before it was sent. The lease is counted from the sending, and is shorter than the election time by a margin for
 * clocks that run at different speeds (Gray and Cheriton, "Leases", 1989; Ongaro's thesis, section 6.4.1).
 */
import { stepDown } from "./election.js";
import { computeQuorum, getMonotonicMs, getWokeMs, type ReplicaContext } from "./replicaContext.js";
import { getProgress } from "./replication.js";

/** Part of the election time that a lease lasts. */
const LEASE_SHARE = 0.8;

/**
 * Tells whether the lease holds now. Ask again before each act that rests on it.
 * @param context - the replica
 * @returns true where no other leader can have been elected yet
 */
export function hasLease(context: ReplicaContext): boolean {
    return getLeaseLeftMs(context) > 0;
}

/**
 * Gets how long the lease lasts from now on.
 * @param context - the replica
 * @returns milliseconds; 0 or less where there is no lease
 */
export function getLeaseLeftMs(context: ReplicaContext): number {
    if (context.role.get() !== "leader" || context.isHandingOver || !hasCommittedInTerm(context)) {
        return 0;
    }
    const heardMs = getQuorumHeardMs(context);
    // A leader that slept may have been followed by another: 3 s asleep, it went on to call its state the newest.
    if (heardMs < getWokeMs(context)) {
        return 0;
    }
    return heardMs + context.options.timing.minElectionTimeoutMs * LEASE_SHARE - getMonotonicMs(context);
}

/**
 * Steps down where a quorum has not answered for an election time.
 * @param context - the leader
 * @param electedMs - when it was elected, by the monotonic clock
 */
export function stepDownWithoutQuorum(context: ReplicaContext, electedMs: number): void {
    const sinceMs = Math.max(getQuorumHeardMs(context), electedMs, getWokeMs(context));
    if (getMonotonicMs(context) - sinceMs > context.options.timing.minElectionTimeoutMs) {
        stepDown(context);
    }
}

/**
 * Tells whether the leader has committed an entry of its own term; until then it may lack the newest commit.
 * @param context - the leader
 * @returns true once its commit index is as high as any earlier leader's
 */
export function hasCommittedInTerm(context: ReplicaContext): boolean {
    return context.log.getTerm(context.commitIndex) === context.term;
}

function getQuorumHeardMs(context: ReplicaContext): number {
    const replicas = context.log.getReplicas();
    const heard = replicas.voters.map((voter) =>
        voter.id === context.options.self.id ? getMonotonicMs(context) : getProgress(context, voter.id).heardMs
    ).sort((left, right) => right - left);
    return heard[computeQuorum(replicas) - 1] ?? Number.NEGATIVE_INFINITY;
}
