import { expect } from "chai";
import { EngineShortage } from "../src/process/entry/engineShortage.js";

/** Looks at a service, by the time in milliseconds; "enough" where its engines hold the model. */
const rows: readonly {
    readonly title: string;
    readonly looks: readonly (readonly [atMs: number, look: "short" | "enough"])[];
    readonly isLasting: boolean;
}[] = [
    { title: "seen for the first time", looks: [[0, "short"]], isLasting: false },
    { title: "a moment later", looks: [[0, "short"], [1_000, "short"]], isLasting: false },
    { title: "as long as a request waits", looks: [[0, "short"], [1_000, "short"], [1_800, "short"]], isLasting: true },
    {
        title: "an engine came back in between",
        looks: [[0, "short"], [1_000, "enough"], [1_800, "short"]],
        isLasting: false,
    },
    { title: "nobody looked for long", looks: [[0, "short"], [60_000, "short"]], isLasting: false },
];

describe("engines that do not hold the model are told from some that were just lost", () => {
    for (const { title, looks, isLasting } of rows) {
        it(title, () => {
            let nowMs = 0;
            const shortage = new EngineShortage(() => nowMs);
            let last = false;
            looks.forEach(([atMs, look]) => {
                nowMs = atMs;
                if (look === "enough") {
                    shortage.recordSufficient("s");
                }
                else {
                    last = shortage.recordShortage("s");
                }
            });
            expect(last).to.equal(isLasting);
        });
    }

    it("each service for itself", () => {
        let nowMs = 0;
        const shortage = new EngineShortage(() => nowMs);
        shortage.recordShortage("a");
        nowMs = 2_000;
        expect(shortage.recordShortage("b")).to.equal(false);
        expect(shortage.recordShortage("a")).to.equal(true);
    });
});
