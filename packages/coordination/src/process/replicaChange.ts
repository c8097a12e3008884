/**
 * Which changes of the replica set are safe: one voter at a time (Ongaro's thesis, section 4.1), and none before the
 * last is committed or before the leader has committed in its own term.
 */
import type { ReplicaAddress, ReplicaSet } from "@crankfork/schemas";
import type { ReplicaContext } from "./replicaContext.js";

/** Entries that a learner may lack and still be promoted; one round of heartbeats brings them. */
const MOST_MISSING_ENTRIES = 64;

/** Why a change is refused. */
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
 * @returns why it is refused, or undefined where it is safe
 */
export function checkReplicaChange(context: ReplicaContext, next: ReplicaSet): ReplicaChangeRefusal | undefined {
    const present = context.log.getReplicas();
    if (context.log.getReplicas(context.commitIndex) !== present) {
        return "another-change-is-open";
    }
    if (next.voters.length === 0) {
        return "no-voter-left";
    }
    const added = getMissing(next.voters, present.voters);
    const removed = getMissing(present.voters, next.voters);
    if (added.length + removed.length > 1) {
        return "more-than-one-voter-differs";
    }
    return added[0] === undefined ? undefined : checkPromotion(context, present, added[0]);
}

function checkPromotion(
    context: ReplicaContext,
    present: ReplicaSet,
    added: ReplicaAddress,
): ReplicaChangeRefusal | undefined {
    if (!present.learners.some((learner) => learner.id === added.id)) {
        return "not-a-learner";
    }
    const matchIndex = context.progress.get(added.id)?.matchIndex ?? 0;
    return context.commitIndex - matchIndex > MOST_MISSING_ENTRIES ? "not-caught-up" : undefined;
}

function getMissing(from: readonly ReplicaAddress[], others: readonly ReplicaAddress[]): readonly ReplicaAddress[] {
    return from.filter((one) => !others.some((other) => other.id === one.id));
}
