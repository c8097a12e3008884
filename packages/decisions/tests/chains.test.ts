import type { LayerSpan } from "@crankfork/schemas";
import { expect } from "chai";
import {
    type Chain,
    chooseChain,
    chooseChainByStaleLoad,
    computeChains,
    computeCurrentLoad,
    computeExpectedMs,
    hasChainCapacity,
    type HoldingEngine,
} from "../src/index.js";
import { format, profile, span } from "./layerProfile.js";

const holder = (
    id: string,
    held: LayerSpan,
    accelerator: string = "fast",
    failureDomain: string = "d",
): HoldingEngine => ({
    id,
    address: id,
    failureDomain,
    accelerator,
    span: held,
    slowness: 1,
});
const formatChain = (chain: Chain): string =>
    chain.stages.map((stage) => `${stage.engine.id}=${format(stage.span)}`).join(",");

const chainRows: readonly {
    readonly title: string;
    readonly engines: readonly HoldingEngine[];
    readonly chains: readonly string[];
}[] = [
    {
        title: "parts that join",
        engines: [holder("b", span(4, 10)), holder("a", span(0, 4))],
        chains: ["a=0-4,b=4-10"],
    },
    { title: "a gap", engines: [holder("a", span(0, 4)), holder("b", span(5, 10))], chains: [] },
    {
        title: "overlapping parts are cut where they meet, to the faster engine's favour",
        engines: [holder("a", span(0, 6)), holder("b", span(4, 10), "slow")],
        chains: ["a=0-6,b=6-10"],
    },
    {
        title: "paths share no engine, the fastest first",
        engines: [holder("s", span(0, 10), "slow"), holder("a", span(0, 5)), holder("b", span(5, 10))],
        chains: ["a=0-5,b=5-10", "s=0-10"],
    },
    {
        title: "around an engine that is slower than it should be",
        engines: [{ ...holder("a", span(0, 10)), slowness: 20 }, holder("s", span(0, 10), "slow")],
        chains: ["s=0-10", "a=0-10"],
    },
    {
        title: "what paths inside failure domains leave over makes one more across them",
        engines: [
            holder("a", span(0, 5)),
            holder("b", span(5, 10), "fast", "e"),
            holder("s", span(0, 10), "slow", "f"),
        ],
        chains: ["s=0-10", "a=0-5,b=5-10"],
    },
    {
        title: "a path inside a failure domain goes before one across, however fast",
        engines: [
            holder("a", span(0, 5)),
            holder("s", span(5, 10), "slow"),
            holder("b", span(5, 10), "fast", "e"),
        ],
        chains: ["a=0-5,s=5-10"],
    },
    {
        title: "several paths cross, with as few crossings as there may be",
        engines: [
            holder("a1", span(6, 10), "fast", "d"),
            holder("a2", span(2, 6), "fast", "d"),
            holder("b1", span(0, 2), "fast", "e"),
            holder("b2", span(6, 10), "fast", "e"),
            holder("c1", span(2, 6), "fast", "f"),
            holder("c2", span(0, 2), "fast", "f"),
        ],
        chains: ["b1=0-2,a2=2-6,a1=6-10", "c2=0-2,c1=2-6,b2=6-10"],
    },
    {
        title: "a copy of a first stage closes a path that lost its own before it shares another",
        engines: [
            holder("a", span(0, 4)),
            holder("b", span(4, 10)),
            holder("c", span(0, 4), "slow"),
            holder("e", span(4, 10), "fast", "e"),
        ],
        chains: ["a=0-4,b=4-10", "c=0-4,e=4-10"],
    },
    {
        title: "copies don't join a path across failure domains, which the pipes bound",
        engines: [
            holder("a", span(0, 5)),
            holder("b", span(5, 10), "fast", "e"),
            holder("c", span(0, 5), "slow"),
            holder("s", span(0, 5), "slow", "f"),
        ],
        chains: ["a=0-5,b=5-10"],
    },
    {
        title: "copies of a first stage begin paths that share the later stages",
        engines: [holder("a", span(0, 4)), holder("b", span(4, 10)), holder("c", span(0, 4), "slow")],
        chains: ["a=0-4,b=4-10", "c=0-4,b=4-10"],
    },
    {
        title: "a copy joins the path with the fewest",
        engines: [
            holder("a", span(0, 4)),
            holder("b", span(4, 10)),
            holder("c", span(0, 4), "slow"),
            holder("d", span(4, 10), "slow"),
            holder("e", span(0, 4), "slow"),
            holder("f", span(0, 4), "slow"),
        ],
        chains: ["a=0-4,b=4-10", "e=0-4,b=4-10", "c=0-4,d=4-10", "f=0-4,d=4-10"],
    },
    {
        title: "across failure domains only where nothing else is left",
        engines: [holder("a", span(0, 5)), holder("b", span(5, 10), "fast", "e")],
        chains: ["a=0-5,b=5-10"],
    },
];

describe("a path runs every layer once and in order", () => {
    for (const { title, engines, chains } of chainRows) {
        it(title, () => {
            const found = computeChains(engines, profile);
            expect(found.map(formatChain)).to.deep.equal(chains);
            found.forEach((chain) => {
                const ends = chain.stages.map((stage) => stage.span);
                expect(ends[0]?.first).to.equal(0);
                expect(ends.at(-1)?.end).to.equal(profile.layers);
                ends.slice(1).forEach((one, index) => {
                    expect(one.first).to.equal(ends[index]?.end);
                });
            });
        });
    }
});

describe("a path across failure domains costs what its activations take on the pipes", () => {
    // A hundred bytes a token over 0.8 Mbit/s are a millisecond.
    const crossed = { ...profile, activation_bytes: 100, crossing_mbps: 0.8 };
    const rows = [
        { title: "none inside a failure domain", domains: ["d", "d", "d"], crossings: 0 },
        { title: "one crossing", domains: ["d", "d", "e"], crossings: 1 },
        { title: "two crossings", domains: ["d", "e", "f"], crossings: 2 },
    ];
    for (const { title, domains, crossings } of rows) {
        it(title, () => {
            const engines = domains.map((domain, index) =>
                holder(String(index), span(index * 3, index === 2 ? 10 : index * 3 + 3), "fast", domain)
            );
            const [free] = computeChains(engines, profile);
            const [chain] = computeChains(engines, crossed);
            expect((chain?.prefillMs ?? 0) - (free?.prefillMs ?? 0)).to.be.closeTo(crossings, 1e-9);
            expect((chain?.stepMs ?? 0) - (free?.stepMs ?? 0)).to.be.closeTo(crossings, 1e-9);
        });
    }

    // Alone a path takes 0.1 ms a token beside its crossing.
    const pipeRows = [
        { title: "a wide pipe bears all paths", crossing_mbps: 1_000, paths: 4 },
        { title: "one path keeps half of it busy", crossing_mbps: 8, paths: 2 },
        { title: "one path keeps it busy", crossing_mbps: 0.008, paths: 1 },
    ];
    for (const { title, crossing_mbps, paths } of pipeRows) {
        it(`as many as keep a pipe busy, each with the way of the others: ${title}`, () => {
            const engines = ["a", "b", "c", "e"].flatMap((id) => [
                holder(`${id}1`, span(0, 5), "fast", "d"),
                holder(`${id}2`, span(5, 10), "fast", "e"),
            ]);
            const piped = { ...crossed, crossing_mbps };
            const [alone] = computeChains(engines.slice(0, 2), piped);
            const chains = computeChains(engines, piped);
            expect(chains).to.have.length(paths);
            chains.forEach(({ prefillMs: readMs }) => {
                expect(readMs - (alone?.prefillMs ?? 0)).to.be.closeTo((paths - 1) * 0.8 / crossing_mbps, 1e-9);
            });
        });
    }
});

describe("paths that cross between different failure domains don't share pipes", () => {
    const engines = ["d", "e", "f", "g"].map((domain, index) =>
        holder(domain, index % 2 === 0 ? span(0, 5) : span(5, 10), "fast", domain)
    );
    const crossed = { ...profile, activation_bytes: 100, crossing_mbps: 8 };

    it("each takes the time of its own crossing", () => {
        const chains = computeChains(engines, crossed);
        expect(chains.map(formatChain)).to.deep.equal(["d=0-5,e=5-10", "f=0-5,g=5-10"]);
        chains.forEach(({ prefillMs: readMs }) => {
            expect(readMs).to.be.closeTo(0.2, 1e-9);
        });
    });
});

describe("paths that share stages", () => {
    it("divide the memory of these", () => {
        const [alone] = computeChains([holder("a", span(0, 4)), holder("b", span(4, 10))], profile);
        const [shared] = computeChains(
            [holder("a", span(0, 4)), holder("b", span(4, 10)), holder("c", span(0, 4))],
            profile,
        );
        expect(shared?.contextTokens).to.equal((alone?.contextTokens ?? 0) / 2);
    });
});

describe("a path takes no more than its memory holds and its queue of prompts bears", () => {
    // Ten tokens a prompt, and five held of an answer: 15 tokens a request. The fast path has room for 90 tokens.
    const [chain] = computeChains([holder("f", span(0, 8)), holder("g", span(8, 10))], profile) as [Chain];
    const slow = { ...chain, prefillMs: 10 };
    const rows = [
        { title: "empty", chain, open: 0, unstarted: 0, hasRoom: true },
        { title: "below its slots", chain: { ...chain, contextTokens: 10_000 }, open: 7, unstarted: 0, hasRoom: true },
        {
            title: "its slots are taken",
            chain: { ...chain, contextTokens: 10_000 },
            open: 8,
            unstarted: 0,
            hasRoom: false,
        },
        { title: "its memory is taken", chain: { ...chain, contextTokens: 90 }, open: 6, unstarted: 0, hasRoom: false },
        { title: "few prompts wait", chain: slow, open: 3, unstarted: 3, hasRoom: true },
        {
            title: "more prompts wait than are read in time",
            chain: { ...slow, contextTokens: 10_000 },
            open: 6,
            unstarted: 6,
            hasRoom: false,
        },
        {
            title: "a path across failure domains whose pipe uses up the objective takes none",
            chain: { ...slow, prefillMs: 100, isCrossDomain: true },
            open: 0,
            unstarted: 0,
            hasRoom: false,
        },
        {
            title: "one inside a failure domain with the same figures takes a few",
            chain: { ...slow, prefillMs: 100 },
            open: 0,
            unstarted: 0,
            hasRoom: true,
        },
        {
            title: "one across whose pipe is wide takes as many as are read in time",
            chain: { ...slow, prefillMs: 10, isCrossDomain: true, contextTokens: 10_000 },
            open: 5,
            unstarted: 5,
            hasRoom: true,
        },
    ];
    for (const row of rows) {
        it(row.title, () => {
            expect(hasChainCapacity(row.chain, row, profile, 1_000)).to.equal(row.hasRoom);
        });
    }
});

describe("a load that was told some time ago has been worked on since", () => {
    const [chain] = computeChains([holder("f", span(0, 8)), holder("g", span(8, 10))], profile) as [Chain];
    // Ten tokens a prompt: a prompt takes 10 ms, and a busy path reads for 0.6 of its time.
    const slow = { ...chain, prefillMs: 1 };
    const rows = [
        { title: "told now", ageMs: 0, unstarted: 6 },
        { title: "some prompts were read", ageMs: 50, unstarted: 3 },
        { title: "all were read", ageMs: 500, unstarted: 0 },
    ];
    for (const { title, ageMs, unstarted } of rows) {
        it(title, () => {
            const load = { open: 8, unstarted: 6 };
            expect(computeCurrentLoad(slow, load, profile, ageMs)).to.deep.equal({ open: 8, unstarted });
        });
    }
});

describe("a request takes the path on which it is answered soonest", () => {
    const [fast, slow] = computeChains(
        [holder("f", span(0, 10)), holder("s", span(0, 10), "slow", "e")],
        profile,
    ) as [Chain, Chain];
    const size = { promptTokens: 100, answerTokens: 20 };
    const rows = [
        { title: "the fast one while both are empty", open: [0, 0], choice: "f" },
        { title: "the fast one while its queue costs less than the other's pace", open: [30, 0], choice: "f" },
        { title: "the slow one when the fast one is full enough", open: [80, 0], choice: "s" },
    ] as const;
    for (const { title, open, choice } of rows) {
        it(title, () => {
            const loaded = [
                { chain: fast, open: open[0], unstarted: 0 },
                { chain: slow, open: open[1], unstarted: 0 },
            ];
            expect(chooseChain(loaded, size)?.chain.stages[0]?.engine.id).to.equal(choice);
        });
    }

    it("none where there is no path", () => {
        expect(chooseChain([], size)).to.equal(undefined);
    });

    it("a longer prompt and a longer answer take longer", () => {
        const loaded = { chain: fast, open: 1, unstarted: 0 };
        const base = computeExpectedMs(loaded, size);
        expect(computeExpectedMs(loaded, { ...size, promptTokens: 200 })).to.be.above(base);
        expect(computeExpectedMs(loaded, { ...size, answerTokens: 40 })).to.be.above(base);
        expect(computeExpectedMs({ ...loaded, unstarted: 1 }, size)).to.be.above(base);
    });

    const lateRows = [
        { title: "none is unseen: the best", unseen: 0, draw: 0.99, most: 100, choice: "f" },
        { title: "the first among the unseen takes the best", unseen: 100, draw: 0, most: 100, choice: "f" },
        { title: "the last among the unseen takes what they leave", unseen: 100, draw: 0.99, most: 60, choice: "s" },
        { title: "the unseen fill the room of all paths", unseen: 100, draw: 0.99, most: 20, choice: undefined },
        { title: "one that comes early still finds room", unseen: 100, draw: 0.1, most: 20, choice: "f" },
    ] as const;
    for (const { title, unseen, draw, most, choice } of lateRows) {
        it(`loads that were told late: ${title}`, () => {
            const chains = [fast, slow].map((chain) => ({ chain, open: 0, unstarted: 0 }));
            const chosen = chooseChainByStaleLoad({
                chains,
                size,
                unreportedRequests: unseen,
                draw,
                hasCapacity: (loaded) => loaded.open < most,
            });
            expect(chosen?.chain.stages[0]?.engine.id).to.equal(choice);
        });
    }

    it("all entries together lay requests on both paths in the proportion of their pace", () => {
        const chains = [fast, slow].map((chain) => ({ chain, open: 0, unstarted: 0 }));
        const choices = Array.from(
            { length: 100 },
            (_, place) =>
                chooseChainByStaleLoad({
                    chains,
                    size,
                    unreportedRequests: 99,
                    draw: place / 100,
                    hasCapacity: () => true,
                }),
        );
        const onFast = choices.filter((chosen) => chosen?.chain === fast).length;
        expect(onFast).to.be.within(60, 95);
    });
});
