/**
 * How a voter changes the state of a fleet, and what it answers where it can't.
 */
import type { FleetState } from "@crankfork/coordination";
import type { FleetCommand, ReplicaAddress } from "@crankfork/schemas";
import type { ReplicaHost } from "../replicaHost.js";

/** The replica of a fleet's state. */
export type FleetReplicaHost = ReplicaHost<FleetState, FleetCommand>;

/** How a change, or a question, ended at this voter. */
export type VoterResult<Value> =
    | { readonly kind: "done"; readonly value: Value; }
    /** Another voter leads, as far as is known here. */
    | { readonly kind: "not-leader"; readonly leader: ReplicaAddress; }
    /** No leader is known, or the change may or may not have been made. */
    | { readonly kind: "unavailable"; }
    /** It is no upstream's notice and changes nothing. */
    | { readonly kind: "foreign"; readonly reason: string; };

/** What a proposal needs. */
export interface ProposalOptions {
    readonly host: FleetReplicaHost;
    readonly getNowMs: () => number;
    /** Told of each proposal that was committed. */
    readonly recordCommitMs?: (durationMs: number) => void;
}

/**
 * Proposes a change of the fleet's state.
 * @param options - replica and clock
 * @param command - the change
 * @returns done once a quorum holds it
 */
export async function proposeChange(
    { host, getNowMs, recordCommitMs }: ProposalOptions,
    command: FleetCommand,
): Promise<VoterResult<undefined>> {
    const startMs = getNowMs();
    const result = await host.propose(command);
    switch (result.kind) {
        case "applied":
            recordCommitMs?.(getNowMs() - startMs);
            return { kind: "done", value: undefined };
        case "not-leader":
            return createNotLeader(host);
        case "unknown":
            return { kind: "unavailable" };
    }
}

/**
 * Creates the answer of a voter that does not lead.
 * @param host - the replica
 * @returns the leader, where one is known
 */
export function createNotLeader(
    host: FleetReplicaHost,
): { kind: "not-leader"; leader: ReplicaAddress; } | { kind: "unavailable"; } {
    const { leader } = host.replica.getStatus();
    return leader === undefined || leader.id === host.self.id
        ? { kind: "unavailable" }
        : { kind: "not-leader", leader };
}
