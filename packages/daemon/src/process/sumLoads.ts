/**
 * Sums of the load that entries report of an upstream.
 */
import type { UpstreamLoads } from "@crankfork/schemas";

/** Load of one upstream. */
export type UpstreamLoad = UpstreamLoads[string];

/** Tokens of requests, and how many requests they cover. */
type LoadTokens = Pick<UpstreamLoad, "tokens" | "sized_open">;

/**
 * Adds two loads of one upstream.
 * @param one - a load; undefined for none
 * @param other - another load
 * @returns their sum; counts by rank are present where one of them has them
 */
export function sumLoads(one: UpstreamLoad | undefined, other: UpstreamLoad): UpstreamLoad {
    return {
        open: (one?.open ?? 0) + other.open,
        unstarted: (one?.unstarted ?? 0) + other.unstarted,
        ...sumTokens(one, other),
        ...sumMember("unstarted_by_rank", one, other),
        ...sumMember("open_by_rank", one, other),
    };
}

/**
 * Multiplies a load, as an estimate of the load of that many entries.
 * @param load - the load of one entry
 * @param factor - number of entries
 * @returns the product
 */
export function multiplyLoad(load: UpstreamLoad, factor: number): UpstreamLoad {
    const { unstarted_by_rank, open_by_rank, tokens, sized_open } = load;
    const multiply = (counts: readonly number[]): number[] => counts.map((count) => count * factor);
    return {
        open: load.open * factor,
        unstarted: load.unstarted * factor,
        ...(tokens === undefined ? {} : { tokens: tokens * factor }),
        ...(sized_open === undefined ? {} : { sized_open: sized_open * factor }),
        ...(unstarted_by_rank === undefined ? {} : { unstarted_by_rank: multiply(unstarted_by_rank) }),
        ...(open_by_rank === undefined ? {} : { open_by_rank: multiply(open_by_rank) }),
    };
}

/** Counts how many open requests the tokens cover, where an entry of an earlier build reports none. */
function sumTokens(one: UpstreamLoad | undefined, other: UpstreamLoad): LoadTokens {
    const sized_open = countSized(one) + countSized(other);
    if (sized_open === 0) {
        return {};
    }
    const tokens = (one?.tokens ?? 0) + (other.tokens ?? 0);
    return sized_open === (one?.open ?? 0) + other.open ? { tokens } : { tokens, sized_open };
}

function countSized(load: UpstreamLoad | undefined): number {
    return load?.tokens === undefined ? 0 : load.sized_open ?? load.open;
}

function sumMember(
    name: "open_by_rank" | "unstarted_by_rank",
    one: UpstreamLoad | undefined,
    other: UpstreamLoad,
): Partial<UpstreamLoad> {
    const [left, right] = [one?.[name], other[name]];
    if (left === undefined || right === undefined) {
        const known = left ?? right;
        return known === undefined ? {} : { [name]: known };
    }
    const length = Math.max(left.length, right.length);
    return { [name]: Array.from({ length }, (_, rank) => (left[rank] ?? 0) + (right[rank] ?? 0)) };
}
