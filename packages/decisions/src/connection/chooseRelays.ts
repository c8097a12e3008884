/**
 * Chooses the entries through which another entry may send requests to upstreams that it cannot reach itself.
 */

/** An entry that relays requests. */
export interface RelayCandidate {
    readonly address: string;
    /** Its failure domain, where known. */
    readonly domain: string | undefined;
}

const MAX_RELAYS = 4;
/** Relays of the entry's own domain where there are others, since a whole domain may be cut off. */
const MAX_NEAR_RELAYS = 2;

/**
 * Chooses relays.
 * @param candidates - entries that relay requests, without the entry itself
 * @param domain - failure domain of the entry
 * @param offset - selects among candidates; a number that differs between calls spreads their load
 * @returns addresses, those of the own domain first
 */
export function chooseRelays(
    candidates: readonly RelayCandidate[],
    domain: string | undefined,
    offset: number,
): readonly string[] {
    const near = candidates.filter((one) => one.domain === domain);
    const far = candidates.filter((one) => one.domain !== domain);
    const nearCount = Math.max(MAX_NEAR_RELAYS, MAX_RELAYS - far.length);
    const chosen = takeFrom(near, offset, nearCount);
    return [...chosen, ...takeFrom(far, offset, MAX_RELAYS - chosen.length)];
}

function takeFrom(candidates: readonly RelayCandidate[], offset: number, count: number): readonly string[] {
    return Array.from(
        { length: Math.min(count, candidates.length) },
        (_unused, at) => candidates[(offset + at) % candidates.length]?.address ?? "",
    );
}
