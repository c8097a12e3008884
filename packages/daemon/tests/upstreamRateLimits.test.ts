import { expect } from "chai";
import type { FleetMetrics } from "../src/process/fleetMetrics.js";
import { UpstreamRateLimits } from "../src/process/upstreamRateLimits.js";

const count = (): undefined => undefined;
const metrics = { countLimitChange: count, recordLimitCount: count } as unknown as FleetMetrics;

class LimitHarness {
    nowMs = 1_000;
    readonly events: string[] = [];
    readonly limits = new UpstreamRateLimits({
        getNowMs: () => this.nowMs,
        log: {
            record: (_level, event, { peer, change, requests_a_second, source } = {}) => {
                this.events.push(
                    [event, peer, change, requests_a_second, source].filter((one) => one !== undefined).join(" "),
                );
            },
        },
        metrics,
        handleChange: count,
    });

    receive(requestsPerSecond: number | undefined, requestSentMs: number): void {
        this.limits.applyNotice(
            "u",
            requestsPerSecond === undefined ? { kind: "none" } : { kind: "limit", requestsPerSecond },
            { asked: "1", requestSentMs, isReport: false },
        );
    }
}

describe("logs when a limit begins, changes and ends, and nothing while it stays the same", () => {
    it("learned from answers to this instance", () => {
        const harness = new LimitHarness();
        harness.receive(undefined, 990);
        harness.receive(2, 990);
        harness.receive(2, 991);
        harness.nowMs = 1_010;
        harness.receive(40, 1_000);
        harness.nowMs = 1_020;
        harness.receive(3, 1_015);
        harness.nowMs = 1_030;
        harness.receive(undefined, 1_021);
        expect(harness.events).to.deep.equal([
            "upstream-limit u begun 2 heard",
            "upstream-limit u raised 40 heard",
            "upstream-limit u lowered 3 heard",
            "upstream-limit u ended heard",
        ]);
    });

    it("an unreadable notice changes nothing", () => {
        const harness = new LimitHarness();
        harness.receive(2, 990);
        harness.limits.applyNotice("u", { kind: "unreadable", text: "-1" }, {
            asked: "1",
            requestSentMs: 1_000,
            isReport: false,
        });
        expect([harness.limits.getLimit("u"), harness.events.at(-1)]).to.deep.equal([2, "upstream-limit-unreadable u"]);
    });

    const reports = [
        { title: "reports without limits", inReport: { kind: "none" } as const, left: 2 },
        { title: "reports with limits", inReport: { kind: "limit", requestsPerSecond: 2 } as const, left: undefined },
    ];
    for (const { title, inReport, left } of reports) {
        it(`a report without a limit, after ${title}, ${left === undefined ? "ends" : "does not end"} the limit`, () => {
            const harness = new LimitHarness();
            harness.receive(2, 990);
            harness.nowMs = 1_100;
            harness.limits.applyNotice("u", inReport, { asked: "report", requestSentMs: 1_050, isReport: true });
            harness.nowMs = 1_200;
            harness.limits.applyNotice("u", { kind: "none" }, {
                asked: "report",
                requestSentMs: 1_150,
                isReport: true,
            });
            expect(harness.limits.getLimit("u")).to.equal(left);
        });
    }

    it("a delayed older notice from another instance does not restart an ended limit", () => {
        const harness = new LimitHarness();
        harness.receive(2, 990);
        harness.nowMs = 1_100;
        harness.receive(undefined, 1_050);
        harness.nowMs = 1_200;
        harness.limits.applyReported("u", { requestsPerSecond: 2, requestSentMs: 980, responseReceivedMs: 995 }, "e");
        expect(harness.limits.getLimit("u")).to.equal(undefined);
    });

    it("a later incarnation starts without a limit", () => {
        const harness = new LimitHarness();
        harness.receive(2, 990);
        harness.limits.prune(() => false);
        expect([harness.limits.listIds(), harness.events.at(-1)]).to.deep.equal([
            [],
            "upstream-limit u ended told",
        ]);
    });

    it("the end of a limit is forgotten after the retention time", () => {
        const harness = new LimitHarness();
        harness.receive(2, 990);
        harness.nowMs = 1_100;
        harness.receive(undefined, 1_050);
        harness.limits.prune(() => true);
        expect(harness.limits.listIds()).to.deep.equal(["u"]);
        harness.nowMs = 40_000;
        harness.limits.prune(() => true);
        expect(harness.limits.listIds()).to.deep.equal([]);
    });
});
