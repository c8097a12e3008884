/**
 * Which chains an entry prefers while they have capacity. Where many entries get a request a second each, an entry that
 * spread its requests over all chains would find an open connection on none of them. Each entry therefore uses a few,
 * drawn by weighted rendezvous hashing (Thaler and Ravishankar, 1998): all entries together use all chains in
 * proportion to their speed, and a chain that is added or removed changes the choice of only those entries that draw
 * it.
 */
import type { Chain } from "../version/computeChains.js";

/**
 * Enough chains that an entry finds a lightly loaded one among them (two random choices would do; Mitzenmacher, 2001).
 */
const MIN_PREFERRED = 4;
const MS_PER_SECOND = 1_000;

/**
 * Computes how many chains an entry uses: as many as it sends requests within the idle timeout of a connection, so that
 * each connection is reused and an entry with few requests does not open one for each of them.
 * @param requestsPerSecond - what the entry sends to the service
 * @param idleMs - idle timeout of a connection
 * @returns number of chains
 */
export function computePreferredCount(requestsPerSecond: number, idleMs: number): number {
    return Math.max(MIN_PREFERRED, Math.ceil(requestsPerSecond * idleMs / MS_PER_SECOND));
}

/**
 * Lists the chains that an entry prefers.
 * @param chains - chains of a service
 * @param entry - name of the entry
 * @param limit - how many it uses
 * @returns all where there are no more than that; otherwise those that it draws, in the order of `chains`
 */
export function listPreferredChains(
    chains: readonly Chain[],
    entry: string,
    limit: number,
): readonly Chain[] {
    if (chains.length <= limit) {
        return chains;
    }
    const ranked = chains.map((chain) => ({ chain, rank: computeRank(chain, entry) }));
    const threshold = ranked.map(({ rank }) => rank).sort((left, right) => right - left)[limit - 1] ?? 0;
    return ranked.filter(({ rank }) => rank >= threshold).map(({ chain }) => chain);
}

/** Higher for faster chains: the probability that a chain ranks first is proportional to its prefill rate. */
function computeRank(chain: Chain, entry: string): number {
    return 1 / (chain.prefillMs * -Math.log(hashToUnit(`${entry} ${chain.stages[0]?.engine.id ?? chain.id}`)));
}

const FNV_OFFSET = 2_166_136_261;
const FNV_PRIME = 16_777_619;
const HASH_RANGE = 2 ** 32;

/** FNV-1a with the finalizer of MurmurHash3, mapped to a number between 0 and 1, exclusive. */
function hashToUnit(text: string): number {
    let hash = FNV_OFFSET;
    for (let at = 0; at < text.length; at += 1) {
        hash = Math.imul(hash ^ text.charCodeAt(at), FNV_PRIME);
    }
    hash = Math.imul(hash ^ (hash >>> 16), 0x85_eb_ca_6b);
    hash = Math.imul(hash ^ (hash >>> 13), 0xc2_b2_ae_35);
    return ((hash ^ (hash >>> 16)) >>> 0) / HASH_RANGE + 0.5 / HASH_RANGE;
}
