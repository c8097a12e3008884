/**
 * The daemon's parts, for its own tests and for tools that run it inside another process.
 * @packageDocumentation
 */
export { createPromptTokens } from "./connection/engineClient.js";
export { Daemon, type DaemonAddresses } from "./process/daemon.js";
export { formatHybridTime, HybridClock, type HybridTime, parseHybridTime } from "./process/hybridClock.js";
export { readSettings } from "./process/readSettings.js";
