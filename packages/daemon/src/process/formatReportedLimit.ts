/**
 * Rate limits in messages between instances. Times are sent as ages, since each instance has its own monotonic clock.
 */
import type { HeardLimit } from "@crankfork/decisions";
import type { ReportedLimit } from "@crankfork/schemas";

/**
 * Converts a rate limit for a message to another instance.
 * @param id - the upstream's incarnation
 * @param heard - its limit, or the end of one
 * @param nowMs - this instance's monotonic clock
 * @returns the limit as part of a message
 */
export function formatReportedLimit(
    id: string,
    { requestsASecond, askedMs, heardMs }: HeardLimit,
    nowMs: number,
): ReportedLimit {
    return {
        id,
        ...(requestsASecond === undefined ? {} : { requests_a_second: requestsASecond }),
        asked_ms_ago: Math.max(0, Math.round(nowMs - askedMs)),
        heard_ms_ago: Math.max(0, Math.round(nowMs - heardMs)),
    };
}

/**
 * Converts a rate limit from a message of another instance.
 * @param message - the limit as received
 * @param nowMs - this instance's monotonic clock
 * @returns the limit in terms of this clock; the transit time shifts it to later
 */
export function parseReportedLimit(message: ReportedLimit, nowMs: number): HeardLimit {
    return {
        requestsASecond: message.requests_a_second,
        askedMs: nowMs - message.asked_ms_ago,
        heardMs: nowMs - message.heard_ms_ago,
    };
}
