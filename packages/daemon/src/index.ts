/**
 * The daemon's parts, for its own tests and for tools that run it inside another process.
 * @packageDocumentation
 */
export { createEngineClient, createPromptTokens, type EngineFunctions } from "./connection/engineClient.js";
export * from "./connection/engineControl.js";
export { ExchangeError, fetchJson, openConnections, sendRequest } from "./connection/httpClient.js";
export { type OpenExchange, type UpstreamHead } from "./connection/upstreamExchange.js";
export { Daemon, type DaemonAddresses } from "./process/daemon.js";
export type { FleetProcess, SettingsReader } from "./process/fleetProcess.js";
export type { VoterResult } from "./process/fleetProposal.js";
export { readBody, type RequestHandler, sendJson } from "./process/httpServer.js";
export { formatHybridTime, HybridClock, type HybridTime, parseHybridTime } from "./process/hybridClock.js";
export { readSettings } from "./process/readSettings.js";
export { type EntryProtocol, runEntry } from "./process/runEntry.js";
export { type AgreedState, runVoter, type VoterProtocol } from "./process/runVoter.js";
export type { UpstreamHeartbeat } from "./process/upstreamRegister.js";
export { waitMs } from "./process/waitMs.js";
export { type GateRequest, type GateUsage, WorkGate } from "./process/workGate.js";
export { removeConnectionHeaders } from "./request/routedAnswer.js";
export type { CallCodec, CallTarget, HeadVerdict, RoutedCall } from "./request/routedCall.js";
