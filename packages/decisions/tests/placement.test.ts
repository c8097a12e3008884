import {
    type Configuration,
    emptyConfiguration,
    type Intent,
    intentSchema,
    type Placement,
    type PriorityClass,
    priorityClasses,
    type Upstream,
} from "@crankfork/schemas";
import { expect } from "chai";
import fc from "fast-check";
import {
    ClassSlots,
    computePlacement,
    computeSlotShare,
    createPlan,
    isExactTiling,
    type SlotShareView,
    splitLayers,
} from "../src/index.js";

const engine = (name: string, speed: number, memory_layers: number, failure_domain = "local"): Upstream => ({
    name,
    kind: "engine",
    address: "127.0.0.1:1",
    failure_domain,
    memory_layers,
    speed,
    link_ms: 0.25,
    slots: 8,
    checks_fence: true,
});
const model = (layers: number) => intentSchema.parse({ id: "i", models: [{ name: "m", layers }] }).models;
const format = (placements: readonly Placement[]): string =>
    placements.map((one) => `${one.upstream}:${String(one.first_layer)}-${String(one.end_layer)}`).join(" ");

const splits: readonly {
    readonly title: string;
    readonly engines: readonly Upstream[];
    readonly counts: readonly number[] | undefined;
}[] = [
    { title: "equal engines share equally", engines: [engine("a", 1, 12), engine("b", 1, 12)], counts: [6, 6] },
    { title: "layers go by speed", engines: [engine("a", 3, 12), engine("b", 1, 12)], counts: [9, 3] },
    { title: "memory limits the fast one", engines: [engine("a", 3, 5), engine("b", 1, 12)], counts: [5, 7] },
    { title: "too little memory", engines: [engine("a", 3, 5), engine("b", 1, 6)], counts: undefined },
];

describe("layers are split so that the slowest stage is as fast as memory allows", () => {
    for (const { title, engines, counts } of splits) {
        it(title, () => {
            expect(splitLayers(engines, 12)).to.deep.equal(counts);
        });
    }
});

describe("the time to split layers does not depend on their number", () => {
    /** One layer at a time, each to the stage that is fastest with it. */
    function splitOneByOne(engines: readonly Upstream[], layers: number): readonly number[] {
        const counts = engines.map(() => 0);
        for (let layer = 0; layer < layers; layer += 1) {
            const times = engines.map(({ speed, memory_layers }, index) =>
                counts[index]! < memory_layers ? (counts[index]! + 1) / speed : Number.POSITIVE_INFINITY
            );
            counts[times.indexOf(Math.min(...times))]! += 1;
        }
        return counts;
    }

    it("the counts are those of one layer at a time", () => {
        const drawn = fc.record({ speed: fc.constantFrom(0.1, 1, 1.5, 3, 7), memory: fc.integer({ min: 1, max: 60 }) });
        fc.assert(
            fc.property(
                fc.array(drawn, { minLength: 1, maxLength: 6 }),
                fc.double({ min: 0, max: 1 }),
                (some, share) => {
                    const engines = some.map(({ speed, memory }, index) => engine(String(index), speed, memory));
                    const memory = some.reduce((sum, one) => sum + one.memory, 0);
                    const layers = Math.max(1, Math.floor(memory * (Number.isNaN(share) ? 1 : share)));
                    expect(splitLayers(engines, layers)).to.deep.equal(splitOneByOne(engines, layers));
                },
            ),
            { seed: 82, numRuns: 500 },
        );
    });

    for (const speeds of [[1, 1], [3, 1], [1e308, 1e308], [1, 1e-300], [Number.MIN_VALUE, Number.MIN_VALUE]]) {
        it(`1e15 layers at speeds of ${speeds.join(" and ")}`, () => {
            const counts = splitLayers(speeds.map((speed, index) => engine(String(index), speed, 1e15)), 1e15);
            expect(counts?.reduce((sum, count) => sum + count, 0)).to.equal(1e15);
        });
    }
});

const placed: readonly {
    readonly title: string;
    readonly engines: readonly Upstream[];
    readonly placements: string;
}[] = [
    { title: "one pipeline", engines: [engine("a", 1, 6), engine("b", 1, 6)], placements: "a:0-6 b:6-12" },
    {
        title: "the fast ones form a pipeline together",
        engines: [engine("slow-1", 1, 6), engine("fast-1", 4, 6), engine("slow-2", 1, 6), engine("fast-2", 4, 6)],
        placements: "fast-1:0-6 fast-2:6-12 slow-1:0-6 slow-2:6-12",
    },
    {
        title: "one failure domain before a mixture",
        engines: [
            engine("a", 4, 6, "east"),
            engine("b", 4, 6, "west"),
            engine("c", 1, 6, "east"),
            engine("d", 1, 6, "west"),
        ],
        placements: "a:0-6 c:6-12 b:0-6 d:6-12",
    },
    {
        title: "an unused one replicates the slowest stage",
        engines: [engine("a", 2, 6), engine("b", 1, 6), engine("c", 1, 6)],
        placements: "a:0-6 b:6-12 c:6-12",
    },
];

describe("a model is placed on complete pipelines, and unused engines replicate the slowest stages", () => {
    for (const { title, engines, placements } of placed) {
        it(title, () => {
            expect(format(computePlacement(model(12), engines, []).placements)).to.equal(placements);
        });
    }

    it("a model that does not fit is refused with what is missing", () => {
        const { faults } = computePlacement(model(12), [engine("a", 1, 6)], []);
        expect(faults).to.deep.equal([{ model: "m", neededLayers: 12, foundLayers: 6 }]);
    });

    it("nothing moves where the same engines still serve", () => {
        const engines = [engine("a", 1, 6), engine("b", 1, 6)];
        const { placements } = computePlacement(model(12), engines, []);
        const faster = [engine("a", 9, 6), engine("b", 1, 6)];
        expect(computePlacement(model(12), faster, placements).placements).to.deep.equal(placements);
    });
});

describe("a plan has no effect by itself and is the same for the same intent", () => {
    const intent: Intent = intentSchema.parse({
        id: "first",
        models: [{ name: "m", layers: 12 }],
        upstreams: [engine("a", 1, 6), engine("b", 1, 6)],
    });

    it("the same intent against the same version gives the same plan", () => {
        expect(createPlan(intent, emptyConfiguration)).to.deep.equal(createPlan(intent, emptyConfiguration));
    });

    it("it lists what differs", () => {
        const result = createPlan(intent, emptyConfiguration);
        expect(result.kind === "planned" && result.plan.differences).to.deep.equal([
            "+ model m",
            "+ upstream a",
            "+ upstream b",
            "+ placement m@v1 layers 0-5 on a",
            "+ placement m@v1 layers 6-11 on b",
        ]);
    });

    it("it is against a version", () => {
        const present: Configuration = { ...emptyConfiguration, version: 7 };
        const result = createPlan(intent, present);
        expect(result.kind === "planned" && [result.plan.base_version, result.plan.configuration.version])
            .to.deep.equal([7, 8]);
    });

    it("every pipeline of it tiles the layers", () => {
        const result = createPlan(intent, emptyConfiguration);
        const stages = result.kind === "planned"
            ? result.plan.configuration.placements.map((one) => ({
                upstream: one.upstream,
                firstLayer: one.first_layer,
                endLayer: one.end_layer,
            }))
            : [];
        expect(isExactTiling(stages, 12)).to.equal(true);
    });
});

describe("slots are shared among entries partly equally, mostly by demand", () => {
    const rows: readonly { readonly title: string; readonly view: SlotShareView; readonly share: number; }[] = [
        { title: "an entry alone has all", view: { slots: 80, entries: 1, ownDemand: 0, othersDemand: 0 }, share: 80 },
        {
            title: "without demand all shares are equal",
            view: { slots: 80, entries: 8, ownDemand: 0, othersDemand: 0 },
            share: 11,
        },
        {
            title: "equal demand gives equal shares",
            view: { slots: 80, entries: 8, ownDemand: 10, othersDemand: 70 },
            share: 11,
        },
        {
            title: "an idle entry keeps a quarter of its equal share",
            view: { slots: 80, entries: 8, ownDemand: 0, othersDemand: 70 },
            share: 3,
        },
        {
            title: "the only busy one gets the rest",
            view: { slots: 80, entries: 8, ownDemand: 50, othersDemand: 0 },
            share: 69,
        },
        { title: "there is always one", view: { slots: 1, entries: 8, ownDemand: 0, othersDemand: 9 }, share: 1 },
    ];
    for (const { title, view, share } of rows) {
        it(title, () => {
            expect(computeSlotShare(view)).to.equal(share);
        });
    }
});

describe("running requests of less urgent classes take no slots from a class", () => {
    const rows: readonly {
        readonly title: string;
        readonly running: readonly PriorityClass[];
        readonly free: readonly number[];
    }[] = [
        { title: "nothing runs", running: [], free: [3, 3, 3] },
        { title: "narrative fills the slots", running: ["narrative", "narrative", "narrative"], free: [3, 3, 0] },
        { title: "urgent fills the slots", running: ["urgent", "urgent", "urgent"], free: [0, 0, 0] },
        { title: "a mixture", running: ["urgent", "interactive", "narrative"], free: [2, 1, 0] },
    ];
    for (const { title, running, free } of rows) {
        it(title, () => {
            const room = new ClassSlots();
            running.forEach((priority) => room.recordStart(priority));
            expect(priorityClasses.map((priority) => room.countFree(priority, 3))).to.deep.equal(free);
        });
    }
});
