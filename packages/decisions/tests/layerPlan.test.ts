import type { EngineProfile, LayerSpan } from "@crankfork/schemas";
import { expect } from "chai";
import {
    type Chain,
    chooseChain,
    chooseChainLate,
    computeChains,
    computeExpectedMs,
    computeLayerPlan,
    computeLayerRoom,
    computeLoadNow,
    hasChainRoom,
    type HoldingEngine,
    isPlacementDue,
    type PlannedEngine,
} from "../src/index.js";

/** Ten layers; a fast engine holds 4 beside its requests, a slow one 2. */
const profile: EngineProfile = {
    layers: 10,
    layer_mb: 100,
    token_bytes: 10_000_000,
    capacity_tokens: 100,
    slots: 8,
    step_ms: 1,
    step_ms_a_request: 0,
    read_tokens_a_second: 10_000,
    load_ms: 1_000,
    usual_prompt_tokens: 10,
    usual_answer_tokens: 10,
    accelerators: [
        { name: "fast", memory_mb: 850, step_factor: 1, read_factor: 1 },
        { name: "slow", memory_mb: 450, step_factor: 10, read_factor: 5 },
    ],
};

const span = (first: number, end: number): LayerSpan => ({ first, end });
const engine = (id: string, accelerator: string, held?: LayerSpan, failureDomain: string = "d"): PlannedEngine => ({
    id,
    failureDomain,
    accelerator,
    span: held,
    slowness: 1,
    mayBeOrdered: held === undefined,
});
const holding = (id: string, accelerator: string, held: LayerSpan): PlannedEngine => ({
    ...engine(id, accelerator, held),
    mayBeOrdered: true,
});
const format = (layers: LayerSpan): string => `${String(layers.first)}-${String(layers.end)}`;
const formatPlan = (engines: readonly PlannedEngine[]): string =>
    computeLayerPlan(engines, profile).map((order) => `${order.id}=${format(order.span)}`).join(" ");

const planRows: readonly {
    readonly title: string;
    readonly engines: readonly PlannedEngine[];
    readonly plan: string;
}[] = [
    { title: "nothing to place", engines: [], plan: "" },
    {
        title: "the fastest engines come first, the last takes what is left",
        engines: [engine("s1", "slow"), engine("f1", "fast"), engine("f2", "fast"), engine("s2", "slow")],
        plan: "f1=6-10 f2=2-6 s1=0-2 s2=0-2",
    },
    {
        title: "a second path is begun only where the engines reach to its end",
        engines: ["f1", "f2", "f3", "f4", "f5"].map((id) => engine(id, "fast")),
        plan: "f1=6-10 f2=2-6 f3=0-2 f4=0-2 f5=0-2",
    },
    {
        title: "two paths where there is room for two",
        engines: ["f1", "f2", "f3", "f4", "f5", "f6"].map((id) => engine(id, "fast")),
        plan: "f1=6-10 f2=2-6 f3=0-2 f4=6-10 f5=2-6 f6=0-2",
    },
    {
        title: "a lost part is filled by empty engines, and the others keep theirs",
        engines: [
            engine("f1", "fast", span(0, 4)),
            engine("f3", "fast", span(8, 10)),
            engine("s1", "slow"),
            engine("s2", "slow"),
        ],
        plan: "s1=6-8 s2=4-6",
    },
    {
        title: "a hole that can't be closed with the usual memory for requests is closed with less",
        engines: [engine("f1", "fast", span(0, 4)), engine("f2", "fast", span(7, 10)), engine("s1", "slow")],
        plan: "s1=4-7",
    },
    {
        title: "a hole that can't be closed yet is filled as far as it goes",
        engines: [engine("f1", "fast", span(0, 4)), engine("s1", "slow")],
        plan: "s1=8-10",
    },
    {
        title: "an engine with an order under way counts as holding, and gets no other",
        engines: [
            { ...engine("f1", "fast", span(0, 4)), mayBeOrdered: false },
            engine("f2", "fast"),
            engine("f3", "fast"),
        ],
        plan: "f2=6-10 f3=4-6",
    },
    {
        title: "no path crosses from one failure domain to another",
        engines: [engine("a", "fast", undefined, "d1"), engine("b", "fast", undefined, "d2")],
        plan: "a=6-10 b=6-10",
    },
    {
        title: "an engine that is far too slow is covered by empty ones, and takes nothing more",
        engines: [
            { ...engine("f1", "fast", span(0, 10)), slowness: 5 },
            engine("f2", "fast"),
            engine("f3", "fast"),
            engine("f4", "fast"),
        ],
        plan: "f2=6-10 f3=2-6 f4=0-2",
    },
    {
        title: "one that is far too slow and still faster than all others keeps its layers",
        engines: [
            { ...engine("f1", "fast", span(2, 10)), slowness: 5 },
            holding("s1", "slow", span(0, 2)),
            holding("s2", "slow", span(0, 2)),
            engine("s3", "slow"),
        ],
        plan: "s3=0-2",
    },
    {
        title: "what stood in for a slow engine that is well again holds a copy of the first stage",
        engines: [
            holding("f1", "fast", span(2, 10)),
            holding("s1", "slow", span(0, 2)),
            holding("s2", "slow", span(8, 10)),
        ],
        plan: "s2=0-2",
    },
    {
        title: "a second path is no copy",
        engines: [
            holding("f1", "fast", span(2, 10)),
            holding("f2", "fast", span(2, 10)),
            holding("s1", "slow", span(0, 2)),
            holding("s2", "slow", span(0, 2)),
        ],
        plan: "",
    },
    {
        title: "a fast engine that comes back takes over what slow ones hold",
        engines: [
            holding("f1", "fast", span(6, 10)),
            holding("s1", "slow", span(4, 6)),
            holding("s2", "slow", span(2, 4)),
            holding("s3", "slow", span(0, 2)),
            engine("f2", "fast"),
        ],
        plan: "f2=0-4",
    },
    {
        title: "one with room left takes over more, and keeps what it holds",
        engines: [
            holding("f1", "fast", span(6, 10)),
            holding("f2", "fast", span(5, 6)),
            holding("s1", "slow", span(3, 5)),
            holding("s2", "slow", span(1, 3)),
            holding("s3", "slow", span(0, 1)),
        ],
        plan: "f2=2-6",
    },
    {
        title: "nothing is taken over while an order is under way",
        engines: [
            holding("f1", "fast", span(2, 10)),
            holding("s1", "slow", span(0, 2)),
            engine("s2", "slow", span(0, 2)),
            engine("f2", "fast"),
        ],
        plan: "f2=0-2",
    },
    {
        title: "a slow engine keeps its layers until the one that takes them over has loaded them",
        engines: [
            holding("f1", "fast", span(6, 10)),
            engine("f2", "fast", span(2, 6)),
            holding("s1", "slow", span(4, 6)),
            holding("s2", "slow", span(2, 4)),
            holding("s3", "slow", span(0, 2)),
        ],
        plan: "",
    },
    {
        title: "one that is a little slow is not",
        engines: [{ ...engine("f1", "fast", span(0, 10)), slowness: 1.5 }, engine("f2", "fast")],
        plan: "",
    },
    {
        title: "an engine that is left over holds a copy of the first stage",
        engines: [engine("f1", "fast", span(2, 10)), engine("s1", "slow", span(0, 2)), engine("s2", "slow")],
        plan: "s2=0-2",
    },
    {
        title: "the first stage with the fewest copies goes first",
        engines: [
            engine("f1", "fast", span(2, 10)),
            engine("f2", "fast", span(1, 10)),
            engine("s1", "slow", span(0, 2)),
            engine("s2", "slow", span(0, 2)),
            engine("s3", "slow", span(0, 1)),
            engine("s4", "slow"),
        ],
        plan: "s4=0-1",
    },
    {
        title: "no copy where the first stage does not fit",
        engines: [engine("f1", "fast", span(4, 10)), engine("f2", "fast", span(0, 4)), engine("s1", "slow")],
        plan: "",
    },
    {
        title: "a copy is given up for a gap",
        engines: [
            engine("f1", "fast", span(4, 10)),
            holding("s1", "slow", span(0, 2)),
            holding("s2", "slow", span(0, 2)),
        ],
        plan: "s1=2-4",
    },
    {
        title: "an empty engine goes before a copy, and the last copy stays",
        engines: [
            engine("f1", "fast", span(6, 10)),
            holding("s1", "slow", span(0, 2)),
            holding("s2", "slow", span(0, 2)),
            engine("s3", "slow"),
        ],
        plan: "s3=4-6 s1=2-4",
    },
    {
        title: "a copy that an order is under way for stays",
        engines: [
            engine("f1", "fast", span(4, 10)),
            engine("s1", "slow", span(0, 2)),
            engine("s2", "slow", span(0, 2)),
        ],
        plan: "",
    },
    { title: "an unknown accelerator takes nothing", engines: [engine("x", "odd")], plan: "" },
];

describe("layers go to few fast engines inside a failure domain", () => {
    for (const { title, engines, plan } of planRows) {
        it(title, () => {
            expect(formatPlan(engines)).to.equal(plan);
        });
    }

    it("no engine is given more than fits beside the requests", () => {
        const rooms = profile.accelerators.map((accelerator) => computeLayerRoom(accelerator, profile));
        expect(rooms).to.deep.equal([4, 2]);
        profile.accelerators.forEach((accelerator, index) => {
            expect((rooms[index] ?? 0) * profile.layer_mb).to.be.below(accelerator.memory_mb);
        });
    });
});

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
        title: "a path inside a failure domain goes before one across, however fast",
        engines: [
            holder("a", span(0, 5)),
            holder("b", span(5, 10), "fast", "e"),
            holder("s", span(0, 10), "slow", "f"),
        ],
        chains: ["s=0-10"],
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

describe("layers are placed with the whole fleet in view", () => {
    const rows = [
        { title: "engines still arrive", isBegun: false, sinceArrivalMs: 900, isDue: false },
        { title: "a heartbeat without a new one", isBegun: false, sinceArrivalMs: 1_000, isDue: true },
        { title: "some hold layers already", isBegun: true, sinceArrivalMs: 0, isDue: true },
    ];
    for (const { title, isDue, ...arrivals } of rows) {
        it(title, () => {
            expect(isPlacementDue({ ...arrivals, heartbeatMs: 1_000 })).to.equal(isDue);
        });
    }
});

describe("a path takes no more than its memory holds and its queue of prompts bears", () => {
    // Ten tokens a prompt, and five held of an answer: 15 tokens a request. The fast path has room for 90 tokens.
    const [chain] = computeChains([holder("f", span(0, 8)), holder("g", span(8, 10))], profile) as [Chain];
    const slow = { ...chain, readMs: 10 };
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
    ];
    for (const row of rows) {
        it(row.title, () => {
            expect(hasChainRoom(row.chain, row, profile, 1_000)).to.equal(row.hasRoom);
        });
    }
});

describe("a load that was told some time ago has been worked on since", () => {
    const [chain] = computeChains([holder("f", span(0, 8)), holder("g", span(8, 10))], profile) as [Chain];
    // Ten tokens a prompt: a prompt takes 10 ms, and a busy path reads for 0.6 of its time.
    const slow = { ...chain, readMs: 1 };
    const rows = [
        { title: "told now", ageMs: 0, unstarted: 6 },
        { title: "some prompts were read", ageMs: 50, unstarted: 3 },
        { title: "all were read", ageMs: 500, unstarted: 0 },
    ];
    for (const { title, ageMs, unstarted } of rows) {
        it(title, () => {
            const load = { open: 8, unstarted: 6 };
            expect(computeLoadNow(slow, load, profile, ageMs)).to.deep.equal({ open: 8, unstarted });
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
            const chosen = chooseChainLate({ chains, size, unseen, draw, hasRoom: (loaded) => loaded.open < most });
            expect(chosen?.chain.stages[0]?.engine.id).to.equal(choice);
        });
    }

    it("all entries together lay requests on both paths in the proportion of their pace", () => {
        const chains = [fast, slow].map((chain) => ({ chain, open: 0, unstarted: 0 }));
        const choices = Array.from(
            { length: 100 },
            (_, place) => chooseChainLate({ chains, size, unseen: 99, draw: place / 100, hasRoom: () => true }),
        );
        const onFast = choices.filter((chosen) => chosen?.chain === fast).length;
        expect(onFast).to.be.within(60, 95);
    });
});
