import { expect } from "chai";
import type { FleetMetrics } from "../src/process/fleetMetrics.js";
import { UpstreamRateLimits } from "../src/process/upstreamRateLimits.js";

const count = (): undefined => undefined;
const metrics = { countLimitChange: count, recordLimitCount: count } as unknown as FleetMetrics;

class LimitStand {
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

    receive(requestsASecond: number | undefined, askedMs: number): void {
        this.limits.applyNotice(
            "u",
            requestsASecond === undefined ? { kind: "none" } : { kind: "limit", requestsASecond },
            { asked: "1", askedMs, isReport: false },
        );
    }
}

describe("a line where a limit begins, changes and ends, and none where nothing changes", () => {
    it("by answers to this instance", () => {
        const stand = new LimitStand();
        stand.receive(undefined, 990);
        stand.receive(2, 990);
        stand.receive(2, 991);
        stand.nowMs = 1_010;
        stand.receive(40, 1_000);
        stand.nowMs = 1_020;
        stand.receive(3, 1_015);
        stand.nowMs = 1_030;
        stand.receive(undefined, 1_021);
        expect(stand.events).to.deep.equal([
            "upstream-limit u begun 2 heard",
            "upstream-limit u raised 40 heard",
            "upstream-limit u lowered 3 heard",
            "upstream-limit u ended heard",
        ]);
    });

    it("what can't be read changes nothing", () => {
        const stand = new LimitStand();
        stand.receive(2, 990);
        stand.limits.applyNotice("u", { kind: "unreadable", text: "-1" }, {
            asked: "1",
            askedMs: 1_000,
            isReport: false,
        });
        expect([stand.limits.getLimit("u"), stand.events.at(-1)]).to.deep.equal([2, "upstream-limit-unreadable u"]);
    });

    const reports = [
        { title: "reports that say nothing of limits", inReport: { kind: "none" } as const, left: 2 },
        { title: "reports that name them", inReport: { kind: "limit", requestsASecond: 2 } as const, left: undefined },
    ];
    for (const { title, inReport, left } of reports) {
        it(`a report without one ends it only after ${title}`, () => {
            const stand = new LimitStand();
            stand.receive(2, 990);
            stand.nowMs = 1_100;
            stand.limits.applyNotice("u", inReport, { asked: "report", askedMs: 1_050, isReport: true });
            stand.nowMs = 1_200;
            stand.limits.applyNotice("u", { kind: "none" }, { asked: "report", askedMs: 1_150, isReport: true });
            expect(stand.limits.getLimit("u")).to.equal(left);
        });
    }

    it("an older notice that another instance tells late does not begin it again", () => {
        const stand = new LimitStand();
        stand.receive(2, 990);
        stand.nowMs = 1_100;
        stand.receive(undefined, 1_050);
        stand.nowMs = 1_200;
        stand.limits.applyReported("u", { requestsASecond: 2, askedMs: 980, heardMs: 995 }, "e");
        expect(stand.limits.getLimit("u")).to.equal(undefined);
    });

    it("a later life has none", () => {
        const stand = new LimitStand();
        stand.receive(2, 990);
        stand.limits.prune(() => false);
        expect([stand.limits.listIds(), stand.events.at(-1)]).to.deep.equal([
            [],
            "upstream-limit u ended told",
        ]);
    });

    it("an end is forgotten after a while", () => {
        const stand = new LimitStand();
        stand.receive(2, 990);
        stand.nowMs = 1_100;
        stand.receive(undefined, 1_050);
        stand.limits.prune(() => true);
        expect(stand.limits.listIds()).to.deep.equal(["u"]);
        stand.nowMs = 40_000;
        stand.limits.prune(() => true);
        expect(stand.limits.listIds()).to.deep.equal([]);
    });
});
