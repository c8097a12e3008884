import { expect } from "chai";
import { StallReports } from "../src/process/entry/stallReports.js";
import { UpstreamHealth } from "../src/process/entry/upstreamHealth.js";

describe("an upstream that failed is left out for a while, longer each time", () => {
    const rows = [
        { title: "at once", suspicions: 1, afterMs: 0, isUsable: false },
        { title: "not for long the first time", suspicions: 1, afterMs: 900, isUsable: true },
        { title: "longer the second time", suspicions: 2, afterMs: 900, isUsable: false },
        { title: "never longer than the limit", suspicions: 9, afterMs: 6_100, isUsable: true },
    ];
    for (const { title, suspicions, afterMs, isUsable } of rows) {
        it(title, () => {
            let nowMs = 100_000;
            const health = new UpstreamHealth(() => nowMs);
            for (let suspicion = 0; suspicion < suspicions; suspicion += 1) {
                nowMs += 10_000;
                health.suspect("u");
            }
            nowMs += afterMs;
            expect(health.isUsable("u")).to.equal(isUsable);
            expect(health.formatSuspects()).to.equal(isUsable ? "" : "u");
        });
    }

    it("one that declined is passed over for a moment only, however often, and nobody is told", () => {
        let nowMs = 1_000;
        const health = new UpstreamHealth(() => nowMs);
        const isNew = Array.from({ length: 3 }, () => health.recordDecline("u"));
        expect(isNew).to.deep.equal([true, false, false]);
        expect([health.isUsable("u"), health.formatSuspects()]).to.deep.equal([false, "u"]);
        nowMs += 110;
        expect([health.isUsable("u"), health.formatSuspects()]).to.deep.equal([true, ""]);
        expect(health.takeSuspects()).to.deep.equal([]);
    });

    it("a good answer makes it as good as new", () => {
        let nowMs = 1_000;
        const health = new UpstreamHealth(() => nowMs);
        health.suspect("u");
        nowMs += 10_000;
        health.recordAnswer("u", 10, false);
        health.suspect("u");
        nowMs += 900;
        expect(health.isUsable("u")).to.equal(true);
    });

    it("suspicions are told once", () => {
        const health = new UpstreamHealth(() => 0);
        health.suspect("u");
        health.suspect("u");
        expect(health.takeSuspects()).to.deep.equal(["u"]);
        expect(health.takeSuspects()).to.deep.equal([]);
    });
});

describe("what is open is counted by its state", () => {
    it("from the start over the first token to the end", () => {
        const health = new UpstreamHealth(() => 0);
        health.recordStart("u");
        health.recordStart("u");
        expect(health.listLoads()).to.deep.equal({ u: { open: 2, unstarted: 2 } });
        health.recordStarted("u");
        health.recordEnd("u");
        expect(health.getLoad("u")).to.deep.equal({ open: 1, unstarted: 1 });
        health.recordStarted("u");
        health.recordEnd("u");
        expect(health.listLoads()).to.deep.equal({});
    });
});

describe("of two upstreams the better one has the lower score", () => {
    const rows: readonly { readonly title: string; readonly spoil: (health: UpstreamHealth) => void; }[] = [
        {
            title: "one that fails",
            spoil: (health) => {
                health.recordAnswer("bad", 50, true);
            },
        },
        {
            // It turned everything away within a millisecond, which counted as its time to answer: 13 against 50.
            title: "one that fails at once, again and again",
            spoil: (health) => {
                Array.from({ length: 20 }, () => {
                    health.recordAnswer("bad", 1, true);
                });
            },
        },
        {
            title: "one that gives up late, again and again",
            spoil: (health) => {
                Array.from({ length: 20 }, () => {
                    health.recordAnswer("bad", 3_000, true);
                });
            },
        },
        {
            title: "one that is slow",
            spoil: (health) => {
                health.recordAnswer("bad", 500, false);
            },
        },
        {
            title: "one that is busy",
            spoil: (health) => {
                health.recordStart("bad");
            },
        },
    ];
    for (const { title, spoil } of rows) {
        it(title, () => {
            const health = new UpstreamHealth(() => 0);
            health.recordAnswer("good", 50, false);
            health.recordAnswer("bad", 50, false);
            spoil(health);
            expect(health.computeScore("bad", 0, 50)).to.be.above(health.computeScore("good", 0, 50));
            expect(health.computeScore("good", 9, 50)).to.be.above(health.computeScore("good", 0, 50));
        });
    }
});

/**
 * One that turned everything away from its first request on got a quarter of all requests, 593 of 1,851 in half a minute: the two
 * milliseconds of its first refusal counted as its time to answer, since none was known.
 */
describe("what an upstream that never served took to fail is no time to answer", () => {
    const rows = [
        { title: "at once", failuresMs: [2] },
        { title: "at once, again and again", failuresMs: [2, 2, 2, 2, 2, 2] },
        { title: "late", failuresMs: [3_000] },
    ];
    for (const { title, failuresMs } of rows) {
        it(title, () => {
            const health = new UpstreamHealth(() => 0);
            health.recordAnswer("good", 30, false);
            failuresMs.forEach((durationMs) => {
                health.recordAnswer("bad", durationMs, true);
            });
            expect(health.computeScore("bad", 0, 30)).to.be.above(health.computeScore("good", 0, 30));
        });
    }
});

describe("requests that are silent together share a report", () => {
    it("asks once in a while, and tells each what concerns it", async () => {
        let nowMs = 0;
        let asked = 0;
        const reports = new StallReports({
            getReport: () => {
                asked += 1;
                return Promise.resolve({
                    kind: "report",
                    startedAtMs: undefined,
                    held: undefined,
                    orders: 0,
                    slowness: 1,
                    isOrderInProgress: false,
                    stalled: [{ requestId: "one", address: "a:1" }],
                });
            },
            placeLayers: () => Promise.resolve({ kind: "begun" }),
        }, () => nowMs);
        const both = await Promise.all([
            reports.ask({ id: "e", address: "e:1" }, "one"),
            reports.ask({ id: "e", address: "e:1" }, "two"),
        ]);
        expect(both).to.deep.equal([{ kind: "stalled", faultAddress: "a:1" }, { kind: "moving" }]);
        expect(asked).to.equal(1);
        nowMs += 200;
        await reports.ask({ id: "e", address: "e:1" }, "one");
        expect(asked).to.equal(2);
    });
});
