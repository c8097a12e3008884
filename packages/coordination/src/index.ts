/**
 * Coordination parts: a replicated log with leases and fences, claims, configuration and membership.
 * @packageDocumentation
 */
export { type Folder, openDiskFolder } from "./process/folder.js";
export {
    CorruptLogError,
    createLogStorage,
    type HardState,
    type LogStorage,
    type StorageRecord,
    type StoredState,
} from "./process/logStorage.js";
export {
    type MemberFacts,
    Membership,
    type MembershipFunctions,
    type MembershipOptions,
    type MembershipTiming,
} from "./process/membership.js";
export { createAnswerOfFormer } from "./process/newLife.js";
export {
    createFirstLog,
    createFirstReplica,
    Replica,
    type ReplicaChangeResult,
    type ReplicaStatus,
} from "./process/replica.js";
export type { ReplicaChangeRefusal } from "./process/replicaChange.js";
export type {
    ProposalResult,
    ReplicaClock,
    ReplicaEvent,
    ReplicaFunctions,
    ReplicaOptions,
    ReplicaTiming,
} from "./process/replicaContext.js";
export type { Role } from "./process/roleMachine.js";
export { type ClockSources, SteadyClock, type Waking } from "./process/steadyClock.js";
export { ClaimRegister } from "./version/claimRegister.js";
export { ConfigurationRegister, type HistoryEntry } from "./version/configurationRegister.js";
export { type CrashChanges, CrashRegister } from "./version/crashRegister.js";
export { type FleetChanges, FleetState, type HeldDocument } from "./version/fleetState.js";
export { ReplicatedState } from "./version/replicatedState.js";
