/**
 * What an entry writes and counts of each request: enough to get from its id to the cause of its end.
 */
import type { RequestEnd } from "../../request/refuseRequest.js";
import type { RequestContext } from "../../request/requestContext.js";
import type { RoutedCall } from "../../request/routedCall.js";
import type { Refusal } from "../../request/routedRefusal.js";
import type { EventFields, EventLog } from "../eventLog.js";
import type { FleetMetrics } from "../fleetMetrics.js";
import type { Confirmation } from "./fleetLink.js";

/** What the entry knew when the request ended. */
export interface EntryKnowledge {
    /** Version of the routing table in force. */
    readonly version: number | undefined;
    /** Position of the voters' log. */
    readonly index: number;
    /** How long ago a confirmed leader said that both are newest. */
    readonly ageMs: number;
    /** The leader's answer that said so. */
    readonly confirmation: Confirmation | undefined;
}

/** Where it is written. */
export interface RequestLogOptions {
    readonly log: EventLog;
    readonly metrics: FleetMetrics;
}

/**
 * Records a request that was let in.
 * @param options - log and counters
 * @param run - the request
 * @param end - how it ended
 * @param known - what the entry knew
 * @param describeCrashes - which request it is, and the upstreams that ended under it; asked only where one did
 */
export function recordRequest(
    { log, metrics }: RequestLogOptions,
    run: RequestContext,
    end: RequestEnd,
    known: EntryKnowledge,
    describeCrashes: (run: RequestContext) => EventFields,
): void {
    const { call, route, service, arrivedMs, basis } = run.admitted;
    const firstMs = end.firstMs === undefined ? undefined : end.firstMs - arrivedMs;
    metrics.countRequest(service.name, end.refusal ?? end.outcome);
    metrics.recordRequestMs(service.name, run.ageMs);
    log.record(end.outcome === "answered" && !isLate(run, end, firstMs) ? "debug" : "info", "request", {
        request: call.requestId,
        route: route.name,
        service: service.name,
        outcome: end.outcome,
        refusal: end.refusal,
        status: end.status,
        ms: Math.round(run.ageMs),
        first_ms: roundMs(firstMs),
        pause_ms: roundMs(end.longestPauseMs),
        tries: run.attemptLog.join(" "),
        bound_by: run.throttledBy.join(","),
        ...(run.hasCrash ? describeCrashes(run) : {}),
        admitted_by: basis.version,
        admitted_age_ms: roundMs(basis.ageMs),
        ...describeKnowledge(known),
    });
}

/**
 * Records a request that was not let in.
 * @param options - log and counters
 * @param call - the request
 * @param refusal - what it was told
 * @param ageMs - time since it arrived
 * @param known - what the entry knew
 */
export function recordRefusal(
    { log, metrics }: RequestLogOptions,
    call: RoutedCall,
    refusal: Refusal,
    ageMs: number,
    known: EntryKnowledge,
): void {
    metrics.countRequest("", refusal.id);
    log.record("info", "request", {
        request: call.requestId,
        outcome: "refused",
        refusal: refusal.id,
        status: refusal.status,
        ms: Math.round(ageMs),
        ...describeKnowledge(known),
    });
}

function describeKnowledge({ version, index, ageMs, confirmation }: EntryKnowledge): EventFields {
    return {
        version,
        index,
        age_ms: roundMs(ageMs),
        confirmed_by: confirmation?.peer,
        term: confirmation?.term,
        commit_index: confirmation?.commit_index,
    };
}

/** Whether an answer missed what the route's contract asks for. */
function isLate(run: RequestContext, end: RequestEnd, firstMs: number | undefined): boolean {
    const { objective_ms, pause_objective_ms } = run.admitted.route;
    const isPaused = (end.longestPauseMs ?? 0) > (pause_objective_ms ?? Number.POSITIVE_INFINITY);
    return (firstMs ?? run.ageMs) > objective_ms || isPaused;
}

/** A time that there is none of yet is left out of the line. */
function roundMs(ms: number | undefined): number | undefined {
    return ms === undefined || !Number.isFinite(ms) ? undefined : Math.round(ms);
}
