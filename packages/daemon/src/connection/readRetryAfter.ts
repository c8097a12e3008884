/**
 * Reads the backoff that an upstream asks for in the headers of a response. No other file reads it.
 */
import { parseRetryAfter, type RetryAfterNotice } from "@crankfork/decisions";
import type { ResponseHead } from "./upstreamExchange.js";

/** Retry-After is honoured only in responses that reject a request (RFC 9110, section 15.6.4). */
const SERVICE_UNAVAILABLE = 503;

/**
 * Reads the Retry-After header of a response.
 * @param head - status and headers
 * @returns the backoff that the upstream asks for, if any
 */
export function readRetryAfter({ status, headers }: Pick<ResponseHead, "status" | "headers">): RetryAfterNotice {
    return parseRetryAfter(status === SERVICE_UNAVAILABLE ? [headers["retry-after"] ?? []].flat() : []);
}
