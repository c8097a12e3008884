import { expect } from "chai";
import { MODEL, ORGANISATION } from "../src/harness/world.js";
import { checkCompletion, checkSlip, checkVersions } from "../src/soak/checkInvariants.js";
import { createFaultSchedule } from "../src/soak/faultSeries.js";
import { runSoak } from "../src/soak/soakRun.js";

/** Regression seeds with the cause of their failure, and one seed that never failed. */
const seeds: readonly { readonly seed: number; readonly cause: string; }[] = [
    { seed: 1, cause: "never failed; a short run for CI" },
    {
        seed: 108,
        cause: "a change confirmed while entries were paused was applied after the last poll of their versions",
    },
];

describe("no invariant is violated under overlapping faults", () => {
    for (const { seed, cause } of seeds) {
        it(`seed ${String(seed)} (${cause})`, async () => {
            const { violations, faults, served } = await runSoak({ seed, durationMs: 4_000, entries: 3, callers: 6 });
            expect(violations).to.deep.equal([]);
            expect(faults).to.have.length.above(0);
            expect(served).to.be.above(0);
        });
    }
});

describe("a soak run detects violations", () => {
    const ok = { status: 200, outcome: undefined, text: "a" };
    const notRun = { status: 503, outcome: "not-run", text: undefined };
    const unknown = { status: undefined, outcome: undefined, text: undefined };
    const slipRows = [
        { title: "printed once and acknowledged", answers: [ok], printed: 1, violations: 0 },
        { title: "printed once without a response", answers: [unknown], printed: 1, violations: 0 },
        { title: "refused as not run, then printed by a retry", answers: [notRun, ok], printed: 1, violations: 0 },
        { title: "printed twice", answers: [ok, ok], printed: 2, violations: 1 },
        { title: "acknowledged but never printed", answers: [ok], printed: 0, violations: 1 },
        { title: "refused as not run but printed", answers: [notRun], printed: 1, violations: 1 },
        { title: "answered with the text of another slip", answers: [{ ...ok, text: "b" }], printed: 1, violations: 1 },
    ];
    for (const { title, answers, printed, violations } of slipRows) {
        it(`slip: ${title}`, () => {
            expect(checkSlip({ slip: "a", answers, printCount: printed })).to.have.length(violations);
        });
    }

    const versionRows = [
        { title: "increasing", versions: [1, 1, 3], violations: 0 },
        { title: "decreasing", versions: [3, 2], violations: 1 },
    ];
    for (const { title, versions, violations } of versionRows) {
        it(`versions: ${title}`, () => {
            expect(checkVersions("e", versions)).to.have.length(violations);
        });
    }

    const call = { address: "", organisation: ORGANISATION, priority: "", model: MODEL, prompt: "p", maxTokens: 2 };
    const result = {
        call,
        status: 200,
        text: "not what was asked for",
        tokens: 2,
        errorId: undefined,
        outcome: undefined,
        requestId: "r",
        firstTokenMs: 1,
        durationMs: 1,
        tokenIntervalsMs: [],
        retryAfterMs: undefined,
    };
    const completionRows = [
        { title: "finished with a wrong text", change: {}, violations: 1 },
        { title: "interrupted with a wrong text", change: { errorId: "stream-cut" }, violations: 1 },
        {
            title: "interrupted before the first token",
            change: { errorId: "stream-cut", text: "", tokens: 0 },
            violations: 0,
        },
        {
            title: "refused as not run after tokens",
            change: { errorId: "e", outcome: "not-run", text: "" },
            violations: 1,
        },
    ];
    for (const { title, change, violations } of completionRows) {
        it(`completion: ${title}`, () => {
            expect(checkCompletion({ ...result, ...change })).to.have.length(violations);
        });
    }

    it("the same seed gives the same faults, and another seed gives others", () => {
        const options = { seed: 3, durationMs: 5_000, targets: 3 };
        expect(createFaultSchedule(options)).to.deep.equal(createFaultSchedule(options));
        expect(createFaultSchedule(options)).to.not.deep.equal(createFaultSchedule({ ...options, seed: 4 }));
    });
});
