import { expect } from "chai";
import { decaySpending } from "../src/index.js";

describe("requests of an entry that reports no more leave the window, and its retries stay", () => {
    const rows = [
        { title: "a report within the interval of reports", ageMs: 600, requests: 40 },
        { title: "half a window old", ageMs: 5_000, requests: 20 },
        { title: "older than the window", ageMs: 11_000, requests: 0 },
    ];
    for (const { title, ageMs, requests } of rows) {
        it(title, () => {
            const decayed = decaySpending({ requests: 40, repeats: 7, lost: 3 }, ageMs, 10_000);
            expect(decayed).to.deep.equal({ requests, repeats: 7, lost: 3 });
        });
    }
});
