import type { RegisteredUpstream } from "@crankfork/schemas";
import { expect } from "chai";
import { UpstreamHealth } from "../src/process/entry/upstreamHealth.js";
import { UpstreamNoticeHandler } from "../src/process/entry/upstreamNoticeHandler.js";
import type { FleetMetrics } from "../src/process/fleetMetrics.js";
import type { ReceivedResponse } from "../src/request/requestFunctions.js";
import type { CallTarget, UpstreamNotice } from "../src/request/routedCall.js";
import { FleetView } from "../src/version/fleetView.js";
import { createSettings } from "./entrySettings.js";
import { createFullState } from "./fullState.js";

const DRAIN_MS = 2_000;

/** Notice handler with three engines and a path through two of them. */
class NoticeHarness {
    nowMs = 0;
    readonly events: string[] = [];
    readonly reported: unknown[] = [];
    /** Number of reports that fail for lack of a leader. */
    failingReports = 0;
    readonly notices: UpstreamNoticeHandler;
    readonly functions: ReturnType<UpstreamNoticeHandler["createFunctions"]>;
    private readonly view = new FleetView();

    constructor() {
        const getNowMs = (): number => this.nowMs;
        const count = (): undefined => undefined;
        this.notices = new UpstreamNoticeHandler({
            view: this.view,
            health: new UpstreamHealth(getNowMs),
            getNowMs,
            log: {
                record: (_level, event, { peer, change } = {}) =>
                    this.events.push([event, peer, change].join(" ").trim()),
            },
            metrics: {
                countBackoff: count,
                countSuppressedSend: count,
                countLeavingNotice: count,
            } as unknown as FleetMetrics,
            countEntries: () => 1,
            random: () => 0,
            settings: createSettings({ drain: DRAIN_MS }),
            askLeader: (_method, parameters) => {
                this.failingReports -= 1;
                if (this.failingReports >= 0) {
                    return Promise.reject(new Error("no leader is known"));
                }
                this.reported.push(parameters);
                return Promise.resolve({ is_taken: true });
            },
        });
        this.functions = this.notices.createFunctions();
        this.view.applyUpstreams(createFullState(1, ["a", "b", "c"].map(createUpstream)));
    }

    receive(notice: Partial<UpstreamNotice>, answer: Partial<ReceivedResponse> = {}): void {
        this.functions.receive(target, {
            backoff: { kind: "none" },
            leaving: "not-said",
            limit: { kind: "none" },
            ...notice,
        }, {
            requestId: "1",
            verdict: { kind: "answer", faultAddress: undefined },
            status: 200,
            sentMs: this.nowMs,
            ...answer,
        });
    }
}

const createUpstream = (id: string): RegisteredUpstream => ({
    id,
    service: "s",
    address: `at-${id}`,
    failure_domain: "d",
    slots: 4,
    status: "ready",
});
const createStage = (id: string, first: number, end: number): NonNullable<CallTarget["stages"]>[number] => ({
    engine: { id, address: `at-${id}` } as NonNullable<CallTarget["stages"]>[number]["engine"],
    span: { first, end },
});
/** First `a`, then `b`. */
const target: CallTarget = {
    upstreamId: "a",
    upstreamName: "a",
    address: "at-a",
    stages: [createStage("a", 0, 4), createStage("b", 4, 8)],
    remainingMs: 1_000,
    organisation: undefined,
    priority: 1,
    lastEventId: undefined,
};

describe("a shutdown notice applies permanently to the incarnation asked, and only if it answered itself", () => {
    const rows: readonly {
        readonly title: string;
        readonly leaving?: UpstreamNotice["leaving"];
        readonly answer?: Partial<ReceivedResponse>;
        readonly isLeaving: boolean;
        readonly events: readonly string[];
    }[] = [
        { title: "in an answer", isLeaving: true, events: ["upstream-leaving-notice a"] },
        {
            title: "in a rejection",
            answer: { verdict: { kind: "declined", faultAddress: undefined }, status: 503 },
            isLeaving: true,
            events: ["upstream-leaving-notice a"],
        },
        {
            title: "in a rejection that names another engine of the path",
            answer: { verdict: { kind: "declined", faultAddress: "at-b" }, status: 503 },
            isLeaving: true,
            events: ["upstream-leaving-notice a"],
        },
        {
            title: "in a stray answer",
            answer: { verdict: { kind: "stray", faultAddress: undefined } },
            isLeaving: false,
            events: [],
        },
        {
            title: "from another upstream that uses the address now",
            answer: { verdict: { kind: "declined", faultAddress: undefined }, status: 421 },
            isLeaving: false,
            events: [],
        },
        { title: "without a notice", leaving: "not-said", isLeaving: false, events: [] },
        {
            title: "with an invalid notice",
            leaving: "unreadable",
            isLeaving: false,
            events: ["upstream-leaving-unreadable a"],
        },
    ];
    for (const { title, leaving = "said", answer, isLeaving, events } of rows) {
        it(`${title}: ${isLeaving ? "leaving" : "no change"}`, () => {
            const harness = new NoticeHarness();
            harness.receive({ leaving }, answer);
            expect(["a", "b"].map((id) => harness.notices.leaving.isLeaving(id))).to.deep.equal([isLeaving, false]);
            expect(harness.events).to.deep.equal(events);
        });
    }

    it("is logged once, reported until the leader accepts it, and dropped with the incarnation", async () => {
        const harness = new NoticeHarness();
        harness.failingReports = 2;
        harness.receive({ leaving: "said" });
        harness.receive({ leaving: "said" });
        await new Promise((resolve) => setTimeout(resolve, 400));
        expect(harness.reported).to.deep.equal([{ instance: "entry", upstreams: ["a"] }]);
        expect(harness.events).to.deep.equal([
            "upstream-leaving-notice a",
            "leaving-not-reported",
            "leaving-not-reported",
            "leaving-reported",
        ]);
        harness.receive({ leaving: "not-said" });
        expect(harness.notices.leaving.isLeaving("a")).to.equal(true);
        harness.notices.prune((id) => id !== "a");
        expect(harness.notices.leaving.isLeaving("a")).to.equal(false);
    });

    it("a leaving upstream accepts requests only in the early part of its drain time", () => {
        const harness = new NoticeHarness();
        harness.receive({ leaving: "said" });
        const seen = [0, DRAIN_MS / 2 - 1, DRAIN_MS / 2, DRAIN_MS].map((nowMs) => {
            harness.nowMs = nowMs;
            return harness.functions.maySend(target);
        });
        expect(seen).to.deep.equal([true, true, false, false]);
    });
});

describe("a backoff applies to every engine that may have requested it", () => {
    const backoff: UpstreamNotice["backoff"] = { kind: "rest", backoffMs: 3_000 };
    const rows: readonly {
        readonly title: string;
        readonly backoff?: UpstreamNotice["backoff"];
        readonly answer?: Partial<ReceivedResponse>;
        readonly resting: readonly string[];
    }[] = [
        { title: "the engine that answered", resting: ["a"] },
        {
            title: "a later engine of the path is named: both",
            answer: { verdict: { kind: "declined", faultAddress: "at-b" } },
            resting: ["a", "b"],
        },
        {
            title: "an engine outside the path is named",
            answer: { verdict: { kind: "declined", faultAddress: "at-c" } },
            resting: ["a"],
        },
        {
            title: "an unknown engine is named",
            answer: { verdict: { kind: "declined", faultAddress: "at-x" } },
            resting: ["a"],
        },
        {
            title: "a stray answer: its sender is at this address",
            answer: { verdict: { kind: "stray", faultAddress: undefined } },
            resting: ["a"],
        },
        { title: "an invalid notice", backoff: { kind: "unreadable", text: "soon" }, resting: [] },
    ];
    for (const { title, backoff: notice = backoff, answer, resting } of rows) {
        it(title, () => {
            const harness = new NoticeHarness();
            harness.receive({ backoff: notice }, { status: 503, ...answer });
            const { backoffs } = harness.notices;
            expect(["a", "b", "c"].filter((id) => backoffs.isBackingOff(id))).to.deep.equal(resting);
            expect(harness.functions.maySend(target)).to.equal(resting.length === 0);
            expect(harness.events.length).to.equal(Math.max(1, resting.length));
        });
    }

    it("ends with its duration or its incarnation, and logs both ends", () => {
        const harness = new NoticeHarness();
        harness.receive({ backoff }, { status: 503 });
        harness.nowMs = 2_999;
        harness.notices.prune(() => true);
        expect(harness.functions.maySend(target)).to.equal(false);
        harness.nowMs = 3_000;
        harness.notices.prune(() => true);
        expect(harness.functions.maySend(target)).to.equal(true);
        harness.receive({ backoff: { kind: "rest", backoffMs: Number.POSITIVE_INFINITY } }, { status: 503 });
        harness.nowMs = 1e15;
        expect(harness.functions.maySend(target)).to.equal(false);
        harness.notices.prune((id) => id !== "a");
        expect(harness.functions.maySend(target)).to.equal(true);
        expect(harness.events).to.deep.equal([
            "upstream-rest a begun",
            "upstream-rest a ended",
            "upstream-rest a begun",
            "upstream-rest a ended",
        ]);
    });

    it("callers get staggered retry times, none before the end", () => {
        const harness = new NoticeHarness();
        const times = Array.from({ length: 200 }, () => harness.functions.computeRetryAfterMs({ name: "s" }, 3_000));
        expect(Math.min(...times)).to.equal(3_000);
        expect(Math.max(...times)).to.be.at.most(5_000);
        // Three upstreams with four slots and 50 ms per answer serve 240 requests per second; half of that at first.
        const first = times.filter((ms) => ms < 3_100).length;
        expect(first).to.be.at.most(24);
    });
});
