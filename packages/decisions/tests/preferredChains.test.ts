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

/** Paths of one engine each; every third is twice as slow. */
const createPaths = (count: number): readonly Chain[] => {
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

describe("an entry keeps to a few paths", () => {
    const rows = [
        { title: "none", paths: 0, preferred: 0 },
        { title: "fewer than it keeps to", paths: 3, preferred: 3 },
        { title: "as many", paths: 4, preferred: 4 },
        { title: "more", paths: 46, preferred: 4 },
    ];
    for (const { title, paths, preferred } of rows) {
        it(title, () => {
            expect(listPreferredChains(createPaths(paths), "entry-1", 4)).to.have.length(preferred);
        });
    }

    it("the same ones each time, and others than another entry", () => {
        const paths = createPaths(46);
        const [first = "", second = ""] = entries;
        const list = (entry: string): readonly string[] => listIds(listPreferredChains(paths, entry, 4));
        expect(list(first)).to.deep.equal(list(first));
        expect(list(first)).to.not.deep.equal(list(second));
    });

    it("a path that goes is replaced by one, and the others stay", () => {
        const paths = createPaths(46);
        entries.forEach((entry) => {
            const before = listPreferredChains(paths, entry, 4);
            const lost = before[0];
            const after = listPreferredChains(paths.filter((path) => path !== lost), entry, 4);
            expect(after).to.include.members(before.slice(1));
        });
    });

    it("all entries together draw each path about as often as it is fast", () => {
        const paths = createPaths(46);
        const drawn = entries.flatMap((entry) => listPreferredChains(paths, entry, 1));
        const count = (isSlow: boolean): number =>
            drawn.filter((path) => (path.prefillMs > (paths[0]?.prefillMs ?? 0)) === isSlow).length;
        // Sixteen slow ones of half the speed beside thirty: 8 parts to 30.
        expect(count(true) / entries.length).to.be.closeTo(8 / 38, 0.06);
    });
});

describe("it keeps to as many as it sends requests while a connection is kept", () => {
    const rows = [
        { title: "nearly nothing", requestsASecond: 0.1, count: 4 },
        { title: "a request a second", requestsASecond: 1, count: 4 },
        { title: "two and a half", requestsASecond: 2.5, count: 10 },
        { title: "a busy one", requestsASecond: 30, count: 120 },
    ];
    for (const { title, requestsASecond, count } of rows) {
        it(title, () => {
            expect(computePreferredCount(requestsASecond, 4_000)).to.equal(count);
        });
    }
});

/** A seeded source of figures from 0 up to 1 (Park and Miller's). */
const createRandom = (seed: number): () => number => {
    let state = seed;
    return () => {
        state = state * 48_271 % 2_147_483_647;
        return state / 2_147_483_647;
    };
};

interface Replay {
    /** Connections opened for a request. */
    readonly opened: number;
    /** Mean, over the arrivals, of what was open on the path that was taken. */
    readonly openThere: number;
}

const REQUESTS_A_SECOND = 1.2;
const ANSWER_MS = 2_500;
const IDLE_MS = 4_000;
const KNOWN_AFTER_MS = 400;
const SECONDS = 60;

interface Sent {
    readonly path: string;
    readonly atMs: number;
}

/**
 * Entries that each see 1.2 requests a second, know of each other's after 0.4 s, and keep a connection for 4 s.
 * @param most - paths that an entry keeps to
 */
function replay(most: number): Replay {
    const random = createRandom(7);
    const paths = createPaths(46);
    const preferred = new Map(entries.map((entry) => [entry, listPreferredChains(paths, entry, most)]));
    const arrivals = entries.length * REQUESTS_A_SECOND * SECONDS;
    const times = Array.from({ length: arrivals }, () => random() * SECONDS * 1_000).sort((a, b) => a - b);
    const sent: (Sent & { entry: string; })[] = [];
    const freeFromMs = new Map<string, number[]>();
    let opened = 0;
    let openThere = 0;
    times.forEach((nowMs) => {
        const entry = entries[Math.floor(random() * entries.length)] ?? "";
        const open = sent.filter(({ atMs }) => atMs > nowMs - ANSWER_MS);
        const known = open.filter((one) => one.entry === entry || one.atMs < nowMs - KNOWN_AFTER_MS);
        const chains: LoadedChain[] = (preferred.get(entry) ?? []).map((chain) => ({
            chain,
            open: known.filter(({ path }) => path === chain.id).length,
            unstarted: 0,
        }));
        const chosen = chooseChainByStaleLoad({
            chains,
            size: { promptTokens: 772, answerTokens: 141 },
            unreportedRequests: Math.round((open.length - known.length) * chains.length / paths.length),
            hasCapacity: () => true,
            draw: random(),
        });
        const path = chosen?.chain.id ?? "";
        openThere += open.filter((one) => one.path === path).length;
        sent.push({ entry, path, atMs: nowMs });
        const key = `${entry} ${path}`;
        const kept = (freeFromMs.get(key) ?? []).filter((fromMs) => fromMs > nowMs - IDLE_MS);
        const free = kept.findIndex((fromMs) => fromMs <= nowMs);
        opened += free === -1 ? 1 : 0;
        freeFromMs.set(key, [...kept.filter((_, index) => index !== free), nowMs + ANSWER_MS]);
    });
    return { opened: opened / arrivals, openThere: openThere / arrivals };
}

describe("a replay of 195 entries of a request a second before 46 paths", () => {
    const all = replay(46);
    const few = replay(computePreferredCount(REQUESTS_A_SECOND, IDLE_MS));

    it("opens little more than half of the connections", () => {
        expect(few.opened).to.be.below(all.opened * 0.6);
    });

    it("finds paths that are about as little loaded", () => {
        expect(few.openThere).to.be.below(all.openThere * 1.1);
    });
});
