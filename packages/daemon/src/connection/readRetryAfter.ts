/**
 * The one place that reads in the head of an answer for how long its upstream wants nothing more.
 */
import { parseRest, type RestNotice } from "@crankfork/decisions";
import type { ResponseHead } from "./upstreamExchange.js";

/** Only an upstream that turned a request away says so (RFC 9110, section 15.6.4). */
const SERVICE_UNAVAILABLE = 503;

/**
 * Reads the head of an answer.
 * @param head - status and headers
 * @returns the rest that the upstream asks for
 */
export function readRetryAfter({ status, headers }: Pick<ResponseHead, "status" | "headers">): RestNotice {
    return parseRest(status === SERVICE_UNAVAILABLE ? [headers["retry-after"] ?? []].flat() : []);
}
