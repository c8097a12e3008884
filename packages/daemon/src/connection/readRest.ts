/**
 * The one place that reads in the head of an answer for how long its upstream wants nothing more.
 */
import { parseRetryAfter, type RetryAfterNotice } from "@crankfork/decisions";
import type { UpstreamHead } from "./upstreamExchange.js";

/** Only an upstream that turned a request away says so (RFC 9110, section 15.6.4). */
const TURNED_AWAY = 503;

/**
 * Reads the head of an answer.
 * @param head - status and headers
 * @returns the rest that the upstream asks for
 */
export function readRest({ status, headers }: Pick<UpstreamHead, "status" | "headers">): RetryAfterNotice {
    return parseRetryAfter(status === TURNED_AWAY ? [headers["retry-after"] ?? []].flat() : []);
}
