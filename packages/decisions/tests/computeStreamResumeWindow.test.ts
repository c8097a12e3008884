import { expect } from "chai";
import { computeStreamResumeWindowMs, type StreamObjectives } from "../src/index.js";

const rows: readonly { readonly title: string; readonly objectives: StreamObjectives; readonly windowMs: number; }[] = [
    { title: "no pause objective", objectives: { objectiveMs: 500, pauseMs: undefined }, windowMs: 1_800 },
    {
        title: "short objectives: two seconds less the time to resume",
        objectives: { objectiveMs: 120, pauseMs: 50 },
        windowMs: 1_800,
    },
    { title: "a long objective", objectives: { objectiveMs: 1_000, pauseMs: 200 }, windowMs: 3_800 },
    { title: "long pauses", objectives: { objectiveMs: 400, pauseMs: 300 }, windowMs: 2_200 },
];

describe("a stream that lost its chain is held as long as its caller waits for the next event", () => {
    for (const { title, objectives, windowMs } of rows) {
        it(title, () => {
            expect(computeStreamResumeWindowMs(objectives)).to.equal(windowMs);
        });
    }
});
