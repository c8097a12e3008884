import { expect } from "chai";
import { EngineShortage } from "../src/process/entry/engineShortage.js";

/** Observations of a service over time; "enough" means that its engines hold the complete model. */
const rows: readonly {
    readonly title: string;
    readonly observations: readonly (readonly [atMs: number, observation: "short" | "enough"])[];
    readonly isPersistent: boolean;
}[] = [
    { title: "first observation", observations: [[0, "short"]], isPersistent: false },
    { title: "shortly after", observations: [[0, "short"], [1_000, "short"]], isPersistent: false },
    {
        title: "after the maximum wait of a request",
        observations: [[0, "short"], [1_000, "short"], [1_800, "short"]],
        isPersistent: true,
    },
    {
        title: "an engine returned in between",
        observations: [[0, "short"], [1_000, "enough"], [1_800, "short"]],
        isPersistent: false,
    },
    { title: "no observation for a long time", observations: [[0, "short"], [60_000, "short"]], isPersistent: false },
];

describe("a persistent shortage of engines is distinguished from engines that were just lost", () => {
    for (const { title, observations, isPersistent } of rows) {
        it(title, () => {
            let nowMs = 0;
            const shortage = new EngineShortage(() => nowMs);
            let last = false;
            observations.forEach(([atMs, observation]) => {
                nowMs = atMs;
                if (observation === "enough") {
                    shortage.recordSufficient("s");
                }
                else {
                    last = shortage.recordShortage("s");
                }
            });
            expect(last).to.equal(isPersistent);
        });
    }

    it("per service", () => {
        let nowMs = 0;
        const shortage = new EngineShortage(() => nowMs);
        shortage.recordShortage("a");
        nowMs = 2_000;
        expect(shortage.recordShortage("b")).to.equal(false);
        expect(shortage.recordShortage("a")).to.equal(true);
    });
});
