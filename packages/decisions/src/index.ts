/**
 * Decisions, free of input, output and timers: what runs where, what waits, what is refused.
 * @packageDocumentation
 */
export * from "./connection/byteBudget.js";
export {
    CircuitBreaker,
    type CircuitBreakerOptions,
    type CircuitState,
    defaultCircuitBreakerOptions,
} from "./connection/circuit.js";
export * from "./connection/evenPace.js";
export * from "./connection/limitOrder.js";
export * from "./connection/parseLimit.js";
export * from "./connection/parseRest.js";
export { RetryAfterBackoff, type RetryAfterChange } from "./connection/rest.js";
export { defaultRetryBudgetOptions, RetryBudget, type RetryBudgetOptions } from "./connection/retryBudget.js";
export * from "./connection/sendSchedule.js";
export * from "./connection/sharedRetryBudget.js";
export { type AdmissionDecision, chooseAdmission, type QueueView } from "./request/chooseAdmission.js";
export { chooseCandidate } from "./request/chooseCandidate.js";
export * from "./request/chooseChain.js";
export * from "./request/chooseNextStep.js";
export {
    chooseReplacement,
    chooseRoute,
    createHolderIndex,
    type Holder,
    type HolderIndex,
    isExactTiling,
    type RouteStage,
} from "./request/chooseRoute.js";
export { ClassSlots } from "./request/classSlots.js";
export { computeLoadScore, type LoadView } from "./request/computeLoadScore.js";
export * from "./request/computePriority.js";
export * from "./request/computeStreamPatience.js";
export { DrainMeter } from "./request/drainMeter.js";
export { FairQueue, type QueuedRequest } from "./request/fairQueue.js";
export * from "./request/findRoute.js";
export * from "./request/hasChainRoom.js";
export * from "./request/hasPlainRoom.js";
export * from "./request/isPathStill.js";
export * from "./request/listOpenChains.js";
export * from "./request/listPreferredChains.js";
export { computeRetryIntervalMs, type RecoveryCapacity, RetryAfterSpreader } from "./request/returnOrder.js";
export * from "./version/canHoldModel.js";
export * from "./version/checkRoutingTable.js";
export * from "./version/chooseVoterChange.js";
export * from "./version/computeChains.js";
export * from "./version/computeLayerPlan.js";
export * from "./version/computeLayerRoom.js";
export {
    computePlacement,
    type PlacementFault,
    type PlacementResult,
    splitLayers,
} from "./version/computePlacement.js";
export { computeSlotShare, type SlotShareView } from "./version/computeShare.js";
export type { ConfigurationFreshness } from "./version/configurationView.js";
export { createPlan, formatDifferences, type PlanningResult } from "./version/createPlan.js";
export type { LayerOrder } from "./version/freeEngine.js";
export * from "./version/isPlacementDue.js";
export * from "./version/judgeHeartbeat.js";
export * from "./version/layerCoverage.js";
export { mayAdmitUnlessSuperseded } from "./version/mayAdmitUnlessOvertaken.js";
export { DecayingCounter } from "./version/recentCount.js";
