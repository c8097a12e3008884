/**
 * Decides which of two responses states an upstream's current rate limit. Responses overtake each other: the head of a
 * stream arrives long before its end, and a request sent before a limit was announced may be answered after it. A
 * response is only known to have been made between the sending of its request and the arrival of its head; two
 * responses whose intervals overlap have no order.
 */

/** A rate limit, or its absence, as stated by a response. */
export interface ObservedLimit {
    /** Undefined where the response stated no limit. */
    readonly requestsPerSecond: number | undefined;
    /** When the request was sent, on the monotonic clock. */
    readonly requestSentMs: number;
    /** When the head of the response arrived. */
    readonly responseReceivedMs: number;
}

/**
 * Chooses between the known limit and the one of another response. Of two that have no order the lower one wins: it is
 * observed for a little longer than necessary, until a request that was sent after it is answered.
 * @param known - the limit known so far; undefined before the first response
 * @param observed - the limit of another response
 * @returns the limit to apply from now on
 */
export function chooseNewerLimit(known: ObservedLimit | undefined, observed: ObservedLimit): ObservedLimit {
    if (known === undefined || observed.requestSentMs >= known.responseReceivedMs) {
        return observed;
    }
    if (known.requestSentMs >= observed.responseReceivedMs) {
        return known;
    }
    const lower = getRate(observed) <= getRate(known) ? observed : known;
    return {
        ...lower,
        requestSentMs: Math.max(known.requestSentMs, observed.requestSentMs),
        responseReceivedMs: Math.max(known.responseReceivedMs, observed.responseReceivedMs),
    };
}

function getRate({ requestsPerSecond }: ObservedLimit): number {
    return requestsPerSecond ?? Number.POSITIVE_INFINITY;
}
