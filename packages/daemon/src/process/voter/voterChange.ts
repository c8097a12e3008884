/**
 * Adds and removes voters one at a time. A new voter first joins as a learner until it has caught up with the log.
 */
import type { Membership } from "@crankfork/coordination";
import {
    type ChangeVotersResult,
    describeReplicaResultSchema,
    type ReplicaAddress,
    type ReplicaSet,
    type VoterChange,
} from "@crankfork/schemas";
import type { PeerClient } from "../../connection/peerClient.js";
import type { ReplicaHost } from "../replicaHost.js";
import { waitMs } from "../waitMs.js";

/** Dependencies of {@link changeVoters}. */
export interface VoterChangeOptions {
    readonly host: ReplicaHost | undefined;
    readonly membership: Membership;
    readonly peers: PeerClient;
}

const REQUEST_TIMEOUT_MS = 2_000;
const CATCH_UP_POLL_INTERVAL_MS = 100;
const CATCH_UP_TIMEOUT_MS = 30_000;

/**
 * Changes the set of voters; only the leader can.
 * @param options - replica, members and peers
 * @param change - the voter to add or remove
 * @returns the new set, or why it did not change
 */
export async function changeVoters(options: VoterChangeOptions, change: VoterChange): Promise<ChangeVotersResult> {
    const { host } = options;
    const status = host?.replica.getStatus();
    if (host === undefined || status?.role !== "leader") {
        const leader = status?.leader;
        return leader === undefined ? { kind: "not-leader" } : { kind: "not-leader", leader };
    }
    return change.action === "add"
        ? await addVoter(options, host, change.name)
        : await removeVoter(host, change.name);
}

async function addVoter(options: VoterChangeOptions, host: ReplicaHost, instance: string): Promise<ChangeVotersResult> {
    const member = options.membership.getLiveMembers().find((one) => one.id === instance);
    if (member === undefined) {
        return { kind: "refused", reason: `no live instance ${instance} is known; see crankfork status` };
    }
    const raw = await options.peers.call(member.address, "describeReplica", {}, REQUEST_TIMEOUT_MS);
    const { replica, cluster } = describeReplicaResultSchema.parse(raw);
    if (replica === undefined) {
        return { kind: "refused", reason: `${instance} has no data folder in its settings` };
    }
    if (cluster !== undefined && cluster !== host.cluster) {
        return { kind: "refused", reason: `${instance} belongs to another cluster, ${cluster}` };
    }
    const { voters, learners } = host.replica.getStatus().replicas;
    if (voters.some((voter) => voter.id === replica.id)) {
        return { kind: "changed", replicas: { voters, learners } };
    }
    const withLearner = { voters, learners: [...learners.filter((one) => one.id !== replica.id), replica] };
    const added = await changeReplicaSet(host, withLearner);
    return added.kind === "changed" ? await promote(host, replica) : added;
}

/** Promotes a learner as soon as it has caught up with the leader's log. */
async function promote(host: ReplicaHost, replica: ReplicaAddress): Promise<ChangeVotersResult> {
    const deadline = performance.now() + CATCH_UP_TIMEOUT_MS;
    for (;;) {
        const { voters, learners } = host.replica.getStatus().replicas;
        const promoted = { voters: [...voters, replica], learners: learners.filter((one) => one.id !== replica.id) };
        const result = await changeReplicaSet(host, promoted);
        const mayRetry = result.kind === "refused"
            && (result.reason === "not-caught-up" || result.reason === "another-change-is-open");
        if (!mayRetry || performance.now() > deadline) {
            return result;
        }
        await waitMs(CATCH_UP_POLL_INTERVAL_MS);
    }
}

async function removeVoter(host: ReplicaHost, name: string): Promise<ChangeVotersResult> {
    const { voters, learners } = host.replica.getStatus().replicas;
    const isNamed = (one: ReplicaAddress): boolean => one.id === name || one.id.startsWith(`${name}.`);
    if (![...voters, ...learners].some(isNamed)) {
        return { kind: "refused", reason: `no replica ${name} is in the set; see crankfork voters` };
    }
    return await changeReplicaSet(host, {
        voters: voters.filter((one) => !isNamed(one)),
        learners: learners.filter((one) => !isNamed(one)),
    });
}

async function changeReplicaSet(host: ReplicaHost, replicas: ReplicaSet): Promise<ChangeVotersResult> {
    const result = await host.replica.changeReplicas(replicas);
    switch (result.kind) {
        case "applied":
            return { kind: "changed", replicas };
        case "refused":
            return { kind: "refused", reason: result.reason };
        case "not-leader":
            return result.leader === undefined ? { kind: "not-leader" } : { kind: "not-leader", leader: result.leader };
        case "unknown":
            return { kind: "refused", reason: "leadership was lost before the change was known; see crankfork voters" };
    }
}
