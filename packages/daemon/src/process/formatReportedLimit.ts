/**
 * Rate limits in messages between instances. Times are sent as ages, since each instance has its own monotonic clock.
 */
import type { ObservedLimit } from "@crankfork/decisions";
import type { ReportedRateLimit } from "@crankfork/schemas";

/**
 * Converts a rate limit for a message to another instance.
 * @param id - the upstream's incarnation
 * @param heard - its limit, or the end of one
 * @param nowMs - this instance's monotonic clock
 * @returns the limit as part of a message
 */
export function formatReportedLimit(
    id: string,
    { requestsPerSecond, requestSentMs, responseReceivedMs: heardMs }: ObservedLimit,
    nowMs: number,
): ReportedRateLimit {
    return {
        id,
        ...(requestsPerSecond === undefined ? {} : { requests_a_second: requestsPerSecond }),
        asked_ms_ago: Math.max(0, Math.round(nowMs - requestSentMs)),
        heard_ms_ago: Math.max(0, Math.round(nowMs - heardMs)),
    };
}

/**
 * Converts a rate limit from a message of another instance.
 * @param message - the limit as received
 * @param nowMs - this instance's monotonic clock
 * @returns the limit in terms of this clock; the transit time shifts it to later
 */
export function parseReportedLimit(message: ReportedRateLimit, nowMs: number): ObservedLimit {
    return {
        requestsPerSecond: message.requests_a_second,
        requestSentMs: nowMs - message.asked_ms_ago,
        responseReceivedMs: nowMs - message.heard_ms_ago,
    };
}
