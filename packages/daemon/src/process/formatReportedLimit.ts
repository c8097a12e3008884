/**
 * Limits between instances: times cross as ages, since each instance has a clock of its own.
 */
import type { ObservedLimit } from "@crankfork/decisions";
import type { ReportedRateLimit } from "@crankfork/schemas";

/**
 * Formats a limit for another instance.
 * @param id - one life of the upstream
 * @param heard - its limit, or the end of one
 * @param nowMs - the monotonic clock of this instance
 * @returns the message's part
 */
export function formatReportedLimit(
    id: string,
    { requestsASecond, requestSentMs: askedMs, responseReceivedMs: heardMs }: ObservedLimit,
    nowMs: number,
): ReportedRateLimit {
    return {
        id,
        ...(requestsASecond === undefined ? {} : { requests_a_second: requestsASecond }),
        asked_ms_ago: Math.max(0, Math.round(nowMs - askedMs)),
        heard_ms_ago: Math.max(0, Math.round(nowMs - heardMs)),
    };
}

/**
 * Reads a limit of another instance.
 * @param told - as it came
 * @param nowMs - the monotonic clock of this instance
 * @returns the limit by this clock; what the message took on its way counts as if it had been heard later
 */
export function parseReportedLimit(told: ReportedRateLimit, nowMs: number): ObservedLimit {
    return {
        requestsASecond: told.requests_a_second,
        requestSentMs: nowMs - told.asked_ms_ago,
        responseReceivedMs: nowMs - told.heard_ms_ago,
    };
}
