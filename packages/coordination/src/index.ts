/**
 * Coordination: a replicated log with leader leases and fencing, claims, configuration and membership.
 * @packageDocumentation
 */
export { type Folder, openDiskFolder } from "./process/folder.js";
export { createAnswerForReplacedReplica } from "./process/fullRestart.js";
export {
    CorruptLogError,
    createLogStorage,
    type HardState,
    LogGapError,
    type LogStorage,
    type SnapshotRecovery,
    type StorageRecord,
    type StoredState,
} from "./process/logStorage.js";
export {
    type MemberAttributes,
    Membership,
    type MembershipFunctions,
    type MembershipOptions,
    type MembershipTiming,
} from "./process/membership.js";
export {
    bootstrapLog,
    bootstrapSingleVoter,
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
export { type ClockSources, type ResumeEvent, SuspendAwareClock } from "./process/suspendAwareClock.js";
export { ClaimRegister } from "./version/claimRegister.js";
export { ConfigurationRegister, type HistoryEntry } from "./version/configurationRegister.js";
export { type CrashChanges, CrashRegister } from "./version/crashRegister.js";
export { type FleetChanges, FleetState, type StoredDocument } from "./version/fleetState.js";
export { ReplicatedState } from "./version/replicatedState.js";
export { SegmentRegister } from "./version/segmentRegister.js";
