/**
 * Log line and metrics of each request, with enough detail to get from a request id to the cause of its outcome.
 */
import type { RequestEnd } from "../../request/refuseRequest.js";
import type { RequestContext } from "../../request/requestContext.js";
import type { RoutedCall } from "../../request/routedCall.js";
import type { Refusal } from "../../request/routedRefusal.js";
import type { EventFields, EventLog } from "../eventLog.js";
import type { FleetMetrics } from "../fleetMetrics.js";
import type { Confirmation } from "./leaderSync.js";

/** The state of the entry when the request ended. */
export interface EntryState {
    /** Version of the routing table in force. */
    readonly version: number | undefined;
    /** Applied position of the voters' replicated log. */
    readonly index: number;
    /** Time since a confirmed leader reported that both were current. */
    readonly confirmationAgeMs: number;
    /** The leader's reply that said so. */
    readonly confirmation: Confirmation | undefined;
}

/** Class of a request of a service whose demand is reported, and who took its room. */
export interface RequestClass {
    readonly rank: number;
    readonly organisation: string | undefined;
    /** Share of the room that its class could take. */
    readonly room?: number | undefined;
    /** Open requests by rank on the path that came nearest, as `rank:count`. */
    readonly taken_by?: string | undefined;
}

/** Prompts usually have a few segments; a hostile one may have a thousand. */
const MAX_LOGGED_SEGMENTS = 10;

/** Where requests are recorded. */
export interface RequestLogOptions {
    readonly log: EventLog;
    readonly metrics: FleetMetrics;
}

/** Details of a request that only some lines contain. */
export interface RequestDetails {
    /** Class of a refused request; undefined if its service's demand is not reported. */
    readonly refusedClass: RequestClass | undefined;
    /** Fingerprint of the request and the upstreams that crashed under it; called only where one did. */
    readonly describeCrashes: () => EventFields;
}

/**
 * Records a request that was admitted.
 * @param options - log and metrics
 * @param run - the request
 * @param end - how it ended
 * @param state - state of the entry
 * @param details - class and crashes of the request
 */
export function recordRequest(
    { log, metrics }: RequestLogOptions,
    run: RequestContext,
    end: RequestEnd,
    state: EntryState,
    { refusedClass, describeCrashes }: RequestDetails,
): void {
    const { call, route, service, arrivedMs, basis } = run.admitted;
    const firstMs = end.firstMs === undefined ? undefined : end.firstMs - arrivedMs;
    metrics.countRequest(service.name, end.refusal ?? end.outcome, refusedClass?.rank);
    if (end.outcome === "broken-off") {
        metrics.countCutResponse(service.name, run.lastAttemptEnd ?? "", end.obstacle ?? end.refusal ?? "");
    }
    metrics.recordRequestMs(service.name, run.ageMs);
    log.record(end.outcome === "answered" && !isLate(run, end, firstMs) ? "debug" : "info", "request", {
        request: call.requestId,
        route: route.name,
        service: service.name,
        outcome: end.outcome,
        refusal: end.refusal,
        obstacle: end.obstacle,
        status: end.status,
        ms: Math.round(run.ageMs),
        first_ms: roundMs(firstMs),
        pause_ms: roundMs(end.longestPauseMs),
        tries: run.attemptLog.join(" "),
        bound_by: run.throttledBy.join(","),
        ...refusedClass,
        ...(run.hasCrash
            ? { segments: call.sharedSegments?.slice(0, MAX_LOGGED_SEGMENTS).join(","), ...describeCrashes() }
            : {}),
        admitted_by: basis.version,
        admitted_age_ms: roundMs(basis.ageMs),
        ...formatEntryState(state),
    });
}

/**
 * Records a request that was refused at admission.
 * @param options - log and metrics
 * @param call - the request
 * @param refusal - the refusal that the caller received
 * @param ageMs - time since arrival
 * @param state - state of the entry
 */
export function recordRefusal(
    { log, metrics }: RequestLogOptions,
    call: RoutedCall,
    refusal: Refusal,
    ageMs: number,
    state: EntryState,
): void {
    metrics.countRequest("", refusal.id);
    log.record("info", "request", {
        request: call.requestId,
        outcome: "refused",
        refusal: refusal.id,
        status: refusal.status,
        ms: Math.round(ageMs),
        ...formatEntryState(state),
    });
}

function formatEntryState({ version, index, confirmationAgeMs: ageMs, confirmation }: EntryState): EventFields {
    return {
        version,
        index,
        age_ms: roundMs(ageMs),
        confirmed_by: confirmation?.peer,
        term: confirmation?.term,
        commit_index: confirmation?.commit_index,
    };
}

/** Whether a response missed the objectives of its route. */
function isLate(run: RequestContext, end: RequestEnd, firstMs: number | undefined): boolean {
    const { objective_ms, pause_objective_ms } = run.admitted.route;
    const isPaused = (end.longestPauseMs ?? 0) > (pause_objective_ms ?? Number.POSITIVE_INFINITY);
    return (firstMs ?? run.ageMs) > objective_ms || isPaused;
}

/** Rounds a time; times that are not known yet are omitted from the log line. */
function roundMs(ms: number | undefined): number | undefined {
    return ms === undefined || !Number.isFinite(ms) ? undefined : Math.round(ms);
}
