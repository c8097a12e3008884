/**
 * The one place that knows by which header an upstream of the product's own interface names the rate that it takes.
 */
import { type LimitNotice, parseLimit } from "@crankfork/decisions";
import type { ResponseHead } from "./upstreamExchange.js";

const RATE_LIMIT_HEADER = "x-requests-a-second";

/**
 * Reads the head of an answer.
 * @param head - its headers
 * @returns what it says of a limit
 */
export function readRateLimit({ headers }: Pick<ResponseHead, "headers">): LimitNotice {
    return parseLimit([headers[RATE_LIMIT_HEADER] ?? []].flat());
}
