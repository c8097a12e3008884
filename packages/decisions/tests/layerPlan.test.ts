import type { LayerSpan } from "@crankfork/schemas";
import { expect } from "chai";
import {
    canHoldModel,
    computeLayerCapacity,
    computeLayerPlan,
    isPlacementDue,
    type PlannedEngine,
} from "../src/index.js";
import { format, profile, span } from "./layerProfile.js";

const engine = (id: string, accelerator: string, held?: LayerSpan, failureDomain: string = "d"): PlannedEngine => ({
    id,
    failureDomain,
    accelerator,
    span: held,
    slowness: 1,
    mayBeOrdered: held === undefined,
});
const holding = (id: string, accelerator: string, held: LayerSpan, failureDomain?: string): PlannedEngine => ({
    ...engine(id, accelerator, held, failureDomain),
    mayBeOrdered: true,
});
const formatPlan = (engines: readonly PlannedEngine[]): string =>
    computeLayerPlan(engines, profile).map((order) => `${order.id}=${format(order.span)}`).join(" ");

const planRows: readonly {
    readonly title: string;
    readonly engines: readonly PlannedEngine[];
    readonly plan: string;
}[] = [
    { title: "nothing to place", engines: [], plan: "" },
    {
        title: "the fastest engines come first, the last takes the remaining layers",
        engines: [engine("s1", "slow"), engine("f1", "fast"), engine("f2", "fast"), engine("s2", "slow")],
        plan: "f1=6-10 f2=2-6 s1=0-2 s2=0-2",
    },
    {
        title: "a second chain is begun only where the engines can complete it",
        engines: ["f1", "f2", "f3", "f4", "f5"].map((id) => engine(id, "fast")),
        plan: "f1=6-10 f2=2-6 f3=0-2 f4=0-2 f5=0-2",
    },
    {
        title: "two chains where there is capacity for two",
        engines: ["f1", "f2", "f3", "f4", "f5", "f6"].map((id) => engine(id, "fast")),
        plan: "f1=6-10 f2=2-6 f3=0-2 f4=6-10 f5=2-6 f6=0-2",
    },
    {
        title: "a lost span is filled by empty engines, and the others keep theirs",
        engines: [
            engine("f1", "fast", span(0, 4)),
            engine("f3", "fast", span(8, 10)),
            engine("s1", "slow"),
            engine("s2", "slow"),
        ],
        plan: "s1=6-8 s2=4-6",
    },
    {
        title: "a gap that can't be closed with the usual memory for requests is closed with less",
        engines: [engine("f1", "fast", span(0, 4)), engine("f2", "fast", span(7, 10)), engine("s1", "slow")],
        plan: "s1=4-7",
    },
    {
        title: "a gap that can't be closed yet is filled as far as possible",
        engines: [engine("f1", "fast", span(0, 4)), engine("s1", "slow")],
        plan: "s1=8-10",
    },
    {
        title: "an engine keeps what it holds, also beside a gap",
        engines: [holding("f1", "fast", span(0, 4)), holding("f3", "fast", span(6, 10))],
        plan: "",
    },
    {
        title: "an engine with a pending order counts as holding, and gets no other",
        engines: [
            { ...engine("f1", "fast", span(0, 4)), mayBeOrdered: false },
            engine("f2", "fast"),
            engine("f3", "fast"),
        ],
        plan: "f2=6-10 f3=4-6",
    },
    {
        title: "failure domains that hold the model have chains of their own",
        engines: [
            ...["a1", "a2", "a3"].map((id) => engine(id, "fast", undefined, "d1")),
            ...["b1", "b2", "b3"].map((id) => engine(id, "fast", undefined, "d2")),
        ],
        plan: "a1=6-10 a2=2-6 a3=0-2 b1=6-10 b2=2-6 b3=0-2",
    },
    {
        title: "a chain crosses where no failure domain holds the model",
        engines: [
            engine("a1", "slow", undefined, "d1"),
            engine("b1", "fast", undefined, "d2"),
            engine("b2", "slow", undefined, "d2"),
            engine("c1", "fast", undefined, "d3"),
        ],
        plan: "b1=6-10 b2=4-6 c1=0-4",
    },
    {
        title: "several chains cross, and each uses up a failure domain before it continues in the next",
        engines: [
            engine("a1", "fast", undefined, "d1"),
            engine("a2", "slow", undefined, "d1"),
            engine("b1", "fast", undefined, "d2"),
            engine("b2", "slow", undefined, "d2"),
            engine("c1", "fast", undefined, "d3"),
            engine("c2", "slow", undefined, "d3"),
            engine("e1", "slow", undefined, "d4"),
        ],
        plan: "a1=6-10 a2=4-6 b1=0-4 b2=8-10 c1=4-8 c2=2-4 e1=0-2",
    },
    {
        title: "one failure domain holds the model, and two others together form one more chain",
        engines: [
            ...["a1", "a2", "a3"].map((id) => engine(id, "fast", undefined, "d1")),
            engine("b1", "fast", undefined, "d2"),
            engine("b2", "slow", undefined, "d2"),
            engine("c1", "fast", undefined, "d3"),
        ],
        plan: "a1=6-10 a2=2-6 a3=0-2 b1=6-10 b2=4-6 c1=0-4",
    },
    {
        title: "failure domains that have fallen below the model's size form a chain together",
        engines: [
            holding("a1", "fast", span(6, 10), "d1"),
            holding("a3", "slow", span(0, 2), "d1"),
            holding("b1", "fast", span(6, 10), "d2"),
            holding("b2", "fast", span(2, 6), "d2"),
        ],
        plan: "",
    },
    {
        title: "a returning engine fills its failure domain's gap",
        engines: [
            holding("a1", "fast", span(6, 10), "d1"),
            engine("a2", "fast", undefined, "d1"),
            holding("a3", "slow", span(0, 2), "d1"),
            holding("b1", "fast", span(6, 10), "d2"),
            holding("b2", "fast", span(2, 6), "d2"),
        ],
        plan: "a2=2-6",
    },
    {
        title: "a gap of a chain that crosses is filled next to its neighbours",
        engines: [
            holding("a1", "fast", span(6, 10), "d1"),
            engine("b1", "fast", undefined, "d2"),
            engine("a2", "slow", undefined, "d1"),
            holding("c1", "slow", span(0, 2), "d3"),
            holding("c2", "slow", span(2, 4), "d3"),
        ],
        plan: "a2=4-6",
    },
    {
        title: "too few engines for the model are filled as far as possible",
        engines: [engine("a", "fast", undefined, "d1"), engine("b", "slow", undefined, "d2")],
        plan: "a=6-10 b=4-6",
    },
    {
        title: "the layers of an engine that is far too slow go to empty ones, and it takes no more",
        engines: [
            { ...engine("f1", "fast", span(0, 10)), slowness: 5 },
            engine("f2", "fast"),
            engine("f3", "fast"),
            engine("f4", "fast"),
        ],
        plan: "f2=6-10 f3=2-6 f4=0-2",
    },
    {
        title: "an engine that is far too slow but faster than all others keeps its layers",
        engines: [
            { ...engine("f1", "fast", span(2, 10)), slowness: 5 },
            holding("s1", "slow", span(0, 2)),
            holding("s2", "slow", span(0, 2)),
            engine("s3", "slow"),
        ],
        plan: "s3=0-2",
    },
    {
        title: "an engine that replaced a slow one holds a copy of the first stage once that one has recovered",
        engines: [
            holding("f1", "fast", span(2, 10)),
            holding("s1", "slow", span(0, 2)),
            holding("s2", "slow", span(8, 10)),
        ],
        plan: "s2=0-2",
    },
    {
        title: "a second chain is not a copy",
        engines: [
            holding("f1", "fast", span(2, 10)),
            holding("f2", "fast", span(2, 10)),
            holding("s1", "slow", span(0, 2)),
            holding("s2", "slow", span(0, 2)),
        ],
        plan: "",
    },
    {
        title: "a fast engine that returns takes over what slow ones hold",
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
        title: "one with spare capacity takes over more, and keeps what it holds",
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
        title: "nothing is taken over while an order is pending",
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
        title: "the layers of an engine that is a little slow stay",
        engines: [{ ...engine("f1", "fast", span(0, 10)), slowness: 1.5 }, engine("f2", "fast")],
        plan: "",
    },
    {
        title: "an unused engine holds a copy of the first stage",
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
        title: "a copy is released for a gap",
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
        title: "a copy with a pending order stays",
        engines: [
            engine("f1", "fast", span(4, 10)),
            engine("s1", "slow", span(0, 2)),
            engine("s2", "slow", span(0, 2)),
        ],
        plan: "",
    },
    { title: "an unknown accelerator takes nothing", engines: [engine("x", "odd")], plan: "" },
];

describe("layers go to few fast engines, inside a failure domain where it holds the model", () => {
    for (const { title, engines, plan } of planRows) {
        it(title, () => {
            expect(formatPlan(engines)).to.equal(plan);
        });
    }

    it("no engine gets more layers than fit beside the memory for requests", () => {
        const rooms = profile.accelerators.map((accelerator) => computeLayerCapacity(accelerator, profile));
        expect(rooms).to.deep.equal([4, 2]);
        profile.accelerators.forEach((accelerator, index) => {
            expect((rooms[index] ?? 0) * profile.layer_mb).to.be.below(accelerator.memory_mb);
        });
    });
});

describe("whether engines can hold the model, wherever they are", () => {
    // With the least memory for requests a fast engine holds 6 of 10 layers, a slow one 3.
    const rows = [
        { title: "none", accelerators: [], canHold: false },
        { title: "one that is too small", accelerators: ["fast"], canHold: false },
        { title: "one layer does not fit", accelerators: ["fast", "slow"], canHold: false },
        { title: "just", accelerators: ["slow", "slow", "slow", "slow"], canHold: true },
        { title: "two large ones", accelerators: ["fast", "fast"], canHold: true },
        { title: "an unknown one holds nothing", accelerators: ["fast", "odd", "slow"], canHold: false },
    ];
    for (const { title, accelerators, canHold } of rows) {
        it(title, () => {
            expect(canHoldModel(accelerators, profile)).to.equal(canHold);
        });
    }
});

describe("layers are placed once the whole fleet is known", () => {
    const rows = [
        {
            title: "engines still arrive",
            isPlacementStarted: false,
            sinceArrivalMs: 900,
            sinceFirstMs: 900,
            isDue: false,
        },
        {
            title: "a heartbeat interval without a new engine",
            isPlacementStarted: false,
            sinceArrivalMs: 1_000,
            sinceFirstMs: 1_000,
            isDue: true,
        },
        {
            title: "engines have been arriving for long enough",
            isPlacementStarted: false,
            sinceArrivalMs: 0,
            sinceFirstMs: 4_000,
            isDue: true,
        },
        {
            title: "some hold layers already",
            isPlacementStarted: true,
            sinceArrivalMs: 0,
            sinceFirstMs: 0,
            isDue: true,
        },
    ];
    for (const { title, isDue, ...arrivals } of rows) {
        it(title, () => {
            expect(isPlacementDue({ ...arrivals, heartbeatMs: 1_000 })).to.equal(isDue);
        });
    }
});
