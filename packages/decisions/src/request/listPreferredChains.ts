/**
 * Which paths an entry sends to as long as they have room. Where many entries see a request a second each, one that
 * spreads its requests over all paths finds an open connection on none of them. Each entry therefore keeps to a few,
 * drawn by weighted rendezvous hashing (Thaler and Ravishankar, 1998), so that all entries together use all paths by
 * their speed, and a path that comes or goes changes the choice of those entries alone that draw it.
 */
import type { Chain } from "../version/computeChains.js";

/** Of so many an entry still finds one that is little loaded (two at random would do; Mitzenmacher, 2001). */
const LEAST_PREFERRED = 4;
const MS_A_SECOND = 1_000;

/**
 * Computes to how many paths an entry keeps: as many as it sends requests in the time for which a connection is kept,
 * so that each is used again, and an entry with few requests does not open a connection for each of them.
 * @param requestsASecond - what the entry sends to the service
 * @param idleMs - how long a connection is kept that nothing uses
 * @returns paths
 */
export function computePreferredCount(requestsASecond: number, idleMs: number): number {
    return Math.max(LEAST_PREFERRED, Math.ceil(requestsASecond * idleMs / MS_A_SECOND));
}

/**
 * Lists the paths that an entry prefers.
 * @param chains - paths of a service
 * @param entry - names the entry
 * @param most - how many it keeps to
 * @returns all where there are no more; else those that it draws, in the order of `chains`
 */
export function listPreferredChains(
    chains: readonly Chain[],
    entry: string,
    most: number,
): readonly Chain[] {
    if (chains.length <= most) {
        return chains;
    }
    const drawn = chains.map((chain) => ({ chain, rank: computeRank(chain, entry) }));
    const least = drawn.map(({ rank }) => rank).sort((left, right) => right - left)[most - 1] ?? 0;
    return drawn.filter(({ rank }) => rank >= least).map(({ chain }) => chain);
}

/** Higher for faster paths: the chance that a path comes first is in proportion to what it reads in a time. */
function computeRank(chain: Chain, entry: string): number {
    return 1 / (chain.prefillMs * -Math.log(hashToUnit(`${entry} ${chain.stages[0]?.engine.id ?? chain.id}`)));
}

const FNV_OFFSET = 2_166_136_261;
const FNV_PRIME = 16_777_619;
const HASHES = 2 ** 32;

/** FNV-1a with a last mix (as of MurmurHash3), as a figure between 0 and 1, without both. */
function hashToUnit(text: string): number {
    let hash = FNV_OFFSET;
    for (let at = 0; at < text.length; at += 1) {
        hash = Math.imul(hash ^ text.charCodeAt(at), FNV_PRIME);
    }
    hash = Math.imul(hash ^ (hash >>> 16), 0x85_eb_ca_6b);
    hash = Math.imul(hash ^ (hash >>> 13), 0xc2_b2_ae_35);
    return ((hash ^ (hash >>> 16)) >>> 0) / HASHES + 0.5 / HASHES;
}
