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
        title: "spans that join",
        engines: [holder("b", span(4, 10)), holder("a", span(0, 4))],
        chains: ["a=0-4,b=4-10"],
    },
    { title: "a gap", engines: [holder("a", span(0, 4)), holder("b", span(5, 10))], chains: [] },
    {
        title: "overlapping spans are cut where they meet, in favour of the faster engine",
        engines: [holder("a", span(0, 6)), holder("b", span(4, 10), "slow")],
        chains: ["a=0-6,b=6-10"],
    },
    {
        title: "chains share no engine, the fastest first",
        engines: [holder("s", span(0, 10), "slow"), holder("a", span(0, 5)), holder("b", span(5, 10))],
        chains: ["a=0-5,b=5-10", "s=0-10"],
    },
    {
        title: "avoids an engine that is slower than it should be",
        engines: [{ ...holder("a", span(0, 10)), slowness: 20 }, holder("s", span(0, 10), "slow")],
        chains: ["s=0-10", "a=0-10"],
    },
    {
        title: "engines left over inside failure domains form one more chain across them",
        engines: [
            holder("a", span(0, 5)),
            holder("b", span(5, 10), "fast", "e"),
            holder("s", span(0, 10), "slow", "f"),
        ],
        chains: ["s=0-10", "a=0-5,b=5-10"],
    },
    {
        title: "a chain inside a failure domain goes before one across, however fast",
        engines: [
            holder("a", span(0, 5)),
            holder("s", span(5, 10), "slow"),
            holder("b", span(5, 10), "fast", "e"),
        ],
        chains: ["a=0-5,s=5-10"],
    },
    {
        title: "several chains cross, with as few crossings as possible",
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
        title: "a copy of a first stage completes a chain that lost its own before it shares another",
        engines: [
            holder("a", span(0, 4)),
            holder("b", span(4, 10)),
            holder("c", span(0, 4), "slow"),
            holder("e", span(4, 10), "fast", "e"),
        ],
        chains: ["a=0-4,b=4-10", "c=0-4,e=4-10"],
    },
    {
        title: "copies don't join a chain across failure domains, which is bound by the links",
        engines: [
            holder("a", span(0, 5)),
            holder("b", span(5, 10), "fast", "e"),
            holder("c", span(0, 5), "slow"),
            holder("s", span(0, 5), "slow", "f"),
        ],
        chains: ["a=0-5,b=5-10"],
    },
    {
        title: "copies of a first stage begin chains that share the later stages",
        engines: [holder("a", span(0, 4)), holder("b", span(4, 10)), holder("c", span(0, 4), "slow")],
        chains: ["a=0-4,b=4-10", "c=0-4,b=4-10"],
    },
    {
        title: "a copy joins the chain with the fewest copies",
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
        title: "across failure domains only where there is no alternative",
        engines: [holder("a", span(0, 5)), holder("b", span(5, 10), "fast", "e")],
        chains: ["a=0-5,b=5-10"],
    },
];

describe("a chain runs every layer once and in order", () => {
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

describe("the cost of a chain across failure domains includes the transfer of its activations", () => {
    // 100 bytes a token at 0.8 Mbit/s take 1 ms.
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

    // A chain alone takes 0.1 ms a token beside its transfers.
    const linkRows = [
        { title: "a fast link serves all chains", crossing_mbps: 1_000, expectedChains: 4 },
        { title: "one chain uses half of the link", crossing_mbps: 8, expectedChains: 2 },
        { title: "one chain keeps the link busy", crossing_mbps: 0.008, expectedChains: 1 },
    ];
    for (const { title, crossing_mbps, expectedChains } of linkRows) {
        it(`as many as keep a link busy, each delayed by the transfers of the others: ${title}`, () => {
            const engines = ["a", "b", "c", "e"].flatMap((id) => [
                holder(`${id}1`, span(0, 5), "fast", "d"),
                holder(`${id}2`, span(5, 10), "fast", "e"),
            ]);
            const limited = { ...crossed, crossing_mbps };
            const [alone] = computeChains(engines.slice(0, 2), limited);
            const chains = computeChains(engines, limited);
            expect(chains).to.have.length(expectedChains);
            chains.forEach(({ prefillMs }) => {
                expect(prefillMs - (alone?.prefillMs ?? 0)).to.be.closeTo(
                    (expectedChains - 1) * 0.8 / crossing_mbps,
                    1e-9,
                );
            });
        });
    }
});

describe("chains that cross between different failure domains don't share links", () => {
    const engines = ["d", "e", "f", "g"].map((domain, index) =>
        holder(domain, index % 2 === 0 ? span(0, 5) : span(5, 10), "fast", domain)
    );
    const crossed = { ...profile, activation_bytes: 100, crossing_mbps: 8 };

    it("each takes the time of its own transfers", () => {
        const chains = computeChains(engines, crossed);
        expect(chains.map(formatChain)).to.deep.equal(["d=0-5,e=5-10", "f=0-5,g=5-10"]);
        chains.forEach(({ prefillMs }) => {
            expect(prefillMs).to.be.closeTo(0.2, 1e-9);
        });
    });
});

describe("chains that share stages", () => {
    it("divide the memory of the shared stages", () => {
        const [alone] = computeChains([holder("a", span(0, 4)), holder("b", span(4, 10))], profile);
        const [shared] = computeChains(
            [holder("a", span(0, 4)), holder("b", span(4, 10)), holder("c", span(0, 4))],
            profile,
        );
        expect(shared?.contextTokens).to.equal((alone?.contextTokens ?? 0) / 2);
    });
});

describe("a chain takes no more requests than fit its memory and its prompt queue", () => {
    // 10 prompt tokens and 5 held answer tokens: 15 tokens a request.
    const [chain] = computeChains([holder("f", span(0, 8)), holder("g", span(8, 10))], profile) as [Chain];
    const slow = { ...chain, prefillMs: 10 };
    const rows = [
        { title: "empty", chain, open: 0, unstarted: 0, hasCapacity: true },
        {
            title: "below its slots",
            chain: { ...chain, contextTokens: 10_000 },
            open: 7,
            unstarted: 0,
            hasCapacity: true,
        },
        {
            title: "its slots are taken",
            chain: { ...chain, contextTokens: 10_000 },
            open: 8,
            unstarted: 0,
            hasCapacity: false,
        },
        {
            title: "its memory is taken",
            chain: { ...chain, contextTokens: 90 },
            open: 6,
            unstarted: 0,
            hasCapacity: false,
        },
        { title: "few prompts are queued", chain: slow, open: 3, unstarted: 3, hasCapacity: true },
        {
            title: "more prompts are queued than can be processed in time",
            chain: { ...slow, contextTokens: 10_000 },
            open: 6,
            unstarted: 6,
            hasCapacity: false,
        },
        {
            title: "a chain across failure domains whose link uses up the objective takes none",
            chain: { ...slow, prefillMs: 100, isCrossDomain: true },
            open: 0,
            unstarted: 0,
            hasCapacity: false,
        },
        {
            title: "a chain inside a failure domain with the same prefill time takes a few",
            chain: { ...slow, prefillMs: 100 },
            open: 0,
            unstarted: 0,
            hasCapacity: true,
        },
        {
            title: "a chain across failure domains with a fast link takes as many as are processed in time",
            chain: { ...slow, prefillMs: 10, isCrossDomain: true, contextTokens: 10_000 },
            open: 5,
            unstarted: 5,
            hasCapacity: true,
        },
    ];
    for (const row of rows) {
        it(row.title, () => {
            expect(hasChainCapacity(row.chain, row, profile, 1_000)).to.equal(row.hasCapacity);
        });
    }
});

describe("an old load report is corrected by the prefill done since", () => {
    const [chain] = computeChains([holder("f", span(0, 8)), holder("g", span(8, 10))], profile) as [Chain];
    // 10 tokens a prompt: a prompt takes 10 ms, and a busy chain spends 0.6 of its time on prefill.
    const slow = { ...chain, prefillMs: 1 };
    const rows = [
        { title: "reported now", ageMs: 0, unstarted: 6 },
        { title: "some prompts were processed", ageMs: 50, unstarted: 3 },
        { title: "all were processed", ageMs: 500, unstarted: 0 },
    ];
    for (const { title, ageMs, unstarted } of rows) {
        it(title, () => {
            const load = { open: 8, unstarted: 6 };
            expect(computeCurrentLoad(slow, load, profile, ageMs)).to.deep.equal({ open: 8, unstarted });
        });
    }
});

describe("a request takes the chain on which it is answered soonest", () => {
    const [fast, slow] = computeChains(
        [holder("f", span(0, 10)), holder("s", span(0, 10), "slow", "e")],
        profile,
    ) as [Chain, Chain];
    const size = { promptTokens: 100, answerTokens: 20 };
    const rows = [
        { title: "the fast one while both are empty", open: [0, 0], choice: "f" },
        {
            title: "the fast one while its queue costs less than the slower speed of the other",
            open: [30, 0],
            choice: "f",
        },
        { title: "the slow one when the fast one is loaded enough", open: [80, 0], choice: "s" },
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

    it("none where there is no chain", () => {
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
        { title: "no unreported requests: the best chain", unreported: 0, draw: 0.99, most: 100, choice: "f" },
        {
            title: "the first of the unreported requests takes the best chain",
            unreported: 100,
            draw: 0,
            most: 100,
            choice: "f",
        },
        {
            title: "the last of the unreported requests takes what the others leave",
            unreported: 100,
            draw: 0.99,
            most: 60,
            choice: "s",
        },
        {
            title: "the unreported requests use up the capacity of all chains",
            unreported: 100,
            draw: 0.99,
            most: 20,
            choice: undefined,
        },
        { title: "an early one still finds capacity", unreported: 100, draw: 0.1, most: 20, choice: "f" },
    ] as const;
    for (const { title, unreported, draw, most, choice } of lateRows) {
        it(`stale load reports: ${title}`, () => {
            const chains = [fast, slow].map((chain) => ({ chain, open: 0, unstarted: 0 }));
            const chosen = chooseChainByStaleLoad({
                chains,
                size,
                unreportedRequests: unreported,
                draw,
                hasCapacity: (loaded) => loaded.open < most,
            });
            expect(chosen?.chain.stages[0]?.engine.id).to.equal(choice);
        });
    }

    // An entry with a fifth of a core compares ten chains for 45 unreported requests, whenever a request waits or comes.
    it("stale load reports: a chain is evaluated anew only where its load has changed", () => {
        const chains = Array.from({ length: 10 }, () => ({ chain: fast, open: 0, unstarted: 0 }));
        let evaluations = 0;
        chooseChainByStaleLoad({
            chains,
            size,
            unreportedRequests: 44,
            draw: 0.999,
            hasCapacity: () => {
                evaluations += 1;
                return true;
            },
        });
        expect(evaluations).to.equal(10 + 44);
    });

    it("all entries together distribute requests over both chains in proportion to their speed", () => {
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
