/**
 * Chooses membership changes, so that there are enough voters for the number of tolerated losses.
 */
import type { ReplicaAddress, ReplicaSet } from "@crankfork/schemas";

/** The replicas as the leader sees them. */
export interface VoterView {
    readonly replicas: ReplicaSet;
    readonly selfId: string;
    /** Replicas outside the set that have asked to join recently. */
    readonly joining: readonly ReplicaAddress[];
    /** Time since the last message of a replica, in milliseconds. */
    readonly getSilenceMs: (id: string) => number;
    /** Whether a replica has announced that its process is about to end. */
    readonly isLeaving: (id: string) => boolean;
    /** Simultaneous losses to tolerate. */
    readonly toleratedLosses: number;
}

/** A voter that has been silent this long is replaced by a waiting learner; well above the duration of an election. */
const VOTER_TIMEOUT_MS = 3_000;
/** A learner that has been silent this long is removed. */
const LEARNER_TIMEOUT_MS = 10_000;

/**
 * Chooses the next change; at most one voter differs from the present set.
 * @param view - the replicas as the leader sees them
 * @returns the next set, or undefined where nothing has to change
 */
export function chooseVoterChange(view: VoterView): ReplicaSet | undefined {
    const { voters, learners } = view.replicas;
    const replaced = voters.find((voter) => view.joining.some((one) => one.address === voter.address));
    if (replaced !== undefined && replaced.id !== view.selfId) {
        // Another replica at its address means that the voter's disk, and its vote with it, is lost.
        return { voters: voters.filter((voter) => voter !== replaced), learners };
    }
    const deadLearner = learners.find((one) => isDeadLearner(view, one));
    if (deadLearner !== undefined) {
        return { voters, learners: learners.filter((one) => one !== deadLearner) };
    }
    const joiner = view.joining[0];
    if (joiner !== undefined) {
        return { voters, learners: [...learners, joiner] };
    }
    return promoteLearner(view);
}

/**
 * Computes how many voters tolerate a number of losses.
 * @param toleratedLosses - simultaneous losses
 * @returns voters of which a majority remains
 */
export function computeVoterTarget(toleratedLosses: number): number {
    return 2 * toleratedLosses + 1;
}

function isDeadLearner(view: VoterView, learner: ReplicaAddress): boolean {
    const isReplaced = view.joining.some((one) => one.address === learner.address && one.id !== learner.id);
    return isReplaced || view.getSilenceMs(learner.id) > LEARNER_TIMEOUT_MS;
}

function promoteLearner(view: VoterView): ReplicaSet | undefined {
    const { voters, learners } = view.replicas;
    const others = voters.filter((one) => one.id !== view.selfId);
    const leaving = others.find((one) => view.isLeaving(one.id));
    const silent = others.find((one) => view.getSilenceMs(one.id) > VOTER_TIMEOUT_MS);
    const surplus = voters.length - computeVoterTarget(view.toleratedLosses);
    const learner = learners.find((one) => view.getSilenceMs(one.id) < VOTER_TIMEOUT_MS && !view.isLeaving(one.id));
    if (surplus > 0) {
        return removeVoter(view.replicas, silent ?? leaving);
    }
    if (learner === undefined) {
        return undefined;
    }
    // A leaving voter still votes, so its successor comes first: with it there are never too few for the losses.
    if (surplus < 0 || leaving !== undefined) {
        return { voters: [...voters, learner], learners: learners.filter((one) => one !== learner) };
    }
    return removeVoter(view.replicas, silent);
}

function removeVoter({ voters, learners }: ReplicaSet, removed: ReplicaAddress | undefined): ReplicaSet | undefined {
    return removed === undefined ? undefined : { voters: voters.filter((one) => one !== removed), learners };
}
