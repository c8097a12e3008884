import type { EngineProfile, LayerSpan, RegisteredUpstream, Route, RoutedService } from "@crankfork/schemas";
import { expect } from "chai";
import { EngineShortage } from "../src/process/entry/engineShortage.js";
import { LeavingNotices } from "../src/process/entry/leavingNotices.js";
import { TargetChooser } from "../src/process/entry/targetChooser.js";
import { UpstreamHealth } from "../src/process/entry/upstreamHealth.js";
import type { UpstreamLoad } from "../src/process/sumLoads.js";
import { UpstreamBackoffs } from "../src/process/upstreamBackoffs.js";
import { RequestContext } from "../src/request/requestContext.js";
import type { TargetChoice } from "../src/request/requestFunctions.js";
import type { RoutedCall } from "../src/request/routedCall.js";
import { FleetView } from "../src/version/fleetView.js";
import { confirmedBasis } from "./configurationFakes.js";
import { createFullState } from "./fullState.js";
import { createSends } from "./limitFakes.js";

/** Eight layers; a `half` engine has memory for four of them, and each engine takes sixteen requests. */
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

const nullLog = { record: () => undefined };
const nullMetrics = {
    countBackoff: () => undefined,
    countSuppressedSend: () => undefined,
    countSendDuringBackoff: () => undefined,
};

/** Target chooser of an entry with one request per second. */
class ChooserHarness {
    nowMs = 0;
    readonly loads = new Map<string, UpstreamLoad>();
    /** Failure domains over links that lose packets. */
    readonly lossy = new Set<string>();
    draw = 0;
    readonly health = new UpstreamHealth(() => this.nowMs);
    readonly backoffs = new UpstreamBackoffs({ getNowMs: () => this.nowMs, log: nullLog, metrics: nullMetrics });
    readonly leaving = new LeavingNotices({
        instance: "entry-1",
        getNowMs: () => this.nowMs,
        log: nullLog,
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
        backoffs: this.backoffs,
        leaving: this.leaving,
        rateLimiter: this.named.rateLimiter,
        getRemoteLoad: (id) => this.loads.get(id) ?? { open: 0, unstarted: 0 },
        isPathAvoided: () => false,
        isLinkLossy: (domain) => this.lossy.has(domain),
        estimateUnreported: () => 0,
        countEntries: () => 1,
        getRequestsPerSecond: () => 1,
        getLoadAgeMs: () => 0,
        random: () => this.draw,
        isMemoryChecked: () => this.isMemoryChecked,
        levels: {
            isDue: () => this.rooms.length === 0,
            record: (...values) => {
                this.rooms.push(values);
            },
        },
    });
    isMemoryChecked = true;
    /** Recorded room of classes. */
    readonly rooms: unknown[] = [];

    /** Makes the service ranked. */
    rankRoutes(): void {
        const routes = [0, 1].map((priority) => ({
            ...route,
            prefix: `/${String(priority)}/`,
            priority,
            targets: [{ service: "s", weight: 1 }],
        }));
        const limits = { header_bytes: 1, body_bytes: 1, header_timeout_ms: 1, idle_timeout_ms: 1 };
        this.view.applyTable({ version: 1, routes, services: [service], limits });
    }

    setEngines(upstreams: readonly RegisteredUpstream[]): void {
        this.index += 1;
        this.view.applyUpstreams(createFullState(this.index, upstreams));
    }

    /** Chooses for a new request; returns the engine's id, or why there is none. */
    choose(): string {
        const choice = this.chooseTarget();
        return choice.kind === "target" ? choice.target.upstreamId : choice.kind;
    }

    chooseTarget(): TargetChoice {
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
        return choice;
    }
}

describe("without a check of its engines' memory a service is served by usual sizes, as before there was one", () => {
    const rows = [
        {
            title: "engines that hold more tokens than they have memory for",
            tokens: Number.MAX_SAFE_INTEGER,
            checked: "full",
            unchecked: "e1",
        },
        { title: "engines with memory", tokens: 0, checked: "e1", unchecked: "e1" },
    ];
    for (const { title, tokens, checked, unchecked } of rows) {
        it(title, () => {
            const results = [true, false].map((isMemoryChecked) => {
                const harness = new ChooserHarness();
                harness.isMemoryChecked = isMemoryChecked;
                harness.setEngines([createEngine("e1", "whole", { first: 0, end: 8 })]);
                harness.loads.set("e1", { open: 10, unstarted: 0, tokens });
                return harness.choose();
            });
            expect(results).to.deep.equal([checked, unchecked]);
        });
    }
});

describe("an operator can see what a class may take and who holds the rest", () => {
    it("the room of the class is recorded, and a refusal names the open requests of the nearest path", () => {
        const harness = new ChooserHarness();
        harness.setEngines(["e1", "e2"].map((id) => createEngine(id, "whole", { first: 0, end: 8 })));
        harness.rankRoutes();
        harness.loads.set("e1", { open: 40, unstarted: 0, open_by_rank: [30, 10] });
        harness.loads.set("e2", { open: 16, unstarted: 0, open_by_rank: [4, 12] });
        expect(harness.chooseTarget()).to.deep.equal({ kind: "full", takenBy: "0:4,1:12" });
        expect(harness.rooms).to.deep.equal([["s", 1, 1, { paths: 2, open: 56 }]]);
    });

    it("nothing is recorded for a service that is not ranked", () => {
        const harness = new ChooserHarness();
        harness.setEngines([createEngine("e1", "whole", { first: 0, end: 8 })]);
        harness.loads.set("e1", { open: 40, unstarted: 0 });
        expect(harness.chooseTarget()).to.deep.equal({ kind: "full" });
        expect(harness.rooms).to.deep.equal([]);
    });
});

describe("an entry uses few paths as long as they have capacity", () => {
    const engines = Array.from(
        { length: 20 },
        (_, index) => createEngine(`e${String(index)}`, "whole", { first: 0, end: 8 }),
    );

    it("consecutive requests go to the preferred number of paths", () => {
        const harness = new ChooserHarness();
        harness.setEngines(engines);
        const chosen = new Set<string>();
        for (let request = 0; request < 40; request += 1) {
            const id = harness.choose();
            chosen.add(id);
            harness.loads.set(id, { open: (harness.loads.get(id)?.open ?? 0) + 1, unstarted: 0 });
        }
        expect(chosen.size).to.equal(4);
    });

    it("requests overflow to the other paths, and to none if all are full", () => {
        const harness = new ChooserHarness();
        harness.setEngines(engines);
        const chosen = new Set<string>();
        for (let request = 0; request < engines.length; request += 1) {
            const id = harness.choose();
            chosen.add(id);
            harness.loads.set(id, { open: profile.slots, unstarted: 0 });
        }
        expect(chosen.size).to.equal(engines.length);
        expect(harness.choose()).to.equal("full");
    });
});

describe("a persistent lack of engines is distinguished from layers that are being loaded", () => {
    const rows: readonly {
        readonly title: string;
        readonly engines: readonly RegisteredUpstream[];
        readonly first: string;
        readonly later: string;
    }[] = [
        { title: "no engine", engines: [], first: "none", later: "too-few-engines" },
        {
            title: "one engine that is too small",
            engines: [createEngine("a", "half", { first: 4, end: 8 })],
            first: "none",
            later: "too-few-engines",
        },
        {
            title: "two engines without their layers yet",
            engines: [createEngine("a", "half"), createEngine("b", "half")],
            first: "none",
            later: "none",
        },
        {
            title: "two engines with their layers",
            engines: [createEngine("a", "half", { first: 0, end: 4 }), createEngine("b", "half", { first: 4, end: 8 })],
            first: "a",
            later: "a",
        },
    ];
    for (const { title, engines, first, later } of rows) {
        it(title, () => {
            const harness = new ChooserHarness();
            harness.setEngines(engines);
            expect(harness.choose()).to.equal(first);
            harness.nowMs = 1_800;
            expect(harness.choose()).to.equal(later);
        });
    }
});

describe("paths through an engine that is down are not used", () => {
    /** Six engines of the first stage before one shared engine of the later layers. */
    const firsts = Array.from(
        { length: 6 },
        (_, index) => createEngine(`f${String(index)}`, "half", { first: 0, end: 4 }),
    );
    const last = createEngine("last", "half", { first: 4, end: 8 });
    const rows: readonly {
        readonly title: string;
        readonly applyFault: (health: UpstreamHealth) => void;
        readonly elapsedMs: number;
        readonly isUsed: boolean;
    }[] = [
        { title: "healthy", applyFault: () => undefined, elapsedMs: 0, isUsed: true },
        {
            title: "declined for lack of capacity, which may pass",
            applyFault: (health) => health.recordDecline("last"),
            elapsedMs: 0,
            isUsed: true,
        },
        {
            title: "declined, report pending",
            applyFault: (health) => {
                health.recordDecline("last");
                health.markDown("last", true);
            },
            elapsedMs: 30,
            isUsed: false,
        },
        {
            title: "declined, reported since",
            applyFault: (health) => {
                health.recordDecline("last");
                health.markDown("last", true);
                health.clearDown("last");
            },
            elapsedMs: 1,
            isUsed: true,
        },
        {
            title: "gave no report",
            applyFault: (health) => {
                health.suspect("last");
            },
            elapsedMs: 700,
            isUsed: false,
        },
        {
            title: "suspected for over a second without news from the voters",
            applyFault: (health) => {
                health.suspect("last");
                health.suspect("last");
            },
            elapsedMs: 1_001,
            isUsed: true,
        },
    ];
    for (const { title, applyFault, elapsedMs, isUsed } of rows) {
        it(title, () => {
            const harness = new ChooserHarness();
            harness.setEngines([...firsts, last]);
            applyFault(harness.health);
            harness.nowMs = elapsedMs;
            expect(harness.choose()).to.be.oneOf(isUsed ? firsts.map(({ id }) => id) : ["none"]);
        });
    }

    it("another engine with the same layers is used at once", () => {
        const harness = new ChooserHarness();
        harness.setEngines([...firsts, last, createEngine("other", "half", { first: 4, end: 8 })]);
        harness.health.markDown("last", true);
        expect(harness.choose()).to.be.oneOf(firsts.map(({ id }) => id));
    });
});

describe("a rate limit covers requests sent to the engine, not those forwarded by other engines", () => {
    const engines = [
        createEngine("first-1", "half", { first: 0, end: 4 }),
        createEngine("first-2", "half", { first: 0, end: 4 }),
        createEngine("later", "half", { first: 4, end: 8 }),
    ];
    const rows = [
        { title: "no limit", limited: [], chosen: ["first-1", "first-2"] },
        { title: "at one first engine", limited: ["first-1"], chosen: ["first-2"] },
        { title: "at both first engines", limited: ["first-1", "first-2"], chosen: ["limited"] },
        { title: "at a later engine that all paths share", limited: ["later"], chosen: ["first-1", "first-2"] },
    ];
    for (const { title, limited, chosen } of rows) {
        it(title, () => {
            const harness = new ChooserHarness();
            harness.setEngines(engines);
            harness.named.rateLimiter.recordLeader();
            limited.forEach((id) => {
                harness.named.limits.applyNotice(id, { kind: "limit", requestsPerSecond: 2 }, {
                    asked: "1",
                    requestSentMs: 0,
                    isReport: false,
                });
            });
            const seen = ["first-1", "first-2"].map((busy) => {
                harness.loads.clear();
                harness.loads.set(busy, { open: 3, unstarted: 0 });
                return harness.choose();
            });
            expect([...new Set(seen)].sort()).to.deep.equal(chosen);
        });
    }
});

describe("paths over links that lose packets are used only where no other path has room", () => {
    const engines = ["own", "near", "far"].flatMap((domain) =>
        ["1", "2"].map((number) => ({
            ...createEngine(`${domain}-${number}`, "whole", { first: 0, end: 8 }),
            failure_domain: domain,
        }))
    );
    /** Beyond the share of requests that try such links. */
    const USUAL_DRAW = 0.5;
    const rows: readonly {
        readonly title: string;
        readonly lossy: readonly string[];
        readonly full?: readonly string[];
        readonly down?: readonly string[];
        readonly draw?: number;
        readonly domains: readonly string[];
    }[] = [
        { title: "no link loses packets: the least loaded path", lossy: [], domains: ["far"] },
        { title: "one does: the least loaded of the others", lossy: ["far"], domains: ["near"] },
        { title: "all others do: the own domain", lossy: ["near", "far"], domains: ["own"] },
        { title: "all do: as if none did", lossy: ["own", "near", "far"], domains: ["far"] },
        { title: "the own domain is full", lossy: ["near", "far"], full: ["own"], domains: ["far"] },
        { title: "the own domain is gone", lossy: ["near", "far"], down: ["own"], domains: ["far"] },
        { title: "the others are full", lossy: ["far"], full: ["own", "near"], domains: ["far"] },
        { title: "all are full", lossy: ["far"], full: ["own", "near", "far"], domains: ["full"] },
        { title: "one request in 50 tries them", lossy: ["far"], draw: 0.0199, domains: ["far"] },
        { title: "no more than that", lossy: ["far"], draw: 0.02, domains: ["near"] },
        { title: "a trial where they are full", lossy: ["far"], full: ["far"], draw: 0, domains: ["near"] },
    ];
    for (const { title, lossy, full = [], down = [], draw = USUAL_DRAW, domains } of rows) {
        it(title, () => {
            const harness = new ChooserHarness();
            harness.setEngines(engines);
            const openByDomain: Readonly<Record<string, number>> = { own: 8, near: 4, far: 1 };
            engines.forEach(({ id, failure_domain: domain }) => {
                const open = full.includes(domain) ? profile.slots : openByDomain[domain] ?? 0;
                harness.loads.set(id, { open, unstarted: 0 });
                if (down.includes(domain)) {
                    harness.health.markDown(id, true);
                }
            });
            lossy.forEach((domain) => harness.lossy.add(domain));
            harness.draw = draw;
            expect(harness.choose().split("-")[0]).to.be.oneOf(domains);
        });
    }
});
