/**
 * Sums of the load that entries report of an upstream.
 */
import type { UpstreamLoads } from "@crankfork/schemas";

/** Load of one upstream. */
export type UpstreamLoad = UpstreamLoads[string];

/**
 * Adds two loads of one upstream.
 * @param one - a load; undefined for none
 * @param other - another load
 * @returns their sum; counts by rank are present where one of them has them
 */
export function sumLoads(one: UpstreamLoad | undefined, other: UpstreamLoad): UpstreamLoad {
    const sum = copyLoad(one ?? { open: 0, unstarted: 0 });
    addLoad(sum, other);
    return sum;
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

/** Adds the tokens, and counts how many open requests they cover where an entry of an earlier build reports none. */
function addTokens(sum: UpstreamLoad, other: UpstreamLoad): void {
    const sizedOpen = countSizedRequests(sum) + countSizedRequests(other);
    if (sizedOpen === 0) {
        return;
    }
    sum.tokens = (sum.tokens ?? 0) + (other.tokens ?? 0);
    if (sizedOpen === sum.open + other.open) {
        delete sum.sized_open;
    }
    else {
        sum.sized_open = sizedOpen;
    }
}

/**
 * Counts the open requests that the tokens of a load cover.
 * @param load - the load
 * @returns 0 if its entry reports no tokens
 */
export function countSizedRequests(load: UpstreamLoad): number {
    return load.tokens === undefined ? 0 : load.sized_open ?? load.open;
}

function copyLoad(load: UpstreamLoad): UpstreamLoad {
    const { open, unstarted, unstarted_by_rank, open_by_rank, tokens, sized_open } = load;
    return {
        open,
        unstarted,
        ...(tokens === undefined ? {} : { tokens }),
        ...(sized_open === undefined ? {} : { sized_open }),
        ...(unstarted_by_rank === undefined ? {} : { unstarted_by_rank: [...unstarted_by_rank] }),
        ...(open_by_rank === undefined ? {} : { open_by_rank: [...open_by_rank] }),
    };
}

function addLoad(sum: UpstreamLoad, load: UpstreamLoad): void {
    const { open, unstarted, unstarted_by_rank, open_by_rank } = load;
    addTokens(sum, load);
    sum.open += open;
    sum.unstarted += unstarted;
    if (unstarted_by_rank !== undefined) {
        addCounts(sum.unstarted_by_rank ??= [], unstarted_by_rank);
    }
    if (open_by_rank !== undefined) {
        addCounts(sum.open_by_rank ??= [], open_by_rank);
    }
}

/**
 * Adds counts by rank to a sum in place.
 * @param sum - the sum
 * @param counts - the counts
 * @param sign - -1 to subtract them
 */
export function addCounts(sum: number[], counts: readonly number[], sign: 1 | -1 = 1): void {
    for (let rank = 0; rank < counts.length; rank += 1) {
        sum[rank] = (sum[rank] ?? 0) + sign * (counts[rank] ?? 0);
    }
}
