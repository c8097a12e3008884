/**
 * Safety checks for changes of the replica set: one voter at a time (Ongaro's thesis, section 4.1), and none before the
 * previous change is committed or before the leader has committed an entry of its own term.
 */
import type { ReplicaAddress, ReplicaSet } from "@crankfork/schemas";
import type { ReplicaContext } from "./replicaContext.js";

/** How far a learner may lag behind and still be promoted; one heartbeat can carry this many entries. */
const MAX_LEARNER_LAG_ENTRIES = 64;

/** Reason for refusing a change. */
export type ReplicaChangeRefusal =
    | "another-change-is-open"
    | "more-than-one-voter-differs"
    | "no-voter-left"
    | "not-caught-up"
    | "not-a-learner";

/**
 * Checks a change.
 * @param context - the leader
 * @param next - the new set
 * @returns why it is refused, or undefined if it is safe
 */
export function checkReplicaChange(context: ReplicaContext, next: ReplicaSet): ReplicaChangeRefusal | undefined {
    const current = context.log.getReplicas();
    if (context.log.getReplicas(context.commitIndex) !== current) {
        return "another-change-is-open";
    }
    if (next.voters.length === 0) {
        return "no-voter-left";
    }
    const added = subtractReplicas(next.voters, current.voters);
    const removed = subtractReplicas(current.voters, next.voters);
    if (added.length + removed.length > 1) {
        return "more-than-one-voter-differs";
    }
    return added[0] === undefined ? undefined : checkPromotion(context, current, added[0]);
}

function checkPromotion(
    context: ReplicaContext,
    current: ReplicaSet,
    added: ReplicaAddress,
): ReplicaChangeRefusal | undefined {
    if (!current.learners.some((learner) => learner.id === added.id)) {
        return "not-a-learner";
    }
    const matchIndex = context.progress.get(added.id)?.matchIndex ?? 0;
    return context.commitIndex - matchIndex > MAX_LEARNER_LAG_ENTRIES ? "not-caught-up" : undefined;
}

function subtractReplicas(
    from: readonly ReplicaAddress[],
    others: readonly ReplicaAddress[],
): readonly ReplicaAddress[] {
    return from.filter((replica) => !others.some((other) => other.id === replica.id));
}
