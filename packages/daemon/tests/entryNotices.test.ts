import type { RegisteredUpstream } from "@crankfork/schemas";
import { expect } from "chai";
import { EntryNotices } from "../src/process/entry/entryNotices.js";
import { UpstreamHealth } from "../src/process/entry/upstreamHealth.js";
import type { FleetMetrics } from "../src/process/fleetMetrics.js";
import type { ReceivedResponse } from "../src/request/requestFunctions.js";
import type { CallTarget, UpstreamNotice } from "../src/request/routedCall.js";
import { FleetView } from "../src/version/fleetView.js";
import { createSettings } from "./entrySettings.js";
import { createWholeState } from "./wholeState.js";

const DRAIN_MS = 2_000;

/** An entry that knows three engines, and a path through two of them. */
class NoticeStand {
    nowMs = 0;
    readonly events: string[] = [];
    readonly told: unknown[] = [];
    /** How many times there is no leader. */
    leaderless = 0;
    readonly notices: EntryNotices;
    readonly functions: ReturnType<EntryNotices["createFunctions"]>;
    private readonly view = new FleetView();

    constructor() {
        const getNowMs = (): number => this.nowMs;
        const count = (): undefined => undefined;
        this.notices = new EntryNotices({
            view: this.view,
            health: new UpstreamHealth(getNowMs),
            getNowMs,
            log: {
                record: (_level, event, { peer, change } = {}) =>
                    this.events.push([event, peer, change].join(" ").trim()),
            },
            metrics: { countRest: count, countKeptBack: count, countLeavingNotice: count } as unknown as FleetMetrics,
            countEntries: () => 1,
            random: () => 0,
            settings: createSettings({ drain: DRAIN_MS }),
            askLeader: (_method, parameters) => {
                this.leaderless -= 1;
                if (this.leaderless >= 0) {
                    return Promise.reject(new Error("no leader is known"));
                }
                this.told.push(parameters);
                return Promise.resolve({ is_taken: true });
            },
        });
        this.functions = this.notices.createFunctions();
        this.view.applyUpstreams(createWholeState(1, ["a", "b", "c"].map(createUpstream)));
    }

    receive(notice: Partial<UpstreamNotice>, answer: Partial<ReceivedResponse> = {}): void {
        this.functions.receive(target, {
            rest: { kind: "none" },
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

describe("a notice of leaving counts for the life that was asked, and for good", () => {
    const rows: readonly {
        readonly title: string;
        readonly leaving?: UpstreamNotice["leaving"];
        readonly answer?: Partial<ReceivedResponse>;
        readonly isLeaving: boolean;
        readonly events: readonly string[];
    }[] = [
        { title: "an answer", isLeaving: true, events: ["upstream-leaving-notice a"] },
        {
            title: "a request that was turned away",
            answer: { verdict: { kind: "declined", faultAddress: undefined }, status: 503 },
            isLeaving: true,
            events: ["upstream-leaving-notice a"],
        },
        {
            title: "another's fault on the path",
            answer: { verdict: { kind: "declined", faultAddress: "at-b" }, status: 503 },
            isLeaving: true,
            events: ["upstream-leaving-notice a"],
        },
        {
            title: "a stray answer",
            answer: { verdict: { kind: "stray", faultAddress: undefined } },
            isLeaving: false,
            events: [],
        },
        {
            title: "another upstream that uses the address now",
            answer: { verdict: { kind: "declined", faultAddress: undefined }, status: 421 },
            isLeaving: false,
            events: [],
        },
        { title: "no notice", leaving: "not-said", isLeaving: false, events: [] },
        {
            title: "a notice that makes no sense",
            leaving: "unreadable",
            isLeaving: false,
            events: ["upstream-leaving-unreadable a"],
        },
    ];
    for (const { title, leaving = "said", answer, isLeaving, events } of rows) {
        it(`${title}: ${isLeaving ? "it leaves" : "nothing changes"}`, () => {
            const stand = new NoticeStand();
            stand.receive({ leaving }, answer);
            expect(["a", "b"].map((id) => stand.notices.leaving.isLeaving(id))).to.deep.equal([isLeaving, false]);
            expect(stand.events).to.deep.equal(events);
        });
    }

    it("is written once, told to the leader until it takes it, and forgotten with the life", async () => {
        const stand = new NoticeStand();
        stand.leaderless = 2;
        stand.receive({ leaving: "said" });
        stand.receive({ leaving: "said" });
        await new Promise((resolve) => setTimeout(resolve, 400));
        expect(stand.told).to.deep.equal([{ instance: "entry", upstreams: ["a"] }]);
        expect(stand.events).to.deep.equal([
            "upstream-leaving-notice a",
            "leaving-not-reported",
            "leaving-not-reported",
            "leaving-reported",
        ]);
        stand.receive({ leaving: "not-said" });
        expect(stand.notices.leaving.isLeaving("a")).to.equal(true);
        stand.notices.sweep((id) => id !== "a");
        expect(stand.notices.leaving.isLeaving("a")).to.equal(false);
    });

    it("one that leaves may take requests early in its time to drain, and none later", () => {
        const stand = new NoticeStand();
        stand.receive({ leaving: "said" });
        const seen = [0, DRAIN_MS / 2 - 1, DRAIN_MS / 2, DRAIN_MS].map((nowMs) => {
            stand.nowMs = nowMs;
            return stand.functions.maySend(target);
        });
        expect(seen).to.deep.equal([true, true, false, false]);
    });
});

describe("a rest counts for whoever it may be of", () => {
    const rest: UpstreamNotice["rest"] = { kind: "rest", restMs: 3_000 };
    const rows: readonly {
        readonly title: string;
        readonly rest?: UpstreamNotice["rest"];
        readonly answer?: Partial<ReceivedResponse>;
        readonly resting: readonly string[];
    }[] = [
        { title: "the one that answered", resting: ["a"] },
        {
            title: "a later engine of the path is named: both",
            answer: { verdict: { kind: "declined", faultAddress: "at-b" } },
            resting: ["a", "b"],
        },
        {
            title: "one that is not on the path is named",
            answer: { verdict: { kind: "declined", faultAddress: "at-c" } },
            resting: ["a"],
        },
        {
            title: "one that nobody knows is named",
            answer: { verdict: { kind: "declined", faultAddress: "at-x" } },
            resting: ["a"],
        },
        {
            title: "a stray answer: whoever sent it is at this address",
            answer: { verdict: { kind: "stray", faultAddress: undefined } },
            resting: ["a"],
        },
        { title: "what can't be read", rest: { kind: "unreadable", text: "soon" }, resting: [] },
    ];
    for (const { title, rest: said = rest, answer, resting } of rows) {
        it(title, () => {
            const stand = new NoticeStand();
            stand.receive({ rest: said }, { status: 503, ...answer });
            const { rests } = stand.notices;
            expect(["a", "b", "c"].filter((id) => rests.isResting(id))).to.deep.equal(resting);
            expect(stand.functions.maySend(target)).to.equal(resting.length === 0);
            expect(stand.events.length).to.equal(Math.max(1, resting.length));
        });
    }

    it("ends with its time or its life, with a line each", () => {
        const stand = new NoticeStand();
        stand.receive({ rest }, { status: 503 });
        stand.nowMs = 2_999;
        stand.notices.sweep(() => true);
        expect(stand.functions.maySend(target)).to.equal(false);
        stand.nowMs = 3_000;
        stand.notices.sweep(() => true);
        expect(stand.functions.maySend(target)).to.equal(true);
        stand.receive({ rest: { kind: "rest", restMs: Number.POSITIVE_INFINITY } }, { status: 503 });
        stand.nowMs = 1e15;
        expect(stand.functions.maySend(target)).to.equal(false);
        stand.notices.sweep((id) => id !== "a");
        expect(stand.functions.maySend(target)).to.equal(true);
        expect(stand.events).to.deep.equal([
            "upstream-rest a begun",
            "upstream-rest a ended",
            "upstream-rest a begun",
            "upstream-rest a ended",
        ]);
    });

    it("callers are told one time after another, none before the end", () => {
        const stand = new NoticeStand();
        const times = Array.from({ length: 200 }, () => stand.functions.computeRetryAfterMs({ name: "s" }, 3_000));
        expect(Math.min(...times)).to.equal(3_000);
        expect(Math.max(...times)).to.be.at.most(5_000);
        // Four slots of three upstreams, 50 ms each: 240 a second, and half of that at first.
        const first = times.filter((ms) => ms < 3_100).length;
        expect(first).to.be.at.most(24);
    });
});
