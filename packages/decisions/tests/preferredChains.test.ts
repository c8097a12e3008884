import { expect } from "chai";
import {
    type Chain,
    chooseChainByStaleLoad,
    computeChains,
    computePreferredCount,
    type HoldingEngine,
    listPreferredChains,
    type LoadedChain,
} from "../src/index.js";
import { profile, span } from "./layerProfile.js";

/** Chains of one engine each; every third is twice as slow. */
const createChains = (count: number): readonly Chain[] => {
    const engines: HoldingEngine[] = Array.from({ length: count }, (_, index) => ({
        id: `engine-${String(index)}`,
        address: String(index),
        failureDomain: "d",
        accelerator: "fast",
        span: span(0, 10),
        slowness: index % 3 === 0 ? 2 : 1,
    }));
    return computeChains(engines, profile);
};
const listIds = (chains: readonly Chain[]): readonly string[] => chains.map(({ id }) => id).sort();
const entries = Array.from({ length: 195 }, (_, index) => `entry-${String(index)}`);

describe("an entry prefers a few chains", () => {
    const rows = [
        { title: "none", chains: 0, preferred: 0 },
        { title: "fewer than the limit", chains: 3, preferred: 3 },
        { title: "as many", chains: 4, preferred: 4 },
        { title: "more", chains: 46, preferred: 4 },
    ];
    for (const { title, chains, preferred } of rows) {
        it(title, () => {
            expect(listPreferredChains(createChains(chains), "entry-1", 4)).to.have.length(preferred);
        });
    }

    it("the same ones each time, and others than another entry", () => {
        const chains = createChains(46);
        const [first = "", second = ""] = entries;
        const list = (entry: string): readonly string[] => listIds(listPreferredChains(chains, entry, 4));
        expect(list(first)).to.deep.equal(list(first));
        expect(list(first)).to.not.deep.equal(list(second));
    });

    it("a removed chain is replaced by one, and the others stay", () => {
        const chains = createChains(46);
        entries.forEach((entry) => {
            const before = listPreferredChains(chains, entry, 4);
            const lost = before[0];
            const after = listPreferredChains(chains.filter((chain) => chain !== lost), entry, 4);
            expect(after).to.include.members(before.slice(1));
        });
    });

    it("all entries together prefer each chain in proportion to its speed", () => {
        const chains = createChains(46);
        const preferredFirst = entries.flatMap((entry) => listPreferredChains(chains, entry, 1));
        const count = (isSlow: boolean): number =>
            preferredFirst.filter((chain) => (chain.prefillMs > (chains[0]?.prefillMs ?? 0)) === isSlow).length;
        // 16 of 46 chains have half the speed: 8 parts to 30.
        expect(count(true) / entries.length).to.be.closeTo(8 / 38, 0.06);
    });
});

describe("it prefers as many as it sends requests within a connection's idle timeout", () => {
    const rows = [
        { title: "nearly nothing", requestsPerSecond: 0.1, count: 4 },
        { title: "a request a second", requestsPerSecond: 1, count: 4 },
        { title: "two and a half", requestsPerSecond: 2.5, count: 10 },
        { title: "a busy one", requestsPerSecond: 30, count: 120 },
    ];
    for (const { title, requestsPerSecond, count } of rows) {
        it(title, () => {
            expect(computePreferredCount(requestsPerSecond, 4_000)).to.equal(count);
        });
    }
});

/** A seeded generator of numbers from 0 up to 1 (Park and Miller). */
const createRandom = (seed: number): () => number => {
    let state = seed;
    return () => {
        state = state * 48_271 % 2_147_483_647;
        return state / 2_147_483_647;
    };
};

interface Replay {
    /** Connections opened per request. */
    readonly connectionsOpened: number;
    /** Mean number of open requests on the chosen chain, over all arrivals. */
    readonly openOnChosen: number;
}

const REQUESTS_PER_SECOND = 1.2;
const ANSWER_MS = 2_500;
const IDLE_MS = 4_000;
const KNOWN_AFTER_MS = 400;
const SECONDS = 60;

interface Sent {
    readonly chainId: string;
    readonly atMs: number;
}

/**
 * Entries with 1.2 requests a second each, which know of each other's after 0.4 s and keep a connection for 4 s.
 * @param limit - chains that an entry prefers
 */
function replay(limit: number): Replay {
    const random = createRandom(7);
    const chains = createChains(46);
    const preferred = new Map(entries.map((entry) => [entry, listPreferredChains(chains, entry, limit)]));
    const arrivals = entries.length * REQUESTS_PER_SECOND * SECONDS;
    const times = Array.from({ length: arrivals }, () => random() * SECONDS * 1_000).sort((a, b) => a - b);
    const sent: (Sent & { entry: string; })[] = [];
    const freeFromMs = new Map<string, number[]>();
    let connectionsOpened = 0;
    let openOnChosen = 0;
    times.forEach((nowMs) => {
        const entry = entries[Math.floor(random() * entries.length)] ?? "";
        const open = sent.filter(({ atMs }) => atMs > nowMs - ANSWER_MS);
        const known = open.filter((one) => one.entry === entry || one.atMs < nowMs - KNOWN_AFTER_MS);
        const candidates: LoadedChain[] = (preferred.get(entry) ?? []).map((chain) => ({
            chain,
            open: known.filter(({ chainId }) => chainId === chain.id).length,
            unstarted: 0,
        }));
        const chosen = chooseChainByStaleLoad({
            chains: candidates,
            size: { promptTokens: 772, answerTokens: 141 },
            unreportedRequests: Math.round((open.length - known.length) * candidates.length / chains.length),
            hasCapacity: () => true,
            draw: random(),
        });
        const chainId = chosen?.chain.id ?? "";
        openOnChosen += open.filter((one) => one.chainId === chainId).length;
        sent.push({ entry, chainId, atMs: nowMs });
        const key = `${entry} ${chainId}`;
        const kept = (freeFromMs.get(key) ?? []).filter((fromMs) => fromMs > nowMs - IDLE_MS);
        const free = kept.findIndex((fromMs) => fromMs <= nowMs);
        connectionsOpened += free === -1 ? 1 : 0;
        freeFromMs.set(key, [...kept.filter((_, index) => index !== free), nowMs + ANSWER_MS]);
    });
    return { connectionsOpened: connectionsOpened / arrivals, openOnChosen: openOnChosen / arrivals };
}

describe("a replay of 195 entries with a request a second each and 46 chains", () => {
    const all = replay(46);
    const few = replay(computePreferredCount(REQUESTS_PER_SECOND, IDLE_MS));

    it("opens little more than half of the connections", () => {
        expect(few.connectionsOpened).to.be.below(all.connectionsOpened * 0.6);
    });

    it("finds chains that are about as lightly loaded", () => {
        expect(few.openOnChosen).to.be.below(all.openOnChosen * 1.1);
    });
});
