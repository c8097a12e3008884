import { FleetState } from "@crankfork/coordination";
import type { ReportedLimit, SendsParameters, SendsResult } from "@crankfork/schemas";
import { expect } from "chai";
import type { FleetMetrics } from "../src/process/fleetMetrics.js";
import { UpstreamRateLimits } from "../src/process/upstreamRateLimits.js";
import type { FleetReplicaHost } from "../src/process/voter/fleetProposal.js";
import { RateLimitCoordinator } from "../src/process/voter/rateLimitCoordinator.js";

const log = { record: () => undefined };
const count = (): undefined => undefined;
const metrics = { countLimitChange: count, recordLimitCount: count } as unknown as FleetMetrics;

/** A leader of two upstreams and four entries. */
class KeeperStand {
    nowMs = 10_000;
    term = 3;
    isLeading = true;
    inTouch = 4;
    news = 0;
    readonly limits: UpstreamRateLimits;
    readonly keeper: RateLimitCoordinator;

    constructor() {
        const state = new FleetState();
        ["u", "v"].forEach((id, index) => {
            const facts = { id, service: "s", address: id, failure_domain: "d", slots: 1 };
            state.apply({ kind: "put-upstream", facts, status: "ready" }, index + 1);
        });
        const host = {
            state,
            replica: { hasNewestState: () => this.isLeading, getStatus: () => ({ term: this.term }) },
        } as unknown as FleetReplicaHost;
        const getNowMs = (): number => this.nowMs;
        this.limits = new UpstreamRateLimits({
            getNowMs,
            log,
            metrics,
            handleChange: (id) => {
                this.keeper.handleLimitChange(id);
            },
        });
        this.keeper = new RateLimitCoordinator({
            host,
            limits: this.limits,
            getNowMs,
            countEntries: () => 4,
            countActiveEntries: () => this.inTouch,
            handleUpdate: () => {
                this.news += 1;
            },
        });
    }

    ask(some: Partial<SendsParameters>): SendsResult {
        return this.keeper.grantPermits({ instance: "e", entries: 4, heard: [], wanted: [], ...some });
    }
}

const told = (id: string, requests_a_second?: number): ReportedLimit => ({
    id,
    ...(requests_a_second === undefined ? {} : { requests_a_second }),
    asked_ms_ago: 10,
    heard_ms_ago: 5,
});
const wantU = [{ upstream: "u", count: 1, within_ms: 500 }];

describe("the leader hears of limits from one entry and tells all", () => {
    it("what is lacked, by changes", () => {
        const stand = new KeeperStand();
        const knowsNothing = { term: 0, change: 0 };
        expect(stand.keeper.hasUpdates(knowsNothing)).to.equal(false);
        stand.ask({ heard: [told("u", 2)] });
        const first = stand.keeper.listUpdates(knowsNothing);
        expect(first.limits).to.deep.equal([told("u", 2)]);
        stand.ask({ heard: [told("v", 4)] });
        expect(stand.keeper.listUpdates(first).limits).to.deep.equal([told("v", 4)]);
        expect(stand.keeper.hasUpdates(stand.keeper.listUpdates(first))).to.equal(false);
        expect(stand.news).to.equal(2);
    });

    it("an end, too", () => {
        const stand = new KeeperStand();
        stand.ask({ heard: [told("u", 2)] });
        const known = stand.keeper.listUpdates({ term: 0, change: 0 });
        stand.nowMs += 100;
        stand.ask({ heard: [told("u")] });
        expect(stand.keeper.listUpdates(known).limits).to.deep.equal([told("u")]);
    });

    it("nothing of upstreams that are not there", () => {
        const stand = new KeeperStand();
        stand.ask({ heard: [told("gone", 2)] });
        expect(stand.keeper.listUpdates({ term: 0, change: 0 }).limits).to.deep.equal([]);
    });

    it("a hundred at a time", () => {
        const stand = new KeeperStand();
        for (let number = 0; number < 150; number += 1) {
            stand.limits.applyReported(`x${String(number)}`, { requestsASecond: 1, askedMs: 1, heardMs: 2 }, "e");
        }
        const first = stand.keeper.listUpdates({ term: 0, change: 0 });
        const second = stand.keeper.listUpdates(first);
        expect([first.limits.length, second.limits.length]).to.deep.equal([100, 50]);
    });
});

describe("the leader hands out sends", () => {
    it("by the notice that comes with the question", () => {
        const stand = new KeeperStand();
        expect(stand.ask({ heard: [told("u", 4)], wanted: wantU })).to.deep.equal({
            kind: "sends",
            granted: [{ upstream: "u", in_ms: [250], next_in_ms: 500 }],
        });
    });

    it("freely where it knows that the limit is over, so that the entry finds out", () => {
        const stand = new KeeperStand();
        stand.ask({ heard: [told("u", 4)] });
        stand.nowMs += 100;
        stand.ask({ heard: [told("u")] });
        expect(stand.ask({ wanted: wantU })).to.deep.equal({
            kind: "sends",
            granted: [{ upstream: "u", in_ms: [0], next_in_ms: 0 }],
        });
    });

    it("not what entries out of reach may use", () => {
        const stand = new KeeperStand();
        stand.inTouch = 3;
        stand.ask({ heard: [told("u", 4)], wanted: wantU });
        const result = stand.ask({ wanted: [] });
        expect(result.kind).to.equal("sends");
        stand.nowMs += 260;
        const next = stand.ask({ wanted: wantU });
        expect(next.kind === "sends" ? next.granted[0]?.in_ms : undefined).to.deep.equal([407]);
    });

    it("by the highest number of entries that any of them was told", () => {
        const stand = new KeeperStand();
        stand.ask({ entries: 8 });
        stand.ask({ heard: [told("u", 4)], wanted: wantU });
        stand.nowMs += 260;
        const next = stand.ask({ wanted: [{ ...wantU[0]!, within_ms: 800 }] });
        expect(next.kind === "sends" ? next.granted[0]?.in_ms : undefined).to.deep.equal([740]);
    });

    it("only in its lease, and anew in each term", () => {
        const stand = new KeeperStand();
        stand.isLeading = false;
        expect(stand.ask({ heard: [told("u", 4)], wanted: wantU })).to.deep.equal({ kind: "not-leader" });
        stand.isLeading = true;
        stand.ask({ heard: [told("u", 4)], wanted: wantU });
        stand.term = 4;
        stand.nowMs += 1_000;
        const next = stand.ask({ wanted: wantU });
        expect(next.kind === "sends" ? next.granted[0]?.in_ms : undefined).to.deep.equal([250]);
    });
});
