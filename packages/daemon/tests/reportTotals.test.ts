import type { UpstreamLoads } from "@crankfork/schemas";
import { expect } from "chai";
import fc from "fast-check";
import { sumLoads, type UpstreamLoad } from "../src/process/sumLoads.js";
import { ReportTotals } from "../src/process/voter/reportTotals.js";

const MAX_AGE_MS = 1_500;
const INSTANCES = ["a", "b", "c", "d"];
const count = fc.integer({ min: 0, max: 5 });
/** Reports leave out ranks without requests at the end. */
const counts = fc.array(count, { maxLength: 4 }).filter((list) => list.at(-1) !== 0);
const load = fc.record({ open: count, unstarted: count }).chain((base) =>
    fc.record({
        // Entries of older builds report neither tokens nor ranks.
        tokens: fc.option(fc.integer({ min: 1, max: 900 }), { nil: undefined }),
        open_by_rank: fc.option(counts, { nil: undefined }),
        unstarted_by_rank: fc.option(counts, { nil: undefined }),
    }).map((more): UpstreamLoad => ({
        ...base,
        ...(more.tokens === undefined || base.open === 0 ? {} : { tokens: more.tokens }),
        ...(more.open_by_rank === undefined ? {} : { open_by_rank: more.open_by_rank }),
        ...(more.unstarted_by_rank === undefined ? {} : { unstarted_by_rank: more.unstarted_by_rank }),
    }))
);
const usage = fc.record({ requests: count, repeats: count, lost: count });
const step = fc.record({
    instance: fc.constantFrom(...INSTANCES),
    afterMs: fc.integer({ min: 0, max: 700 }),
    isRemoved: fc.boolean(),
    loads: fc.dictionary(fc.constantFrom("u", "v", "__proto__"), load, { noNullPrototype: true }),
    spending: fc.dictionary(fc.constantFrom("s", "t"), usage, { noNullPrototype: true }),
});

function sumAll(all: readonly UpstreamLoads[]): UpstreamLoads {
    const sums = new Map<string, UpstreamLoad>();
    all.flatMap((loads) => Object.entries(loads)).forEach(([id, one]) => {
        sums.set(id, sumLoads(sums.get(id), one));
    });
    return Object.fromEntries(sums);
}

describe("totals without one entry equal the sum of the reports of the others", () => {
    it("after any series of reports, removals and pauses", () => {
        fc.assert(
            fc.property(fc.array(step, { maxLength: 30 }), (steps) => {
                const totals = new ReportTotals(MAX_AGE_MS);
                const known = new Map<string, { readonly atMs: number; readonly loads: UpstreamLoads; }>();
                let nowMs = 0;
                for (const { instance, afterMs, isRemoved, loads, spending } of steps) {
                    nowMs += afterMs;
                    if (isRemoved) {
                        totals.remove(instance);
                        known.delete(instance);
                    }
                    else {
                        totals.record(instance, { loads, spending }, nowMs);
                        known.set(instance, { atMs: nowMs, loads });
                    }
                    totals.expire(nowMs);
                    for (const [one, { atMs }] of known) {
                        if (nowMs - atMs > MAX_AGE_MS) {
                            known.delete(one);
                        }
                    }
                    const others = [...known].filter(([one]) => one !== "a").map(([, report]) => report.loads);
                    expect(totals.sumOtherLoads("a")).to.deep.equal(sumAll(others));
                    expect(totals.size).to.equal(known.size);
                }
            }),
            { seed: 7, numRuns: 300 },
        );
    });

    it("spending, of the entries that still report", () => {
        const totals = new ReportTotals(MAX_AGE_MS);
        totals.record("a", { loads: {}, spending: { s: { requests: 1, repeats: 1 } } }, 0);
        totals.record("b", { loads: {}, spending: { s: { requests: 7, repeats: 2, lost: 3 } } }, 0);
        totals.record(
            "c",
            { loads: {}, spending: { s: { requests: 10, repeats: 4 }, t: { requests: 1, repeats: 0 } } },
            500,
        );
        expect([...totals.sumOtherSpending("a")]).to.deep.equal([
            ["s", { requests: 17, repeats: 6, lost: 3 }],
            ["t", { requests: 1, repeats: 0, lost: 0 }],
        ]);
        totals.expire(MAX_AGE_MS + 1);
        expect([...totals.sumOtherSpending("a")]).to.deep.equal([
            ["s", { requests: 10, repeats: 4, lost: 0 }],
            ["t", { requests: 1, repeats: 0, lost: 0 }],
        ]);
    });
});
