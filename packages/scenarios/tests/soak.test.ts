import { expect } from "chai";
import { MODEL, ORGANISATION } from "../src/harness/world.js";
import { checkCompletion, checkSlip, checkVersions } from "../src/soak/checkInvariants.js";
import { createFaultSchedule } from "../src/soak/faultSeries.js";
import { runSoak } from "../src/soak/soakRun.js";

/** Seeds that failed once, each with its cause, and one that never did. */
const seeds: readonly { readonly seed: number; readonly cause: string; }[] = [
    { seed: 1, cause: "never failed; a short run for CI" },
    { seed: 108, cause: "a change confirmed while entries were paused came after the last look at their versions" },
];

describe("no promise is broken while faults come in series and overlap", () => {
    for (const { seed, cause } of seeds) {
        it(`seed ${String(seed)} (${cause})`, async () => {
            const { violations, faults, served } = await runSoak({ seed, durationMs: 4_000, entries: 3, callers: 6 });
            expect(violations).to.deep.equal([]);
            expect(faults).to.have.length.above(0);
            expect(served).to.be.above(0);
        });
    }
});

describe("a soak sees what is broken", () => {
    const ok = { status: 200, outcome: undefined, text: "a" };
    const notRun = { status: 503, outcome: "not-run", text: undefined };
    const unknown = { status: undefined, outcome: undefined, text: undefined };
    const slipRows = [
        { title: "printed once and told so", answers: [ok], printed: 1, broken: 0 },
        { title: "printed once, and the caller knows nothing", answers: [unknown], printed: 1, broken: 0 },
        { title: "told as not run, then printed by a repeat", answers: [notRun, ok], printed: 1, broken: 0 },
        { title: "printed twice", answers: [ok, ok], printed: 2, broken: 1 },
        { title: "told, never printed", answers: [ok], printed: 0, broken: 1 },
        { title: "told as not run, and printed", answers: [notRun], printed: 1, broken: 1 },
        { title: "another's answer", answers: [{ ...ok, text: "b" }], printed: 1, broken: 1 },
    ];
    for (const { title, answers, printed, broken } of slipRows) {
        it(`slip: ${title}`, () => {
            expect(checkSlip({ slip: "a", answers, printCount: printed })).to.have.length(broken);
        });
    }

    const versionRows = [
        { title: "rising", versions: [1, 1, 3], broken: 0 },
        { title: "going back", versions: [3, 2], broken: 1 },
    ];
    for (const { title, versions, broken } of versionRows) {
        it(`versions: ${title}`, () => {
            expect(checkVersions("e", versions)).to.have.length(broken);
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
        { title: "ended well with another text", change: {}, broken: 1 },
        { title: "broken with another text", change: { errorId: "stream-cut" }, broken: 1 },
        { title: "broken before its first token", change: { errorId: "stream-cut", text: "", tokens: 0 }, broken: 0 },
        { title: "not run after tokens", change: { errorId: "e", outcome: "not-run", text: "" }, broken: 1 },
    ];
    for (const { title, change, broken } of completionRows) {
        it(`completion: ${title}`, () => {
            expect(checkCompletion({ ...result, ...change })).to.have.length(broken);
        });
    }

    it("the same seed draws the same faults, another seed others", () => {
        const options = { seed: 3, durationMs: 5_000, targets: 3 };
        expect(createFaultSchedule(options)).to.deep.equal(createFaultSchedule(options));
        expect(createFaultSchedule(options)).to.not.deep.equal(createFaultSchedule({ ...options, seed: 4 }));
    });
});
