import type { ChainLoad } from "@crankfork/decisions";
import type { EngineProfile, LayerSpan, RegisteredUpstream, Route, RoutedService } from "@crankfork/schemas";
import { expect } from "chai";
import { EngineShortage } from "../src/process/entry/engineShortage.js";
import { LeavingNotices } from "../src/process/entry/leavingNotices.js";
import { TargetChooser } from "../src/process/entry/targetChooser.js";
import { UpstreamHealth } from "../src/process/entry/upstreamHealth.js";
import { UpstreamRests } from "../src/process/upstreamRests.js";
import { RequestContext } from "../src/request/requestContext.js";
import type { RoutedCall } from "../src/request/routedCall.js";
import { FleetView } from "../src/version/fleetView.js";
import { confirmedBasis } from "./configurationFakes.js";
import { createSends } from "./noLimits.js";
import { createWholeState } from "./wholeState.js";

/** Eight layers; an engine holds four beside its requests, and takes sixteen requests. */
const profile: EngineProfile = {
    layers: 8,
    layer_mb: 100,
    token_bytes: 0,
    capacity_tokens: 1,
    slots: 16,
    step_ms: 1,
    step_ms_a_request: 0,
    read_tokens_a_second: 100_000,
    load_ms: 1_000,
    usual_prompt_tokens: 1,
    usual_answer_tokens: 1,
    accelerators: [
        { name: "half", memory_mb: 450, step_factor: 1, read_factor: 1 },
        { name: "whole", memory_mb: 900, step_factor: 1, read_factor: 1 },
    ],
};
const service: RoutedService = { name: "s", engine: profile };
const route: Route = {
    name: "r",
    host: "h",
    prefix: "/",
    kind: "stream",
    is_repeatable: true,
    timeout_ms: 20_000,
    objective_ms: 500,
    priority: 1,
    most_attempts: 2,
    is_anonymous: true,
    targets: [],
};
const call: RoutedCall = {
    requestId: "1",
    method: "POST",
    host: "h",
    target: "/",
    path: "/",
    key: undefined,
    deadlineMs: 20_000,
    size: undefined,
    lastEventId: undefined,
    rawHeaders: [],
};

const createEngine = (id: string, accelerator: string, held?: LayerSpan): RegisteredUpstream => ({
    id,
    service: "s",
    address: id,
    failure_domain: "d",
    slots: 16,
    accelerator,
    status: "ready",
    ...(held === undefined ? {} : { held }),
});

const noLog = { record: () => undefined };
const noMetrics = { countRest: () => undefined, countKeptBack: () => undefined, countSendDuringRest: () => undefined };

/** An entry that sees a request a second. */
class ChooserStand {
    nowMs = 0;
    readonly loads = new Map<string, ChainLoad>();
    readonly health = new UpstreamHealth(() => this.nowMs);
    readonly rests = new UpstreamRests({ getNowMs: () => this.nowMs, log: noLog, metrics: noMetrics });
    readonly leaving = new LeavingNotices({
        instance: "entry-1",
        getNowMs: () => this.nowMs,
        log: noLog,
        metrics: { countLeavingNotice: () => undefined },
        drainMs: 2_000,
        askLeader: () => Promise.resolve({ is_taken: true }),
    });
    readonly named = createSends(() => this.nowMs);
    private readonly view = new FleetView();
    private index = 0;
    private readonly chooser = new TargetChooser({
        instance: "entry-1",
        view: this.view,
        health: this.health,
        shortage: new EngineShortage(() => this.nowMs),
        rests: this.rests,
        leaving: this.leaving,
        sends: this.named.sends,
        getLoadElsewhere: (id) => this.loads.get(id) ?? { open: 0, unstarted: 0 },
        isAvoided: () => false,
        countUnseen: () => 0,
        countEntries: () => 1,
        getRequestsASecond: () => 1,
        getLoadAgeMs: () => 0,
        random: () => 0,
    });

    setEngines(upstreams: readonly RegisteredUpstream[]): void {
        this.index += 1;
        this.view.applyUpstreams(createWholeState(this.index, upstreams));
    }

    /** Chooses for a new request: the engine, or why there is none. */
    choose(): string {
        const admitted = {
            call,
            route,
            service,
            organisation: undefined,
            body: undefined,
            basis: confirmedBasis,
            arrivedMs: this.nowMs,
        };
        const run = new RequestContext(admitted, () => this.nowMs);
        const choice = this.chooser.choose(run, undefined, false);
        run.close();
        return choice.kind === "target" ? choice.target.upstreamId : choice.kind;
    }
}

describe("an entry keeps to a few paths as long as they have room", () => {
    const engines = Array.from(
        { length: 20 },
        (_, index) => createEngine(`e${String(index)}`, "whole", { first: 0, end: 8 }),
    );

    it("requests one after another go to as many", () => {
        const stand = new ChooserStand();
        stand.setEngines(engines);
        const chosen = new Set<string>();
        for (let request = 0; request < 40; request += 1) {
            const id = stand.choose();
            chosen.add(id);
            stand.loads.set(id, { open: (stand.loads.get(id)?.open ?? 0) + 1, unstarted: 0 });
        }
        expect(chosen.size).to.equal(4);
    });

    it("where these are full it goes to the others, and where all are full to none", () => {
        const stand = new ChooserStand();
        stand.setEngines(engines);
        const chosen = new Set<string>();
        for (let request = 0; request < engines.length; request += 1) {
            const id = stand.choose();
            chosen.add(id);
            stand.loads.set(id, { open: profile.slots, unstarted: 0 });
        }
        expect(chosen.size).to.equal(engines.length);
        expect(stand.choose()).to.equal("full");
    });
});

describe("a service whose engines don't hold its model is told from one whose layers are on their way", () => {
    const rows: readonly {
        readonly title: string;
        readonly engines: readonly RegisteredUpstream[];
        readonly first: string;
        readonly later: string;
    }[] = [
        { title: "no engine", engines: [], first: "none", later: "too-few-engines" },
        {
            title: "one that is too small",
            engines: [createEngine("a", "half", { first: 4, end: 8 })],
            first: "none",
            later: "too-few-engines",
        },
        {
            title: "two that have not loaded yet",
            engines: [createEngine("a", "half"), createEngine("b", "half")],
            first: "none",
            later: "none",
        },
        {
            title: "two that have",
            engines: [createEngine("a", "half", { first: 0, end: 4 }), createEngine("b", "half", { first: 4, end: 8 })],
            first: "a",
            later: "a",
        },
    ];
    for (const { title, engines, first, later } of rows) {
        it(title, () => {
            const stand = new ChooserStand();
            stand.setEngines(engines);
            expect(stand.choose()).to.equal(first);
            stand.nowMs = 1_800;
            expect(stand.choose()).to.equal(later);
        });
    }
});

describe("paths that share an engine which is gone are no paths", () => {
    /** Six copies of the first stage before one engine of the later layers. */
    const firsts = Array.from(
        { length: 6 },
        (_, index) => createEngine(`f${String(index)}`, "half", { first: 0, end: 4 }),
    );
    const last = createEngine("last", "half", { first: 4, end: 8 });
    const rows: readonly {
        readonly title: string;
        readonly happens: (health: UpstreamHealth) => void;
        readonly waitsMs: number;
        readonly isTaken: boolean;
    }[] = [
        { title: "nothing has happened", happens: () => undefined, waitsMs: 0, isTaken: true },
        {
            title: "it had no room: another look may find some",
            happens: (health) => health.recordDecline("last"),
            waitsMs: 0,
            isTaken: true,
        },
        {
            title: "it declined, and its report is not there yet",
            happens: (health) => {
                health.recordDecline("last");
                health.markAbsent("last", true);
            },
            waitsMs: 30,
            isTaken: false,
        },
        {
            title: "it declined and has reported since",
            happens: (health) => {
                health.recordDecline("last");
                health.markAbsent("last", true);
                health.clearAbsence("last");
            },
            waitsMs: 1,
            isTaken: true,
        },
        {
            title: "it gave no report",
            happens: (health) => {
                health.suspect("last");
            },
            waitsMs: 700,
            isTaken: false,
        },
        {
            title: "nothing was heard of it for a second, from the voters either",
            happens: (health) => {
                health.suspect("last");
                health.suspect("last");
            },
            waitsMs: 1_001,
            isTaken: true,
        },
    ];
    for (const { title, happens, waitsMs, isTaken } of rows) {
        it(title, () => {
            const stand = new ChooserStand();
            stand.setEngines([...firsts, last]);
            happens(stand.health);
            stand.nowMs = waitsMs;
            expect(stand.choose()).to.be.oneOf(isTaken ? firsts.map(({ id }) => id) : ["none"]);
        });
    }

    it("an engine beside it with the same layers is gone to at once", () => {
        const stand = new ChooserStand();
        stand.setEngines([...firsts, last, createEngine("other", "half", { first: 4, end: 8 })]);
        stand.health.markAbsent("last", true);
        expect(stand.choose()).to.be.oneOf(firsts.map(({ id }) => id));
    });
});

describe("an engine's limit is of the requests that are sent to it, not of what other engines pass on to it", () => {
    const engines = [
        createEngine("first-1", "half", { first: 0, end: 4 }),
        createEngine("first-2", "half", { first: 0, end: 4 }),
        createEngine("later", "half", { first: 4, end: 8 }),
    ];
    const rows = [
        { title: "nobody names one", limited: [], chosen: ["first-1", "first-2"] },
        { title: "a first engine", limited: ["first-1"], chosen: ["first-2"] },
        { title: "both first engines", limited: ["first-1", "first-2"], chosen: ["limited"] },
        { title: "a later engine that all paths share", limited: ["later"], chosen: ["first-1", "first-2"] },
    ];
    for (const { title, limited, chosen } of rows) {
        it(title, () => {
            const stand = new ChooserStand();
            stand.setEngines(engines);
            stand.named.sends.recordLeader();
            limited.forEach((id) => {
                stand.named.limits.receive(id, { kind: "limit", requestsASecond: 2 }, {
                    asked: "1",
                    askedMs: 0,
                    isReport: false,
                });
            });
            const seen = ["first-1", "first-2"].map((busy) => {
                stand.loads.clear();
                stand.loads.set(busy, { open: 3, unstarted: 0 });
                return stand.choose();
            });
            expect([...new Set(seen)].sort()).to.deep.equal(chosen);
        });
    }
});
