import { expect } from "chai";
import { EngineReportCache } from "../src/process/entry/engineReportCache.js";
import { UpstreamHealth } from "../src/process/entry/upstreamHealth.js";
import { emptyReport } from "./leaderHarness.js";

describe("an upstream that failed is excluded for a while, longer each time", () => {
    const rows = [
        { title: "immediately", suspicions: 1, afterMs: 0, isUsable: false },
        { title: "briefly after the first failure", suspicions: 1, afterMs: 900, isUsable: true },
        { title: "longer after the second failure", suspicions: 2, afterMs: 900, isUsable: false },
        { title: "at most for the limit", suspicions: 9, afterMs: 6_100, isUsable: true },
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
            expect(health.formatExcluded()).to.equal(isUsable ? "" : "u");
        });
    }

    it("an upstream that declined is skipped briefly, however often, and not reported", () => {
        let nowMs = 1_000;
        const health = new UpstreamHealth(() => nowMs);
        const isNew = Array.from({ length: 3 }, () => health.recordDecline("u"));
        expect(isNew).to.deep.equal([true, false, false]);
        expect([health.isUsable("u"), health.formatExcluded()]).to.deep.equal([false, "u"]);
        nowMs += 110;
        expect([health.isUsable("u"), health.formatExcluded()]).to.deep.equal([true, ""]);
        expect(health.takeSuspects()).to.deep.equal([]);
    });

    it("a success resets the exclusion time", () => {
        let nowMs = 1_000;
        const health = new UpstreamHealth(() => nowMs);
        health.suspect("u");
        nowMs += 10_000;
        health.recordAnswer("u", 10, false);
        health.suspect("u");
        nowMs += 900;
        expect(health.isUsable("u")).to.equal(true);
    });

    it("suspicions are reported once", () => {
        const health = new UpstreamHealth(() => 0);
        health.suspect("u");
        health.suspect("u");
        expect(health.takeSuspects()).to.deep.equal(["u"]);
        expect(health.takeSuspects()).to.deep.equal([]);
    });
});

describe("open requests are counted by state", () => {
    it("from the start to the first token and the end", () => {
        const health = new UpstreamHealth(() => 0);
        health.recordRequestStart("u");
        health.recordRequestStart("u");
        expect(health.listLoads()).to.deep.equal({ u: { open: 2, unstarted: 2 } });
        health.recordFirstToken("u");
        health.recordEnd("u");
        expect(health.getLoad("u")).to.deep.equal({ open: 1, unstarted: 1 });
        health.recordFirstToken("u");
        health.recordEnd("u");
        expect(health.listLoads()).to.deep.equal({});
    });
});

describe("the better of two upstreams has the lower score", () => {
    const rows: readonly { readonly title: string; readonly degrade: (health: UpstreamHealth) => void; }[] = [
        {
            title: "a failure",
            degrade: (health) => {
                health.recordAnswer("bad", 50, true);
            },
        },
        {
            // Counting rejections within a millisecond as response times gave a score of 13 against 50.
            title: "repeated fast failures",
            degrade: (health) => {
                Array.from({ length: 20 }, () => {
                    health.recordAnswer("bad", 1, true);
                });
            },
        },
        {
            title: "repeated late failures",
            degrade: (health) => {
                Array.from({ length: 20 }, () => {
                    health.recordAnswer("bad", 3_000, true);
                });
            },
        },
        {
            title: "a slow response",
            degrade: (health) => {
                health.recordAnswer("bad", 500, false);
            },
        },
        {
            title: "an open request",
            degrade: (health) => {
                health.recordRequestStart("bad");
            },
        },
    ];
    for (const { title, degrade } of rows) {
        it(title, () => {
            const health = new UpstreamHealth(() => 0);
            health.recordAnswer("good", 50, false);
            health.recordAnswer("bad", 50, false);
            degrade(health);
            expect(health.computeScore("bad", 0, 50)).to.be.above(health.computeScore("good", 0, 50));
            expect(health.computeScore("good", 9, 50)).to.be.above(health.computeScore("good", 0, 50));
        });
    }
});

/**
 * An upstream that rejected everything from its first request on got a quarter of all requests, 593 of 1,851 in 30 s, because the
 * 2 ms of its first rejection counted as its response time.
 */
describe("failures of an upstream that never served don't count as response times", () => {
    const rows = [
        { title: "a fast failure", failuresMs: [2] },
        { title: "repeated fast failures", failuresMs: [2, 2, 2, 2, 2, 2] },
        { title: "a late failure", failuresMs: [3_000] },
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

describe("requests that stall together share a report", () => {
    it("one report answers several requests, until it is outdated", async () => {
        let nowMs = 0;
        let reportCount = 0;
        const reports = new EngineReportCache({
            getReport: () => {
                reportCount += 1;
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
            reports.checkStall({ id: "e", address: "e:1" }, "one"),
            reports.checkStall({ id: "e", address: "e:1" }, "two"),
        ]);
        expect(both).to.deep.equal([{ kind: "stalled", faultAddress: "a:1" }, { kind: "moving" }]);
        expect(reportCount).to.equal(1);
        nowMs += 200;
        await reports.checkStall({ id: "e", address: "e:1" }, "one");
        expect(reportCount).to.equal(2);
    });

    it("the report of a later start tells that the requests of an earlier one do not go on", async () => {
        const reports = new EngineReportCache({
            getReport: () => Promise.resolve({ ...emptyReport, startedAtMs: 2 }),
            placeLayers: () => Promise.resolve({ kind: "begun" }),
        }, () => 0);
        const engine = { id: "e@1", life: { name: "e", started_at_ms: 1 }, address: "e:1" };
        expect([await reports.checkStall(engine, "one"), await reports.isPathResponsive(engine, [])])
            .to.deep.equal([{ kind: "unreachable" }, false]);
    });
});
