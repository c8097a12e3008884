/**
 * The daemon's parts, for its own tests and for tools that run it inside another process.
 * @packageDocumentation
 */
export { createEngineClient, createPromptTokens, type EngineFunctions } from "./connection/engineClient.js";
export * from "./connection/engineControl.js";
export { ExchangeError, fetchJson, openConnections, sendRequest } from "./connection/httpClient.js";
export { readRest } from "./connection/readRest.js";
export { type OpenExchange, type UpstreamHead } from "./connection/upstreamExchange.js";
export {
    AdmissionController,
    type AdmissionRequest,
    type RequestTiming,
} from "./process/daemon/admissionController.js";
export { Daemon, type DaemonAddresses } from "./process/daemon/daemon.js";
export { type EntryProtocol, runEntry } from "./process/entry/runEntry.js";
export type { FleetProcess, SettingsReader } from "./process/fleetProcess.js";
export { readBody, type RequestHandler, sendJson } from "./process/httpServer.js";
export { formatHybridTime, HybridClock, type HybridTime, parseHybridTime } from "./process/hybridClock.js";
export { createObservedControl, type HeedingFunctions } from "./process/observedControl.js";
export { readSettings } from "./process/readSettings.js";
export type { VoterResult } from "./process/voter/fleetProposal.js";
export { type AgreedState, runVoter, type VoterProtocol } from "./process/voter/runVoter.js";
export type { UpstreamHeartbeat } from "./process/voter/upstreamRegister.js";
export { waitMs } from "./process/waitMs.js";
export { removeConnectionHeaders } from "./request/routedAnswer.js";
export type { CallCodec, CallTarget, HeadVerdict, RoutedCall, UpstreamNotice } from "./request/routedCall.js";
