import { FleetState } from "@crankfork/coordination";
import type { ReportedRateLimit, SendsParameters, SendsResult } from "@crankfork/schemas";
import { expect } from "chai";
import type { FleetMetrics } from "../src/process/fleetMetrics.js";
import { UpstreamRateLimits } from "../src/process/upstreamRateLimits.js";
import type { FleetReplicaHost } from "../src/process/voter/fleetProposal.js";
import { RateLimitCoordinator } from "../src/process/voter/rateLimitCoordinator.js";

const log = { record: () => undefined };
const count = (): undefined => undefined;
const metrics = { countLimitChange: count, recordLimitCount: count } as unknown as FleetMetrics;

/** A leader with two upstreams and four entries. */
class CoordinatorHarness {
    nowMs = 10_000;
    term = 3;
    isLeading = true;
    activeEntries = 4;
    updates = 0;
    readonly limits: UpstreamRateLimits;
    readonly coordinator: RateLimitCoordinator;

    constructor() {
        const state = new FleetState();
        ["u", "v"].forEach((id, index) => {
            const facts = { id, service: "s", address: id, failure_domain: "d", slots: 1 };
            state.apply({ kind: "put-upstream", facts, status: "ready" }, index + 1);
        });
        const host = {
            state,
            replica: { hasLeaderLease: () => this.isLeading, getStatus: () => ({ term: this.term }) },
        } as unknown as FleetReplicaHost;
        const getNowMs = (): number => this.nowMs;
        this.limits = new UpstreamRateLimits({
            getNowMs,
            log,
            metrics,
            handleChange: (id) => {
                this.coordinator.handleLimitChange(id);
            },
        });
        this.coordinator = new RateLimitCoordinator({
            host,
            limits: this.limits,
            getNowMs,
            countEntries: () => 4,
            countActiveEntries: () => this.activeEntries,
            handleUpdate: () => {
                this.updates += 1;
            },
        });
    }

    ask(some: Partial<SendsParameters>): SendsResult {
        return this.coordinator.grantPermits({ instance: "e", entries: 4, heard: [], wanted: [], ...some });
    }
}

const createReportedLimit = (id: string, requests_a_second?: number): ReportedRateLimit => ({
    id,
    ...(requests_a_second === undefined ? {} : { requests_a_second }),
    asked_ms_ago: 10,
    heard_ms_ago: 5,
});
const wantU = [{ upstream: "u", count: 1, within_ms: 500 }];

describe("the leader distributes rate limits reported by entries", () => {
    it("sends the changes that an entry lacks", () => {
        const harness = new CoordinatorHarness();
        const noneKnown = { term: 0, change: 0 };
        expect(harness.coordinator.hasUpdates(noneKnown)).to.equal(false);
        harness.ask({ heard: [createReportedLimit("u", 2)] });
        const first = harness.coordinator.listUpdates(noneKnown);
        expect(first.limits).to.deep.equal([createReportedLimit("u", 2)]);
        harness.ask({ heard: [createReportedLimit("v", 4)] });
        expect(harness.coordinator.listUpdates(first).limits).to.deep.equal([createReportedLimit("v", 4)]);
        expect(harness.coordinator.hasUpdates(harness.coordinator.listUpdates(first))).to.equal(false);
        expect(harness.updates).to.equal(2);
    });

    it("sends the end of a limit", () => {
        const harness = new CoordinatorHarness();
        harness.ask({ heard: [createReportedLimit("u", 2)] });
        const known = harness.coordinator.listUpdates({ term: 0, change: 0 });
        harness.nowMs += 100;
        harness.ask({ heard: [createReportedLimit("u")] });
        expect(harness.coordinator.listUpdates(known).limits).to.deep.equal([createReportedLimit("u")]);
    });

    it("ignores limits of unregistered upstreams", () => {
        const harness = new CoordinatorHarness();
        harness.ask({ heard: [createReportedLimit("gone", 2)] });
        expect(harness.coordinator.listUpdates({ term: 0, change: 0 }).limits).to.deep.equal([]);
    });

    it("sends at most one hundred limits per answer", () => {
        const harness = new CoordinatorHarness();
        for (let number = 0; number < 150; number += 1) {
            harness.limits.applyReported(`x${String(number)}`, {
                requestsPerSecond: 1,
                requestSentMs: 1,
                responseReceivedMs: 2,
            }, "e");
        }
        const first = harness.coordinator.listUpdates({ term: 0, change: 0 });
        const second = harness.coordinator.listUpdates(first);
        expect([first.limits.length, second.limits.length]).to.deep.equal([100, 50]);
    });
});

describe("the leader grants send permits", () => {
    it("according to the limit reported in the same request", () => {
        const harness = new CoordinatorHarness();
        expect(harness.ask({ heard: [createReportedLimit("u", 4)], wanted: wantU })).to.deep.equal({
            kind: "sends",
            granted: [{ upstream: "u", in_ms: [250], next_in_ms: 500 }],
        });
    });

    it("without restriction after the limit has ended, so that the entry discovers it", () => {
        const harness = new CoordinatorHarness();
        harness.ask({ heard: [createReportedLimit("u", 4)] });
        harness.nowMs += 100;
        harness.ask({ heard: [createReportedLimit("u")] });
        expect(harness.ask({ wanted: wantU })).to.deep.equal({
            kind: "sends",
            granted: [{ upstream: "u", in_ms: [0], next_in_ms: 0 }],
        });
    });

    it("except for the share of entries out of contact", () => {
        const harness = new CoordinatorHarness();
        harness.activeEntries = 3;
        harness.ask({ heard: [createReportedLimit("u", 4)], wanted: wantU });
        const result = harness.ask({ wanted: [] });
        expect(result.kind).to.equal("sends");
        harness.nowMs += 260;
        const next = harness.ask({ wanted: wantU });
        expect(next.kind === "sends" ? next.granted[0]?.in_ms : undefined).to.deep.equal([407]);
    });

    it("based on the highest entry count that any entry reports", () => {
        const harness = new CoordinatorHarness();
        harness.ask({ entries: 8 });
        harness.ask({ heard: [createReportedLimit("u", 4)], wanted: wantU });
        harness.nowMs += 260;
        const next = harness.ask({ wanted: [{ ...wantU[0]!, within_ms: 800 }] });
        expect(next.kind === "sends" ? next.granted[0]?.in_ms : undefined).to.deep.equal([740]);
    });

    it("only while it holds its lease, and with a new schedule in each term", () => {
        const harness = new CoordinatorHarness();
        harness.isLeading = false;
        expect(harness.ask({ heard: [createReportedLimit("u", 4)], wanted: wantU })).to.deep.equal({
            kind: "not-leader",
        });
        harness.isLeading = true;
        harness.ask({ heard: [createReportedLimit("u", 4)], wanted: wantU });
        harness.term = 4;
        harness.nowMs += 1_000;
        const next = harness.ask({ wanted: wantU });
        expect(next.kind === "sends" ? next.granted[0]?.in_ms : undefined).to.deep.equal([250]);
    });
});

describe("a request for more permits than the leader can list is granted in part", () => {
    for (const limit of [undefined, 1e300, 1]) {
        it(`limit of ${String(limit)} requests per second`, () => {
            const harness = new CoordinatorHarness();
            const heard = limit === undefined ? [] : [createReportedLimit("u", limit)];
            const wanted = [{ upstream: "u", count: Number.MAX_SAFE_INTEGER, within_ms: 500 }];
            const result = harness.ask({ heard, wanted });
            expect(result).to.have.property("kind", "sends");
            expect(result.kind === "sends" ? result.granted[0]?.in_ms.length : undefined).to.be.at.most(10_000);
        });

        it(`limit of ${String(limit)} requests per second, asked for many times over`, () => {
            const harness = new CoordinatorHarness();
            const heard = limit === undefined ? [] : [createReportedLimit("u", limit)];
            const wanted = Array.from({ length: 200 }, () => ({ upstream: "u", count: 10_000, within_ms: 500 }));
            const result = harness.ask({ heard, wanted });
            const granted = result.kind === "sends" ? result.granted : [];
            expect(granted).to.have.lengthOf(wanted.length);
            expect(granted.reduce((sum, { in_ms }) => sum + in_ms.length, 0)).to.be.at.most(100_000);
        });
    }
});
