import { expect } from "chai";
import type { EngineEndpoint, ReportResult } from "../src/connection/engineControl.js";
import { FleetLink } from "../src/process/entry/fleetLink.js";
import { PaceWatch } from "../src/process/layers/paceWatch.js";
import { EntryRegister } from "../src/process/voter/entryRegister.js";
import { SuspectProbe } from "../src/process/voter/suspectProbe.js";
import { UpstreamRegister } from "../src/process/voter/upstreamRegister.js";
import { noRollout } from "./configurationFakes.js";
import { installClock, type InstalledClock } from "./installedClock.js";
import { emptyReport, LeaderStand, log } from "./leaderStand.js";
import { noLimits } from "./noLimits.js";

describe("a leader knows which engines are there, and tells the entries", () => {
    let clock: InstalledClock;
    let stand: LeaderStand;

    beforeEach(async () => {
        clock = installClock();
        stand = new LeaderStand();
        await stand.register("a");
        await stand.register("b");
        stand.keeper.start();
    });

    afterEach(() => {
        stand.keeper.stop();
        clock.uninstall();
    });

    function createProbe(getReport = stand.control.getReport): SuspectProbe {
        const { host, upstreams, control } = stand;
        return new SuspectProbe({
            host,
            upstreams,
            control: { ...control, getReport },
            getNowMs: () => performance.now(),
            handleAgreement: () => undefined,
        });
    }

    const probeRows = [
        { title: "suspected by one entry: asked twice", entries: ["e1"], apartMs: 0, asked: 2 },
        { title: "suspected by the same entry again: asked twice", entries: ["e1", "e1"], apartMs: 0, asked: 2 },
        { title: "suspected by two entries together: once is enough", entries: ["e1", "e2"], apartMs: 0, asked: 1 },
        { title: "by the second long after the first: asked twice", entries: ["e1", "e2"], apartMs: 2_000, asked: 2 },
    ];
    for (const { title, entries, apartMs, asked } of probeRows) {
        it(`an engine that gives no report is lost, ${title}`, async () => {
            let count = 0;
            const probe = createProbe(async () => {
                count += 1;
                await new Promise((resolve) => setTimeout(resolve, 2_500));
                return { kind: "failed", reason: "no answer" };
            });
            for (const instance of entries) {
                probe.handleSuspects({ instance, suspects: ["a"] });
                await clock.tickAsync(apartMs);
            }
            await clock.tickAsync(6_000);
            expect([count, stand.state.getUpstream("a")?.status]).to.deep.equal([asked, "lost"]);
        });
    }

    it("an engine that turns reports away and asks for rest is there", async () => {
        const probe = createProbe(() => Promise.resolve({ kind: "turned-away", reason: "status 503" }));
        probe.handleSuspects({ instance: "e1", suspects: ["a"] });
        probe.handleSuspects({ instance: "e2", suspects: ["a"] });
        await clock.tickAsync(6_000);
        expect(stand.state.getUpstream("a")?.status).to.equal("ready");
    });

    it("what two entries suspect is told to all while its report is awaited, and no longer", async () => {
        const probe: SuspectProbe = new SuspectProbe({
            host: stand.host,
            upstreams: stand.upstreams,
            control: {
                ...stand.control,
                getReport: async () => {
                    await new Promise((resolve) => setTimeout(resolve, 350));
                    return emptyReport;
                },
            },
            getNowMs: () => performance.now(),
            handleAgreement: () => {
                entries.handleState();
            },
        });
        const entries = new EntryRegister({
            host: stand.host,
            getNowMs: () => performance.now(),
            rollout: noRollout,
            listSuspects: () => probe.listAgreed(),
            limits: noLimits,
        });
        const told: (readonly string[])[] = [];
        const ask = async (): Promise<void> => {
            const known_index = stand.state.lastChange;
            const state = await entries.synchronise({ instance: "e3", known_index, loads: {} });
            told.push(state.kind === "state" ? state.suspects ?? [] : []);
        };
        const waiting = ask();
        probe.handleSuspects({ instance: "e1", suspects: ["a"] });
        await clock.tickAsync(10);
        expect(told).to.deep.equal([]);
        probe.handleSuspects({ instance: "e2", suspects: ["a"] });
        await clock.tickAsync(1);
        await waiting;
        await clock.tickAsync(400);
        const later = ask();
        await clock.tickAsync(1_000);
        await later;
        expect(told).to.deep.equal([["a"], []]);
    });

    it("an engine that entries suspect is lost once it gives no report twice", async () => {
        const probe = createProbe();
        probe.handleSuspects({ instance: "e1", suspects: ["a", "b"] });
        stand.reports.set("a", { kind: "failed", reason: "no answer" });
        await clock.tickAsync(10);
        probe.handleSuspects({ instance: "e1", suspects: ["a", "b"] });
        await clock.tickAsync(10);
        expect(stand.state.listUpstreams().map((one) => `${one.id} ${one.status}`)).to.deep.equal([
            "a lost",
            "b ready",
        ]);
    });

    it("an engine that says that it is slow is told to all, and its next heartbeat does not undo it", async () => {
        await stand.register("a", { first: 0, end: 4 });
        stand.setReport("a", { first: 0, end: 4 }, { slowness: 5 });
        const watch = new PaceWatch({ host: stand.host, upstreams: stand.upstreams, control: stand.control });
        watch.start();
        await clock.tickAsync(1_300);
        watch.stop();
        await stand.register("a", { first: 0, end: 4 });
        expect(stand.state.getUpstream("a")?.slowness).to.equal(5);
        expect(stand.state.getUpstream("b")?.slowness).to.equal(undefined);
    });

    const paceRows = [
        { engines: 38, mostASecond: 40, leastInTenSeconds: 38 },
        { engines: 218, mostASecond: 220, leastInTenSeconds: 218 },
        { engines: 3_000, mostASecond: 200, leastInTenSeconds: 1_800 },
    ];
    for (const { engines, mostASecond, leastInTenSeconds } of paceRows) {
        it(`of ${String(engines)} engines it asks ${String(mostASecond)} a second at most, each in its turn`, async () => {
            stand.keeper.stop();
            for (let engine = 0; engine < engines; engine += 1) {
                await stand.register(`e${String(engine)}`, { first: 0, end: 4 });
            }
            const asked: string[] = [];
            const control = {
                ...stand.control,
                getReport: (engine: EngineEndpoint): Promise<ReportResult> => {
                    asked.push(engine.id);
                    return stand.control.getReport(engine);
                },
            };
            const watch = new PaceWatch({ host: stand.host, upstreams: stand.upstreams, control });
            watch.start();
            await clock.tickAsync(10_000);
            watch.stop();
            expect(asked.length / 10).to.be.at.most(mostASecond);
            expect(new Set(asked).size).to.be.at.least(leastInTenSeconds);
        });
    }

    it("an upstream that is silent for four heartbeats is lost, and comes back with the next", async () => {
        await clock.tickAsync(3_900);
        stand.upstreams.markSilent();
        await clock.tickAsync(1);
        expect(stand.state.getUpstream("a")?.status).to.equal("ready");
        await clock.tickAsync(200);
        stand.upstreams.markSilent();
        await clock.tickAsync(1);
        expect(stand.state.getUpstream("a")?.status).to.equal("lost");
        await stand.register("a");
        expect(stand.state.getUpstream("a")?.status).to.equal("ready");
    });

    it("a leader that wakes does not take the upstreams for lost that it could not hear while it slept", async () => {
        let wokeMs = Number.NEGATIVE_INFINITY;
        const upstreams = new UpstreamRegister({
            host: stand.host,
            log,
            getNowMs: () => performance.now(),
            getWokeMs: () => wokeMs,
            heartbeatMs: 1_000,
            isServiceNamed: () => true,
        });
        await upstreams.registerUpstream({
            facts: { id: "u", service: "s", address: "1.1.1.1:1", failure_domain: "d", slots: 1 },
            status: "ready",
            sequence: 1,
        });
        await clock.tickAsync(9_000);
        wokeMs = performance.now();
        upstreams.markSilent();
        await clock.tickAsync(1);
        expect(stand.state.getUpstream("u")?.status).to.equal("ready");
        await clock.tickAsync(5_000);
        upstreams.markSilent();
        await clock.tickAsync(1);
        expect(stand.state.getUpstream("u")?.status).to.equal("lost");
    });

    it("an entry is answered as soon as something changes, and told what others have open", async () => {
        const entries = new EntryRegister({
            host: stand.host,
            getNowMs: () => performance.now(),
            rollout: noRollout,
            listSuspects: () => [],
            limits: noLimits,
        });
        const loads = { a: { open: 3, unstarted: 1 } };
        void entries.synchronise({ instance: "other", known_index: 0, loads });
        const waiting = entries.synchronise({
            instance: "one",
            known_index: stand.state.lastChange,
            loads: {},
        });
        await stand.register("c");
        entries.handleState();
        const told = await waiting;
        expect(told.kind === "state" && told.upstreams.map((one) => one.id)).to.deep.equal(["c"]);
        expect(told.kind === "state" && told.loads_elsewhere).to.deep.equal(loads);
        expect(told.kind === "state" && told.entries).to.equal(2);
    });

    it("an entry's lease is counted from the moment its question left", async () => {
        const entries = new EntryRegister({
            host: stand.host,
            getNowMs: () => performance.now(),
            rollout: noRollout,
            listSuspects: () => [],
            limits: noLimits,
        });
        let knownIndex = 0;
        let wokeMs = Number.NEGATIVE_INFINITY;
        const told: object[] = [];
        const link = new FleetLink({
            peers: {
                call: async (_address, method, parameters) => {
                    if (method === "suspect") {
                        told.push(parameters);
                        return {};
                    }
                    return await entries.synchronise(parameters as never);
                },
                send: () => undefined,
            },
            log,
            getWokeMs: () => wokeMs,
            getNowMs: () => performance.now(),
            getSeeds: () => ["voter"],
            instance: "one",
            createParameters: () => ({ instance: "one", known_index: knownIndex, loads: {} }),
            takeSuspects: () => ["a"],
            handleState: (state) => {
                knownIndex = state.index;
            },
            getHeldVersion: () => undefined,
            handleDocument: () => undefined,
            random: () => 0,
        });
        link.start();
        await clock.tickAsync(1_000);
        expect(knownIndex).to.equal(stand.state.lastChange);
        expect(link.ageMs).to.be.at.most(400);
        // After the machine slept, only a question that left since counts.
        wokeMs = performance.now();
        expect(link.ageMs).to.equal(Number.POSITIVE_INFINITY);
        await clock.tickAsync(1_000);
        expect(link.ageMs).to.be.at.most(400);
        // Told at once, though a question is on its way, and together.
        link.reportSuspects();
        link.reportSuspects();
        await clock.tickAsync(30);
        expect(told).to.deep.equal([{ instance: "one", suspects: ["a"] }]);
        stand.isLeading = false;
        await clock.tickAsync(5_000);
        expect(link.ageMs).to.be.at.least(5_000);
        link.stop();
    });
});
