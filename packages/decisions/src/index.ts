/**
 * Decision functions without I/O or timers: placement, routing, queueing and admission.
 * @packageDocumentation
 */
export * from "./connection/bandwidthLimiter.js";
export * from "./connection/chooseNewerLimit.js";
export * from "./connection/chooseReadersToPause.js";
export { chooseRelays, type RelayCandidate } from "./connection/chooseRelays.js";
export {
    CircuitBreaker,
    type CircuitBreakerOptions,
    type CircuitState,
    defaultCircuitBreakerOptions,
} from "./connection/circuitBreaker.js";
export { classifyReach, type ReachEvidence, type ReachVerdict } from "./connection/classifyReach.js";
export * from "./connection/decaySpending.js";
export * from "./connection/equalSharePacer.js";
export * from "./connection/linkLoss.js";
export * from "./connection/parseLimit.js";
export * from "./connection/parseRetryAfter.js";
export { RetryAfterBackoff, type RetryAfterChange } from "./connection/retryAfterBackoff.js";
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
export * from "./request/classifyReturn.js";
export { ClassSlots } from "./request/classSlots.js";
export * from "./request/computeClassRoom.js";
export { computeLoadScore, type LoadView } from "./request/computeLoadScore.js";
export * from "./request/computeMaxMinShares.js";
export * from "./request/computePriority.js";
export * from "./request/computeQueueWait.js";
export * from "./request/computeReturnTime.js";
export * from "./request/computeStreamResumeWindow.js";
export { DecayingRate } from "./request/decayingRate.js";
export { ClassDrainMeters, DrainMeter, type DrainMeterOptions } from "./request/drainMeter.js";
export { encodeClassDemand } from "./request/encodeClassDemand.js";
export { FairQueue, MultiClassQueue, type QueuedRequest } from "./request/fairQueue.js";
export * from "./request/findRoute.js";
export * from "./request/hasChainCapacity.js";
export * from "./request/hasTokenRoom.js";
export * from "./request/hasUpstreamCapacity.js";
export * from "./request/isChainStalled.js";
export { LearnedRoom } from "./request/learnedRoom.js";
export * from "./request/listCandidateChains.js";
export * from "./request/listPreferredChains.js";
export {
    computeRetryIntervalMs,
    type RecoveryCapacity,
    RetryAfterSpreader,
    type ReturnWindow,
} from "./request/retryAfterSpreader.js";
export type { LayerOrder } from "./version/assignableEngine.js";
export * from "./version/canHoldModel.js";
export * from "./version/checkRoutingTable.js";
export * from "./version/chooseVoterChange.js";
export * from "./version/classifyHeartbeat.js";
export * from "./version/computeChains.js";
export * from "./version/computeEngineOrders.js";
export * from "./version/computeLayerCapacity.js";
export * from "./version/computeLayerPlan.js";
export {
    computePlacement,
    type PlacementFault,
    type PlacementResult,
    splitLayers,
} from "./version/computePlacement.js";
export { computeSlotShare, type SlotShareView } from "./version/computeSlotShare.js";
export type { ConfigurationFreshness } from "./version/configurationFreshness.js";
export { createPlan, formatDifferences, type PlanningResult } from "./version/createPlan.js";
export { DecayingCounter } from "./version/decayingCounter.js";
export * from "./version/isPlacementDue.js";
export { isWithinModel } from "./version/isWithinModel.js";
export * from "./version/layerCoverage.js";
export { mayAdmitUnlessSuperseded } from "./version/mayAdmitUnlessSuperseded.js";
export * from "./version/rankClasses.js";
