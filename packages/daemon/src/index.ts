/**
 * The daemon's public API, for its tests and for tools that run it in another process.
 * @packageDocumentation
 */
export { createEngineClient, type EngineClient, tokenizePrompt } from "./connection/engineClient.js";
export * from "./connection/engineControl.js";
export { decodeHeaderText, encodeHeaderText, escapeHeaderValue } from "./connection/headerText.js";
export { createAgent, ExchangeError, fetchJson, readText, sendRequest } from "./connection/httpClient.js";
export {
    DOCUMENT_LIMIT_BYTES,
    HEARTBEAT_LIMIT_BYTES,
    ORDER_RESPONSE_LIMIT_BYTES,
    REPORT_LIMIT_BYTES,
} from "./connection/messageLimits.js";
export { readRetryAfter } from "./connection/readRetryAfter.js";
export { type OpenExchange, type ResponseHead } from "./connection/upstreamExchange.js";
export {
    AdmissionController,
    type AdmissionRequest,
    type RequestTiming,
} from "./process/daemon/admissionController.js";
export { Daemon, type DaemonAddresses } from "./process/daemon/daemon.js";
export { type EntryProtocol, runEntry } from "./process/entry/runEntry.js";
export type { FleetProcess, SettingsReader } from "./process/fleetProcess.js";
export { BodyTooLargeError, readBody, type RequestHandler, sendJson } from "./process/httpServer.js";
export { formatHybridTime, HybridClock, type HybridTime, parseHybridTime } from "./process/hybridClock.js";
export { createObservedControl, type NoticeHandlers } from "./process/observedControl.js";
export { endProcess } from "./process/processFailures.js";
export { readSettings } from "./process/readSettings.js";
export type { VoterResult } from "./process/voter/fleetProposal.js";
export { runVoter, type VoterProtocol, type VoterState } from "./process/voter/runVoter.js";
export type { UpstreamHeartbeat } from "./process/voter/upstreamRegistry.js";
export { waitMs } from "./process/waitMs.js";
export type { CallCodec, CallTarget, ResponseVerdict, RoutedCall, UpstreamNotice } from "./request/routedCall.js";
export { removeHopByHopHeaders } from "./request/routedResponse.js";
