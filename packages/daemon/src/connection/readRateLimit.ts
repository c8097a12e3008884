/**
 * Reads the header of the product's own interface in which an upstream states its rate limit. Only this file
 * depends on its name.
 */
import { type LimitNotice, parseLimit } from "@crankfork/decisions";
import type { ResponseHead } from "./upstreamExchange.js";

const RATE_LIMIT_HEADER = "x-requests-a-second";

/**
 * Reads the rate limit from the headers of a response.
 * @param head - the headers
 * @returns the rate limit, if one is stated
 */
export function readRateLimit({ headers }: Pick<ResponseHead, "headers">): LimitNotice {
    return parseLimit([headers[RATE_LIMIT_HEADER] ?? []].flat());
}
