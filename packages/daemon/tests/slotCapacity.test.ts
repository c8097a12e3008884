import { type Configuration, emptyConfiguration, type Model, type Upstream } from "@crankfork/schemas";
import { expect } from "chai";
import fc from "fast-check";
import { computeModelSlots } from "../src/version/slotCapacity.js";

const SEED = 82;

function createModel(layers: number): Model {
    return { name: "m", version: "v1", layers, repeatable: true, classes: ["urgent"], max_tokens: 1 };
}

function createConfiguration(spans: readonly (readonly [first: number, end: number, slots: number])[]): Configuration {
    return {
        ...emptyConfiguration,
        upstreams: spans.map(([, , slots], at) => ({ name: `u${String(at)}`, slots }) as Upstream),
        placements: spans.map(([first_layer, end_layer], at) => ({
            upstream: `u${String(at)}`,
            model: "m",
            version: "v1",
            first_layer,
            end_layer,
        })),
    };
}

describe("the slots of a model are those of its narrowest layer", () => {
    const rows = [
        { title: "no engine", layers: 4, spans: [], slots: 0 },
        { title: "a layer that none holds", layers: 4, spans: [[0, 2, 5], [3, 4, 5]], slots: 0 },
        { title: "two stages", layers: 4, spans: [[0, 2, 5], [2, 4, 3]], slots: 3 },
        { title: "a copy of the narrow stage", layers: 4, spans: [[0, 2, 5], [2, 4, 3], [2, 4, 3]], slots: 5 },
        { title: "layers beyond the model", layers: 4, spans: [[0, 1e15, 5]], slots: 5 },
        { title: "more layers than fit into memory", layers: 1e15, spans: [[0, 10, 5], [10, 1e15, 3]], slots: 3 },
    ] as const;
    for (const { title, layers, spans, slots } of rows) {
        it(title, () => {
            expect(computeModelSlots(createConfiguration(spans), createModel(layers))).to.equal(slots);
        });
    }

    it("as counted layer by layer", () => {
        const span = fc.tuple(fc.nat(12), fc.nat(12), fc.nat(5));
        fc.assert(
            fc.property(fc.array(span, { maxLength: 8 }), fc.integer({ min: 1, max: 10 }), (spans, layers) => {
                const counts = Array.from(
                    { length: layers },
                    (_, layer) =>
                        spans.reduce(
                            (sum, [first, end, slots]) => sum + (first <= layer && layer < end ? slots : 0),
                            0,
                        ),
                );
                expect(computeModelSlots(createConfiguration(spans), createModel(layers)))
                    .to.equal(Math.min(...counts));
            }),
            { seed: SEED },
        );
    });
});
