/**
 * Leader lease: a period in which no other leader can have been elected.
 *
 * A replica that answered a message of the leader refuses its vote for the minimum election timeout from the time it
 * received that message, which is not before the message was sent. The lease is counted from the time of sending, and
 * is shorter than the election timeout by a margin for clock drift (Gray and Cheriton, "Leases", 1989; Ongaro's thesis,
 * section 6.4.1).
 */
import { stepDown } from "./election.js";
import { getLatenessMs } from "./lateness.js";
import { computeQuorum, getLastResumeMs, getMonotonicMs, type ReplicaContext } from "./replicaContext.js";
import { getProgress } from "./replication.js";

/** Duration of the lease as a fraction of the minimum election timeout. */
const LEASE_FRACTION = 0.8;

/**
 * Returns whether the lease is held now. Must be checked again before each operation that relies on it.
 * @param context - the replica
 * @returns true if no other leader can have been elected yet
 */
export function hasLease(context: ReplicaContext): boolean {
    return getLeaseRemainingMs(context) > 0;
}

/**
 * Gets the remaining duration of the lease.
 * @param context - the replica
 * @returns milliseconds; 0 or less without a lease
 */
export function getLeaseRemainingMs(context: ReplicaContext): number {
    if (context.role.get() !== "leader" || context.isTransferringLeadership || !hasCommittedInTerm(context)) {
        return 0;
    }
    const quorumContactMs = getQuorumContactMs(context);
    // Another leader may have been elected while this machine was suspended. Without this check, a leader that had been
    // suspended for 3 s still reported a valid lease.
    if (quorumContactMs < getLastResumeMs(context)) {
        return 0;
    }
    return quorumContactMs + context.options.timing.minElectionTimeoutMs * LEASE_FRACTION - getMonotonicMs(context);
}

/**
 * Steps down if a quorum has not answered for the minimum election timeout, longer where answers are late. The lease ends before.
 * @param context - the leader
 * @param electedMs - when it was elected, by the monotonic clock
 */
export function stepDownIfQuorumLost(context: ReplicaContext, electedMs: number): void {
    const sinceMs = Math.max(getQuorumContactMs(context), electedMs, getLastResumeMs(context));
    if (getMonotonicMs(context) - sinceMs > context.options.timing.minElectionTimeoutMs + getLatenessMs(context)) {
        stepDown(context);
    }
}

/**
 * Returns whether the leader has committed an entry of its own term; until then its commit index may be out of date.
 * @param context - the leader
 * @returns true once its commit index is at least that of any earlier leader
 */
export function hasCommittedInTerm(context: ReplicaContext): boolean {
    return context.log.getTerm(context.commitIndex) === context.term;
}

/**
 * Gets when a quorum was last in contact.
 * @param context - the leader
 * @returns send time of the newest message that a quorum has answered, by the monotonic clock; minus infinity if there is none
 */
export function getQuorumContactMs(context: ReplicaContext): number {
    const replicas = context.log.getReplicas();
    const heard = replicas.voters.map((voter) =>
        voter.id === context.options.self.id ? getMonotonicMs(context) : getProgress(context, voter.id).lastAckedSendMs
    ).sort((left, right) => right - left);
    return heard[computeQuorum(replicas) - 1] ?? Number.NEGATIVE_INFINITY;
}
