import { expect } from "chai";
import type { EngineEndpoint, ReportResult } from "../src/connection/engineControl.js";
import { LeaderSync } from "../src/process/entry/leaderSync.js";
import { SlownessMonitor } from "../src/process/layers/slownessMonitor.js";
import { EntryRegistry } from "../src/process/voter/entryRegistry.js";
import { SuspectProbe } from "../src/process/voter/suspectProbe.js";
import { UpstreamRegistry } from "../src/process/voter/upstreamRegistry.js";
import { noRollout } from "./configurationFakes.js";
import { installClock, type InstalledClock } from "./installedClock.js";
import { emptyReport, LeaderHarness, log } from "./leaderHarness.js";
import { noLimits } from "./limitFakes.js";

describe("a leader tracks the engines and notifies the entries", () => {
    let clock: InstalledClock;
    let harness: LeaderHarness;

    beforeEach(async () => {
        clock = installClock();
        harness = new LeaderHarness();
        await harness.register("a");
        await harness.register("b");
        harness.placement.start();
    });

    afterEach(() => {
        harness.placement.stop();
        clock.uninstall();
    });

    function createProbe(getReport = harness.control.getReport): SuspectProbe {
        const { host, upstreams, control } = harness;
        return new SuspectProbe({
            host,
            upstreams,
            control: { ...control, getReport },
            getNowMs: () => performance.now(),
            handleCorroboration: () => undefined,
        });
    }

    const probeRows = [
        { title: "suspected by one entry: after two failed reports", entries: ["e1"], apartMs: 0, asked: 2 },
        {
            title: "suspected twice by the same entry: after two failed reports",
            entries: ["e1", "e1"],
            apartMs: 0,
            asked: 2,
        },
        {
            title: "suspected by two entries within the window: after one failed report",
            entries: ["e1", "e2"],
            apartMs: 0,
            asked: 1,
        },
        {
            title: "suspected by two entries outside the window: after two failed reports",
            entries: ["e1", "e2"],
            apartMs: 2_000,
            asked: 2,
        },
    ];
    for (const { title, entries, apartMs, asked } of probeRows) {
        it(`an engine without a report is marked lost, ${title}`, async () => {
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
            expect([count, harness.state.getUpstream("a")?.status]).to.deep.equal([asked, "lost"]);
        });
    }

    // Requests at an upstream that has ended count as its crashes, and may be sent to another one beyond the route's limit.
    const lossRows = [
        { title: "reports time out", result: { isSilent: true }, loss: "silent" },
        { title: "connections are refused", result: { isSilent: false }, loss: "gone" },
        { title: "the failure is not known further", result: {}, loss: "gone" },
    ];
    for (const { title, result, loss } of lossRows) {
        it(`an engine is lost as ${loss} if ${title}`, async () => {
            const probe = createProbe(() => Promise.resolve({ kind: "failed", reason: title, ...result }));
            probe.handleSuspects({ instance: "one", suspects: ["a"] });
            await clock.tickAsync(1_000);
            expect(harness.state.getUpstream("a")).to.include({ status: "lost", loss });
        });
    }

    // As when its process ends while the report is under way.
    const endRows = [
        { title: "then connections are refused", later: { kind: "failed", reason: "refused" }, loss: "gone" },
        { title: "then reports time out", later: { kind: "failed", reason: "silent", isSilent: true }, loss: "silent" },
        { title: "then it reports", later: emptyReport, loss: "silent" },
    ] as const;
    for (const { title, later, loss } of endRows) {
        it(`an engine that two entries suspect and whose report is cut is lost as ${loss} if ${title}`, async () => {
            const reports: ReportResult[] = [{ kind: "failed", reason: "cut", isSilent: true }];
            const probe = createProbe(async () => {
                await new Promise((resolve) => setTimeout(resolve, 1));
                return reports.shift() ?? later;
            });
            probe.handleSuspects({ instance: "e1", suspects: ["a"] });
            probe.handleSuspects({ instance: "e2", suspects: ["a"] });
            await clock.tickAsync(1_000);
            expect(harness.state.getUpstream("a")).to.include({ status: "lost", loss });
        });
    }

    it("an engine that rejects reports with a backoff is not marked lost", async () => {
        const probe = createProbe(() => Promise.resolve({ kind: "turned-away", reason: "status 503" }));
        probe.handleSuspects({ instance: "e1", suspects: ["a"] });
        probe.handleSuspects({ instance: "e2", suspects: ["a"] });
        await clock.tickAsync(6_000);
        expect(harness.state.getUpstream("a")?.status).to.equal("ready");
    });

    it("entries receive corroborated suspicions only while the probe is pending", async () => {
        const probe: SuspectProbe = new SuspectProbe({
            host: harness.host,
            upstreams: harness.upstreams,
            control: {
                ...harness.control,
                getReport: async () => {
                    await new Promise((resolve) => setTimeout(resolve, 350));
                    return emptyReport;
                },
            },
            getNowMs: () => performance.now(),
            handleCorroboration: () => {
                entries.handleStateChange();
            },
        });
        const entries = new EntryRegistry({
            host: harness.host,
            getNowMs: () => performance.now(),
            rollout: noRollout,
            listSuspects: () => probe.listCorroborated(),
            limits: noLimits,
        });
        const told: (readonly string[])[] = [];
        const ask = async (): Promise<void> => {
            const known_index = harness.state.lastChangeIndex;
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

    it("a suspected engine is marked lost after two failed reports", async () => {
        const probe = createProbe();
        probe.handleSuspects({ instance: "e1", suspects: ["a", "b"] });
        harness.reports.set("a", { kind: "failed", reason: "no answer" });
        await clock.tickAsync(10);
        probe.handleSuspects({ instance: "e1", suspects: ["a", "b"] });
        await clock.tickAsync(10);
        expect(harness.state.listUpstreams().map((one) => `${one.id} ${one.status}`)).to.deep.equal([
            "a lost",
            "b ready",
        ]);
    });

    it("the reported slowness of an engine is replicated, and its next heartbeat does not reset it", async () => {
        await harness.register("a", { first: 0, end: 4 });
        harness.setReport("a", { first: 0, end: 4 }, { slowness: 5 });
        const monitor = new SlownessMonitor({
            host: harness.host,
            upstreams: harness.upstreams,
            control: harness.control,
        });
        monitor.start();
        await clock.tickAsync(1_300);
        monitor.stop();
        await harness.register("a", { first: 0, end: 4 });
        expect(harness.state.getUpstream("a")?.slowness).to.equal(5);
        expect(harness.state.getUpstream("b")?.slowness).to.equal(undefined);
    });

    const pollRows = [
        { engines: 38, maxPerSecond: 40, minInTenSeconds: 38 },
        { engines: 218, maxPerSecond: 220, minInTenSeconds: 218 },
        { engines: 3_000, maxPerSecond: 200, minInTenSeconds: 1_800 },
    ];
    for (const { engines, maxPerSecond, minInTenSeconds } of pollRows) {
        it(`polls at most ${String(maxPerSecond)} of ${String(engines)} engines per second, in turn`, async () => {
            harness.placement.stop();
            for (let engine = 0; engine < engines; engine += 1) {
                await harness.register(`e${String(engine)}`, { first: 0, end: 4 });
            }
            const asked: string[] = [];
            const control = {
                ...harness.control,
                getReport: (engine: EngineEndpoint): Promise<ReportResult> => {
                    asked.push(engine.id);
                    return harness.control.getReport(engine);
                },
            };
            const monitor = new SlownessMonitor({ host: harness.host, upstreams: harness.upstreams, control });
            monitor.start();
            await clock.tickAsync(10_000);
            monitor.stop();
            expect(asked.length / 10).to.be.at.most(maxPerSecond);
            expect(new Set(asked).size).to.be.at.least(minInTenSeconds);
        });
    }

    it("polls engines less often while the event loop is busy", async () => {
        let isBusy = false;
        let asked = 0;
        const control = {
            ...harness.control,
            getReport: (engine: EngineEndpoint): Promise<ReportResult> => {
                asked += 1;
                return harness.control.getReport(engine);
            },
        };
        harness.placement.stop();
        await harness.register("a", { first: 0, end: 4 });
        const { host, upstreams } = harness;
        const monitor = new SlownessMonitor({ host, upstreams, control, takeLoopUse: () => isBusy ? 0.9 : 0.5 });
        monitor.start();
        await clock.tickAsync(5_000);
        const calm = asked;
        isBusy = true;
        await clock.tickAsync(5_000);
        monitor.stop();
        expect(asked - calm).to.be.within(1, calm / 4);
    });

    it("an upstream is marked lost after four missed heartbeats, and ready again with the next", async () => {
        await clock.tickAsync(3_900);
        harness.upstreams.markSilentUpstreams();
        await clock.tickAsync(1);
        expect(harness.state.getUpstream("a")?.status).to.equal("ready");
        await clock.tickAsync(200);
        harness.upstreams.markSilentUpstreams();
        await clock.tickAsync(1);
        expect(harness.state.getUpstream("a")).to.include({ status: "lost", loss: "silent" });
        await harness.register("a");
        expect(harness.state.getUpstream("a")?.status).to.equal("ready");
        expect(harness.state.getUpstream("a")).to.not.have.property("loss");
    });

    it("a leader that resumes from sleep does not mark upstreams lost for heartbeats missed while it slept", async () => {
        let lastResumeMs = Number.NEGATIVE_INFINITY;
        const upstreams = new UpstreamRegistry({
            host: harness.host,
            log,
            getNowMs: () => performance.now(),
            getLastResumeMs: () => lastResumeMs,
            heartbeatMs: 1_000,
            isServiceNamed: () => true,
        });
        await upstreams.registerUpstream({
            facts: { id: "u", service: "s", address: "1.1.1.1:1", failure_domain: "d", slots: 1 },
            status: "ready",
            sequence: 1,
        });
        await clock.tickAsync(9_000);
        lastResumeMs = performance.now();
        upstreams.markSilentUpstreams();
        await clock.tickAsync(1);
        expect(harness.state.getUpstream("u")?.status).to.equal("ready");
        await clock.tickAsync(5_000);
        upstreams.markSilentUpstreams();
        await clock.tickAsync(1);
        expect(harness.state.getUpstream("u")?.status).to.equal("lost");
    });

    // A saturated event loop has heartbeats that it has not read.
    const saturationRows = [
        { title: "saturated for 6 s", loopUse: 1, silentMs: 6_000, status: "ready" },
        { title: "busy for 6 s", loopUse: 0.8, silentMs: 6_000, status: "lost" },
        { title: "saturated for 13 s", loopUse: 1, silentMs: 13_000, status: "lost" },
    ];
    for (const { title, loopUse, silentMs, status } of saturationRows) {
        it(`an upstream without heartbeats is ${status} at a leader that is ${title}`, async () => {
            const upstreams = new UpstreamRegistry({
                host: harness.host,
                log,
                getNowMs: () => performance.now(),
                heartbeatMs: 1_000,
                takeLoopUse: () => loopUse,
                isServiceNamed: () => true,
            });
            await upstreams.registerUpstream({
                facts: { id: "u", service: "s", address: "1.1.1.1:1", failure_domain: "d", slots: 1 },
                status: "ready",
                sequence: 1,
            });
            for (let elapsedMs = 0; elapsedMs < silentMs; elapsedMs += 250) {
                await clock.tickAsync(250);
                upstreams.markSilentUpstreams();
            }
            await clock.tickAsync(1);
            expect(harness.state.getUpstream("u")?.status).to.equal(status);
        });
    }

    it("an entry is answered as soon as the state changes, and receives the open requests of others", async () => {
        const entries = new EntryRegistry({
            host: harness.host,
            getNowMs: () => performance.now(),
            rollout: noRollout,
            listSuspects: () => [],
            limits: noLimits,
        });
        const loads = { a: { open: 3, unstarted: 1 } };
        void entries.synchronise({ instance: "other", known_index: 0, loads });
        const waiting = entries.synchronise({
            instance: "one",
            known_index: harness.state.lastChangeIndex,
            loads: {},
        });
        await harness.register("c");
        entries.handleStateChange();
        const told = await waiting;
        expect(told.kind === "state" && told.upstreams.map((one) => one.id)).to.deep.equal(["c"]);
        expect(told.kind === "state" && told.loads_elsewhere).to.deep.equal(loads);
        expect(told.kind === "state" && told.entries).to.equal(2);
    });

    it("an entry's lease starts when its request was sent", async () => {
        const entries = new EntryRegistry({
            host: harness.host,
            getNowMs: () => performance.now(),
            rollout: noRollout,
            listSuspects: () => [],
            limits: noLimits,
        });
        let knownIndex = 0;
        let lastResumeMs = Number.NEGATIVE_INFINITY;
        const told: object[] = [];
        const link = new LeaderSync({
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
            getLastResumeMs: () => lastResumeMs,
            getNowMs: () => performance.now(),
            getSeeds: () => ["voter"],
            instance: "one",
            createParameters: () => ({ instance: "one", known_index: knownIndex, loads: {} }),
            takeSuspects: () => ["a"],
            handleState: (state) => {
                knownIndex = state.index;
            },
            getAppliedVersion: () => undefined,
            handleDocument: () => undefined,
            random: () => 0,
        });
        link.start();
        await clock.tickAsync(1_000);
        expect(knownIndex).to.equal(harness.state.lastChangeIndex);
        expect(link.confirmationAgeMs).to.be.at.most(400);
        // After sleep, only a request sent since then renews the lease.
        lastResumeMs = performance.now();
        expect(link.confirmationAgeMs).to.equal(Number.POSITIVE_INFINITY);
        await clock.tickAsync(1_000);
        expect(link.confirmationAgeMs).to.be.at.most(400);
        // Suspicions are sent immediately and in one message, even while a request is pending.
        link.reportSuspects();
        link.reportSuspects();
        await clock.tickAsync(30);
        expect(told).to.deep.equal([{ instance: "one", suspects: ["a"] }]);
        harness.isLeading = false;
        await clock.tickAsync(5_000);
        expect(link.confirmationAgeMs).to.be.at.least(5_000);
        link.stop();
    });
});
