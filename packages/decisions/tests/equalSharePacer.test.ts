import { expect } from "chai";
import { EqualSharePacer } from "../src/connection/equalSharePacer.js";

describe("an entry alone keeps to its even part and saves nothing up", () => {
    const terms = { requestsASecond: 4, entries: 2 };
    const rows = [
        { title: "the first one is drawn", draw: 0.5, sentMs: [], atMs: 249, isDue: false },
        { title: "and due then", draw: 0.5, sentMs: [], atMs: 250, isDue: true },
        { title: "the next one after its part", draw: 0, sentMs: [0], atMs: 499, isDue: false },
        { title: "due then", draw: 0, sentMs: [0], atMs: 500, isDue: true },
        { title: "quiet seconds give one, not ten", draw: 0, sentMs: [5_000], atMs: 5_390, isDue: false },
        { title: "with a little of what was missed", draw: 0, sentMs: [5_000], atMs: 5_400, isDue: true },
    ];
    for (const { title, draw, sentMs, atMs, isDue } of rows) {
        it(title, () => {
            const pace = new EqualSharePacer(terms, 0, draw);
            sentMs.forEach((nowMs) => {
                pace.recordSend(terms, nowMs);
            });
            expect(pace.isDue(atMs)).to.equal(isDue);
        });
    }

    it("nothing goes to one that takes none", () => {
        const pace = new EqualSharePacer({ requestsASecond: 0, entries: 2 }, 0, 0.1);
        expect(pace.isDue(1_000_000)).to.equal(false);
    });
});
