/**
 * Which change of the voters comes next, so that as many vote as the losses to be borne ask for.
 */
import type { ReplicaAddress, ReplicaSet } from "@crankfork/schemas";

/** What the leader sees of the replicas. */
export interface VoterView {
    readonly replicas: ReplicaSet;
    readonly selfId: string;
    /** Replicas that asked to take part lately and are not in the set. */
    readonly joining: readonly ReplicaAddress[];
    /** How long a replica has said nothing, in milliseconds. */
    readonly getSilenceMs: (id: string) => number;
    /** Losses to be borne at once. */
    readonly toleratedLosses: number;
}

/** A voter that was silent for so long gives its place to one that waits for it; well above an election. */
const SILENT_VOTER_MS = 3_000;
/** A learner that was silent for so long is dropped. */
const SILENT_LEARNER_MS = 10_000;

/**
 * Chooses the next change; at most one voter differs from the present set.
 * @param view - the replicas as the leader sees them
 * @returns the next set, or undefined where nothing has to change
 */
export function chooseVoterChange(view: VoterView): ReplicaSet | undefined {
    const { voters, learners } = view.replicas;
    const usurped = voters.find((voter) => view.joining.some((one) => one.address === voter.address));
    if (usurped !== undefined && usurped.id !== view.selfId) {
        // Another replica at its address means that its disk is gone, and its vote with it.
        return { voters: voters.filter((voter) => voter !== usurped), learners };
    }
    const deadLearner = learners.find((one) => isDeadLearner(view, one));
    if (deadLearner !== undefined) {
        return { voters, learners: learners.filter((one) => one !== deadLearner) };
    }
    const newcomer = view.joining[0];
    if (newcomer !== undefined) {
        return { voters, learners: [...learners, newcomer] };
    }
    return promoteLearner(view);
}

/**
 * Computes how many voters bear a number of losses.
 * @param toleratedLosses - losses at once
 * @returns voters of which a majority remains
 */
export function computeVoterTarget(toleratedLosses: number): number {
    return 2 * toleratedLosses + 1;
}

function isDeadLearner(view: VoterView, learner: ReplicaAddress): boolean {
    const isReplaced = view.joining.some((one) => one.address === learner.address && one.id !== learner.id);
    return isReplaced || view.getSilenceMs(learner.id) > SILENT_LEARNER_MS;
}

function promoteLearner(view: VoterView): ReplicaSet | undefined {
    const { voters, learners } = view.replicas;
    const learner = learners.find((one) => view.getSilenceMs(one.id) < SILENT_VOTER_MS);
    if (learner === undefined) {
        return undefined;
    }
    if (voters.length < computeVoterTarget(view.toleratedLosses)) {
        return { voters: [...voters, learner], learners: learners.filter((one) => one !== learner) };
    }
    const silent = voters.find((one) => one.id !== view.selfId && view.getSilenceMs(one.id) > SILENT_VOTER_MS);
    return silent === undefined ? undefined : { voters: voters.filter((one) => one !== silent), learners };
}
