/**
 * What a voter has applied, as it reports it to entries.
 */
import type { FleetState } from "@crankfork/coordination";
import type { StateChanges, WatchResult } from "@crankfork/schemas";
import type { DocumentRollout } from "./documentRollout.js";

/** A voter's newest document. */
export type DocumentDescription = Pick<WatchResult, "document_version" | "document_age_ms" | "behind_ms">;

/**
 * Describes the changes that an entry lacks.
 * @param state - the replicated state
 * @param knownIndex - log index up to which the entry has the state
 * @returns the changes, or the whole state if the entry is too far behind
 */
export function describeChanges(state: FleetState, knownIndex: number): StateChanges {
    const changes = state.getChanges(knownIndex);
    return {
        index: changes.index,
        is_whole: changes.isFullState,
        upstreams: [...changes.upstreams],
        removed: [...changes.removed],
        crashes: [...changes.crashes.records],
        crashes_forgotten: [...changes.crashes.forgotten],
        ...(changes.segments === undefined ? {} : { segments: [...changes.segments] }),
    };
}

/**
 * Describes the newest document.
 * @param state - the replicated state
 * @param rollout - rollout state of the document
 * @param appliedVersion - version that the entry has applied; undefined if none
 * @returns its version, and for how long the entry has lacked a newer one than it has
 */
export function describeDocument(
    state: FleetState,
    rollout: Pick<DocumentRollout, "ageMs" | "getBehindMs">,
    appliedVersion: number | undefined,
): DocumentDescription {
    const document = state.getDocument();
    const { ageMs } = rollout;
    const behindMs = rollout.getBehindMs(appliedVersion);
    return {
        ...(document === undefined ? {} : { document_version: document.version }),
        ...(ageMs === undefined ? {} : { document_age_ms: ageMs }),
        ...(behindMs === undefined ? {} : { behind_ms: behindMs }),
    };
}
