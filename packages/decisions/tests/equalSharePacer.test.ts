import { expect } from "chai";
import { EqualSharePacer } from "../src/connection/equalSharePacer.js";

describe("an entry without a leader keeps to its equal share and saves nothing up", () => {
    const limit = { requestsPerSecond: 4, entries: 2 };
    const rows = [
        { title: "the first send has a random offset", random: 0.5, sentMs: [], atMs: 249, isDue: false },
        { title: "and is due then", random: 0.5, sentMs: [], atMs: 250, isDue: true },
        { title: "the next one after its interval", random: 0, sentMs: [0], atMs: 499, isDue: false },
        { title: "is due then", random: 0, sentMs: [0], atMs: 500, isDue: true },
        { title: "idle seconds permit one, not ten", random: 0, sentMs: [5_000], atMs: 5_390, isDue: false },
        { title: "with a small backlog", random: 0, sentMs: [5_000], atMs: 5_400, isDue: true },
    ];
    for (const { title, random, sentMs, atMs, isDue } of rows) {
        it(title, () => {
            const pace = new EqualSharePacer(limit, 0, random);
            sentMs.forEach((nowMs) => {
                pace.recordSend(limit, nowMs);
            });
            expect(pace.isDue(atMs)).to.equal(isDue);
        });
    }

    it("nothing is sent to an upstream with a limit of 0", () => {
        const pace = new EqualSharePacer({ requestsPerSecond: 0, entries: 2 }, 0, 0.1);
        expect(pace.isDue(1_000_000)).to.equal(false);
    });
});
