/**
 * Guards against an event loop that is blocked by the layers that engines report: it was for a minute by 2,000 engines of which a
 * hundred reported different layers.
 */
import type { EngineProfile, LayerSpan } from "@crankfork/schemas";
import { expect } from "chai";
import fc from "fast-check";
import { type Chain, computeChains, type HoldingEngine } from "../src/index.js";
import { profile, span } from "./layerProfile.js";

const ENGINES = 2_000;
const LAYERS = 80;
/** A leader that is blocked for longer loses its lease. */
const MAX_MS = 480;

const model: EngineProfile = { ...profile, layers: LAYERS, activation_bytes: 16_000, crossing_mbps: 7_900 };

interface Reported {
    readonly span: LayerSpan;
    readonly failureDomain?: string;
    readonly slowness?: number;
}

function createHolder({ span: held, failureDomain = "d", slowness = 1 }: Reported, at: number): HoldingEngine {
    const id = `e${String(at)}`;
    return { id, address: id, failureDomain, accelerator: at % 3 === 0 ? "fast" : "slow", span: held, slowness };
}

/** Draws spans with a fixed seed. */
const drawnSpans = fc.sample(
    fc.noBias(fc.tuple(fc.nat(LAYERS - 1), fc.integer({ min: 1, max: LAYERS }))),
    { seed: 1, numRuns: ENGINES },
).map(([first, layers]) => span(first, Math.min(LAYERS, first + layers)));

const rows: readonly { readonly title: string; readonly getReported: (at: number, drawn: LayerSpan) => Reported; }[] = [
    { title: "spans of any size", getReported: (_at, drawn) => ({ span: drawn }) },
    {
        title: "spans of any size, none as fast as another",
        getReported: (at, drawn) => ({ span: drawn, slowness: 1 + at }),
    },
    {
        title: "spans of any size in three failure domains",
        getReported: (at, drawn) => ({ span: drawn, failureDomain: `d${String(at % 3)}` }),
    },
    {
        title: "spans of any size, each in a failure domain of its own",
        getReported: (at, drawn) => ({ span: drawn, failureDomain: `d${String(at)}` }),
    },
    {
        title: "single layers",
        getReported: (at) => ({ span: span(at % LAYERS, at % LAYERS + 1) }),
    },
    {
        title: "single layers in 50 failure domains",
        getReported: (at) => ({ span: span(at % LAYERS, at % LAYERS + 1), failureDomain: `d${String(at % 50)}` }),
    },
    {
        title: "the whole model, beside some spans of any size",
        getReported: (at, drawn) => ({ span: at % 20 === 0 ? drawn : span(0, LAYERS), slowness: 1 + at }),
    },
    {
        title: "nearly the whole model or its last layer, beside some spans of any size",
        getReported: (at, drawn) => ({
            span: at % 20 === 0 ? drawn : at % 2 === 0 ? span(0, LAYERS - 1) : span(LAYERS - 1, LAYERS),
            slowness: 1 + at,
        }),
    },
    {
        title: "the first half or the second one, each in a failure domain of its own",
        getReported: (at) => ({
            span: at % 2 === 0 ? span(0, LAYERS / 2) : span(LAYERS / 2, LAYERS),
            failureDomain: `d${String(at)}`,
        }),
    },
    {
        title: "the halves of the model in two failure domains, beside some spans of any size",
        getReported: (at, drawn) => ({
            span: at % 20 === 0 ? drawn : at % 2 === 0 ? span(0, LAYERS / 2) : span(LAYERS / 2, LAYERS),
            failureDomain: `d${String(at % 2)}`,
            slowness: 1 + at,
        }),
    },
    {
        title: "the first half more often than the second one",
        getReported: (at) => ({ span: at % 3 === 0 ? span(LAYERS / 2, LAYERS) : span(0, LAYERS / 2) }),
    },
    {
        title: "the same few spans",
        getReported: (at) => ({ span: span(at % 4 * 20, at % 4 * 20 + 20), failureDomain: `d${String(at % 3)}` }),
    },
];

function assertWhole({ stages }: Chain): void {
    expect(stages[0]?.span.first).to.equal(0);
    expect(stages.at(-1)?.span.end).to.equal(LAYERS);
    stages.forEach(({ engine, span: { first, end } }, at) => {
        expect(end).to.equal(stages[at + 1]?.span.first ?? LAYERS);
        expect(first).to.be.within(engine.span.first, end - 1);
        expect(end).to.be.at.most(engine.span.end);
    });
}

describe("the time to compute paths is bounded, whatever layers engines report", () => {
    for (const { title, getReported } of rows) {
        it(title, () => {
            const engines = drawnSpans.map((drawn, at) => createHolder(getReported(at, drawn), at));
            const start = performance.now();
            const chains = computeChains(engines, model);
            const elapsedMs = performance.now() - start;
            chains.forEach(assertWhole);
            expect(chains.length).to.be.above(0);
            expect(elapsedMs).to.be.below(MAX_MS);
        });
    }
});
