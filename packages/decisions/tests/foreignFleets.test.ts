import type { EngineProfile, LayerSpan } from "@crankfork/schemas";
import { expect } from "chai";
import fc from "fast-check";
import {
    canHoldModel,
    chooseChain,
    computeChains,
    computeEngineOrders,
    computeLayerPlan,
    hasChainCapacity,
    type HoldingEngine,
    type PlannedEngine,
} from "../src/index.js";
import { profile } from "./layerProfile.js";

const SEED = 82;
const RUNS = 300;
/** Generous for some twenty engines; a fault takes minutes or ends the process. */
const MAX_MS = 1_000;

const strangeSpans: readonly LayerSpan[] = [
    { first: 0, end: 1_000_000 },
    { first: 5, end: Number.MAX_SAFE_INTEGER },
    { first: 9, end: 11 },
    { first: 1_000, end: 1_001 },
    { first: 7, end: 3 },
    { first: 0, end: 0.5 },
];

function createEngine(id: string, more: Partial<PlannedEngine> = {}): PlannedEngine {
    return {
        id,
        failureDomain: "d",
        accelerator: "fast",
        span: undefined,
        slowness: 1,
        mayBeOrdered: true,
        ...more,
    };
}

function createHolders(engines: readonly PlannedEngine[]): readonly HoldingEngine[] {
    return engines.flatMap(({ id, failureDomain, accelerator, span, slowness }) =>
        span === undefined ? [] : [{ id, address: id, failureDomain, accelerator, span, slowness }]
    );
}

const soundEngines = [
    createEngine("a"),
    createEngine("b", { span: { first: 6, end: 10 } }),
    createEngine("c", { span: { first: 2, end: 6 } }),
    createEngine("e", { span: { first: 0, end: 2 }, accelerator: "slow" }),
    createEngine("f", { accelerator: "slow" }),
];

describe("an engine that reports layers beyond its model changes no plan and no path of the others", () => {
    for (const span of strangeSpans) {
        it(`layers ${String(span.first)} to ${String(span.end)}`, () => {
            const engines = [...soundEngines, createEngine("strange", { span })];
            expect(computeLayerPlan(engines, profile)).to.deep.equal(computeLayerPlan(soundEngines, profile));
            expect(computeChains(createHolders(engines), profile))
                .to.deep.equal(computeChains(createHolders(soundEngines), profile));
        });
    }
});

describe("a model whose layers cannot be assigned gets no plan and no path", () => {
    for (const layers of [0, -1, 0.5, 1e300, Number.NaN, Number.POSITIVE_INFINITY]) {
        it(`${String(layers)} layers`, () => {
            const model = { ...profile, layers };
            expect(computeLayerPlan(soundEngines, model)).to.deep.equal([]);
            expect(computeChains(createHolders(soundEngines), model)).to.deep.equal([]);
        });
    }
});

describe("a service gets requests, whatever times its document and its engines give", () => {
    const rows: readonly {
        readonly title: string;
        readonly model: Partial<EngineProfile>;
        readonly slowness?: number;
    }[] = [
        { title: "steps of 1e308 ms", model: { step_ms: 1e308 }, slowness: 10 },
        { title: "prompts read at 5e-324 tokens per second", model: { read_tokens_a_second: Number.MIN_VALUE } },
        { title: "links of 5e-324 Mbit/s", model: { activation_bytes: 1e9, crossing_mbps: Number.MIN_VALUE } },
        { title: "tokens of 1e308 bytes", model: { token_bytes: 1e308 } },
        { title: "prompts of 1e308 tokens", model: { usual_prompt_tokens: 1e308, usual_answer_tokens: 1e308 } },
        { title: "an engine that is 1e308 times slower", model: { step_ms: 10 }, slowness: 1e308 },
        { title: "a slowness of -1e308", model: { step_ms: 10 }, slowness: -1e308 },
    ];
    for (const { title, model, slowness = 1 } of rows) {
        it(title, () => {
            const service = { ...profile, ...model };
            const chains = computeChains(createHolders(soundEngines.map((one) => ({ ...one, slowness }))), service)
                .map((chain) => ({ chain, open: 0, unstarted: 0 }));
            expect(chains).to.have.length(1);
            expect(chooseChain(chains, { promptTokens: 1e6, answerTokens: 1e6 })).to.equal(chains[0]);
            expect(chains.every((one) => hasChainCapacity(one.chain, one, service, 1_000))).to.equal(true);
        });
    }
});

const positive = fc.oneof(
    { weight: 3, arbitrary: fc.double({ min: 0.01, max: 10_000, noNaN: true }) },
    fc.constantFrom(
        Number.MIN_VALUE,
        1e-9,
        1,
        1e9,
        1e300,
        Number.MAX_VALUE,
        Number.NaN,
        Number.POSITIVE_INFINITY,
        0,
        -1,
    ),
);
const layers = fc.oneof(
    { weight: 3, arbitrary: fc.integer({ min: 1, max: 100 }) },
    fc.constantFrom(1_000_000, 1e9, 1e15, Number.MAX_SAFE_INTEGER, 0, 0.5, 2.5, 1e300),
);
const strangeProfile: fc.Arbitrary<EngineProfile> = fc.record({
    layers,
    layer_mb: positive,
    token_bytes: positive,
    capacity_tokens: positive,
    slots: fc.constant(4),
    step_ms: positive,
    step_ms_a_request: positive,
    read_tokens_a_second: positive,
    load_ms: positive,
    activation_bytes: positive,
    crossing_mbps: positive,
    usual_prompt_tokens: positive,
    usual_answer_tokens: positive,
    accelerators: fc.tuple(
        fc.record({ name: fc.constant("fast"), memory_mb: positive, step_factor: positive, read_factor: positive }),
        fc.record({ name: fc.constant("slow"), memory_mb: positive, step_factor: positive, read_factor: positive }),
    ).map((both) => [...both]),
});
const strangeEngines = fc.array(
    fc.record({
        failureDomain: fc.constantFrom("d", "e", "__proto__"),
        accelerator: fc.constantFrom("fast", "slow", "other", "constructor"),
        span: fc.option(
            fc.oneof(
                fc.constantFrom(...strangeSpans),
                fc.record({ first: fc.nat(20), end: fc.nat(100) }),
                fc.record({ first: fc.constant(0), end: layers }),
            ),
            { nil: undefined },
        ),
        slowness: fc.oneof(fc.constant(1), positive),
        mayBeOrdered: fc.boolean(),
    }),
    { maxLength: 20 },
).map((engines) => engines.map((engine, at) => createEngine(`e${String(at)}`, engine)));

function assertWithin(start: number): void {
    expect(performance.now() - start).to.be.below(MAX_MS);
}

describe("plans and paths stay sound and cheap, whatever engines report and the document contains", () => {
    const plans: readonly { readonly title: string; readonly computePlan: typeof computeLayerPlan; }[] = [
        { title: "layer plans", computePlan: computeLayerPlan },
        {
            title: "orders for all engines",
            computePlan: (engines, model) => computeEngineOrders(engines, model, computeLayerPlan),
        },
    ];
    for (const { title, computePlan } of plans) {
        it(`${title}: each at most one, to engines that may get them, within the model`, () => {
            fc.assert(
                fc.property(strangeEngines, strangeProfile, (engines, model) => {
                    const start = performance.now();
                    const orders = computePlan(engines, model);
                    assertWithin(start);
                    expect(new Set(orders.map(({ id }) => id)).size).to.equal(orders.length);
                    orders.forEach(({ id, span }) => {
                        expect(engines.find((one) => one.id === id)?.mayBeOrdered).to.equal(true);
                        expect(span.first).to.be.within(0, span.end - 1);
                        expect(span.end).to.be.at.most(model.layers);
                    });
                    canHoldModel(engines.map(({ accelerator }) => accelerator), model);
                }),
                { seed: SEED, numRuns: RUNS },
            );
        });
    }

    it("paths: every layer once and in order, by engines that report it", () => {
        fc.assert(
            fc.property(strangeEngines, strangeProfile, (engines, model) => {
                const start = performance.now();
                const chains = computeChains(createHolders(engines), model);
                assertWithin(start);
                chains.forEach(({ stages, contextTokens }) => {
                    expect(stages[0]?.span.first).to.equal(0);
                    expect(stages.at(-1)?.span.end).to.equal(model.layers);
                    stages.forEach(({ engine, span }, at) => {
                        expect(span.end).to.equal(stages[at + 1]?.span.first ?? model.layers);
                        expect(engine.span.first).to.be.at.most(span.first);
                        expect(engine.span.end).to.be.at.least(span.end).and.at.most(model.layers);
                    });
                    expect(contextTokens).to.satisfy((tokens: number) => tokens >= 0);
                });
                const idle = chains.map((chain) => ({ chain, open: 0, unstarted: 0 }));
                expect(chooseChain(idle, { promptTokens: 1e6, answerTokens: 1e6 }) === undefined)
                    .to.equal(chains.length === 0);
            }),
            { seed: SEED, numRuns: RUNS },
        );
    });
});
