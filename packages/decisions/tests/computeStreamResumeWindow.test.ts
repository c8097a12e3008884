import { expect } from "chai";
import { computeStreamResumeWindowMs, type StreamObjectives } from "../src/index.js";

const rows: readonly { readonly title: string; readonly contract: StreamObjectives; readonly patienceMs: number; }[] = [
    { title: "no pause is named", contract: { objectiveMs: 500, pauseMs: undefined }, patienceMs: 1_800 },
    {
        title: "short objectives: two seconds less the way",
        contract: { objectiveMs: 120, pauseMs: 50 },
        patienceMs: 1_800,
    },
    { title: "a long objective", contract: { objectiveMs: 1_000, pauseMs: 200 }, patienceMs: 3_800 },
    { title: "long pauses", contract: { objectiveMs: 400, pauseMs: 300 }, patienceMs: 2_200 },
];

describe("a stream that lost its path is held as long as its caller waits for the next event", () => {
    for (const { title, contract, patienceMs } of rows) {
        it(title, () => {
            expect(computeStreamResumeWindowMs(contract)).to.equal(patienceMs);
        });
    }
});
