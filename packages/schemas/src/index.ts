/**
 * Schemas of all data that crosses a process boundary, and the types inferred from them.
 * @packageDocumentation
 */
export * from "./address.js";
export * from "./callerError.js";
export * from "./command.js";
export * from "./configuration.js";
export * from "./demandMessage.js";
export * from "./engineMessage.js";
export * from "./fleetCommand.js";
export * from "./fleetMessage.js";
export * from "./fleetSettings.js";
export * from "./fleetStatus.js";
export * from "./formatValue.js";
export * from "./limits.js";
export * from "./listSchema.js";
export * from "./member.js";
export * from "./operatorMessage.js";
export * from "./outcome.js";
export * from "./packedDocument.js";
export * from "./parseCommand.js";
export * from "./parseJson.js";
export * from "./peerMessage.js";
export * from "./plan.js";
export * from "./priorityClass.js";
export * from "./rateLimitMessage.js";
export * from "./readToml.js";
export * from "./registeredUpstream.js";
export * from "./replicaMessage.js";
export * from "./requestCrash.js";
export * from "./routing.js";
export * from "./segmentCrash.js";
export * from "./settings.js";
export * from "./upstreamIncarnation.js";
