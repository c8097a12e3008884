/**
 * The daemon's parts, for its own tests and for tools that run it inside another process.
 * @packageDocumentation
 */
export { createEngineClient, createPromptTokens, type EngineFunctions } from "./connection/engineClient.js";
export { openConnections } from "./connection/httpClient.js";
export { Daemon, type DaemonAddresses } from "./process/daemon.js";
export { formatHybridTime, HybridClock, type HybridTime, parseHybridTime } from "./process/hybridClock.js";
export { readSettings } from "./process/readSettings.js";
export { type GateRequest, type GateUsage, WorkGate } from "./process/workGate.js";
