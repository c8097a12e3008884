/**
 * Connections that accept only valid and complete responses, for clients that need nothing else of the daemon.
 * @packageDocumentation
 */
export { type BoundedOptions, BoundedPool, EndlessResponseError } from "./boundedPool.js";
export { InvalidHeadError } from "./responseRule.js";
