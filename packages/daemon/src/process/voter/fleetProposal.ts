/**
 * Proposals of changes to the fleet's replicated state, and the results a voter returns when it cannot make them.
 */
import type { FleetState } from "@crankfork/coordination";
import type { FleetCommand, InvalidCommand, ReplicaAddress } from "@crankfork/schemas";
import type { ReplicaHost } from "../replicaHost.js";

/** The replica that holds the fleet's state. */
export type FleetReplicaHost = ReplicaHost<FleetState, FleetCommand>;

/** Outcome of a change or query at this voter. */
export type VoterResult<Value> =
    | { readonly kind: "done"; readonly value: Value; }
    /** Another voter leads, as far as this one knows. */
    | { readonly kind: "not-leader"; readonly leader: ReplicaAddress; }
    /** No leader is known, or the outcome of the change is unknown. */
    | { readonly kind: "unavailable"; }
    /** The sender is not an upstream of this fleet; nothing changes. */
    | { readonly kind: "foreign"; readonly reason: string; }
    /** The change has a value that the replicated state refuses; nothing changes. */
    | InvalidCommand;

/** Dependencies of a proposal. */
export interface ProposalOptions {
    readonly host: FleetReplicaHost;
    readonly getNowMs: () => number;
    /** Called with the latency of each committed proposal. */
    readonly recordCommitMs?: (durationMs: number) => void;
    /** Called with the kind of each proposed command. */
    readonly recordProposal?: (kind: FleetCommand["kind"]) => void;
}

/**
 * Proposes a change of the fleet's state.
 * @param options - replica and clock
 * @param command - the change
 * @returns done once a quorum has committed it; `invalid` names the field that the state refuses
 */
export async function proposeChange(
    { host, getNowMs, recordCommitMs, recordProposal }: ProposalOptions,
    command: FleetCommand,
): Promise<VoterResult<undefined>> {
    recordProposal?.(command.kind);
    const startMs = getNowMs();
    const result = await host.propose(command);
    switch (result.kind) {
        case "applied":
            recordCommitMs?.(getNowMs() - startMs);
            return { kind: "done", value: undefined };
        case "not-leader":
            return createNotLeaderResult(host);
        case "unknown":
            return { kind: "unavailable" };
        case "invalid":
            return result;
    }
}

/**
 * Creates the result of a voter that is not the leader.
 * @param host - the replica
 * @returns the leader if one is known
 */
export function createNotLeaderResult(
    host: FleetReplicaHost,
): { kind: "not-leader"; leader: ReplicaAddress; } | { kind: "unavailable"; } {
    const { leader } = host.replica.getStatus();
    return leader === undefined || leader.id === host.self.id
        ? { kind: "unavailable" }
        : { kind: "not-leader", leader };
}
