import type { FleetState, ReplicaEvent } from "@crankfork/coordination";
import { formatIncarnationId, type UpstreamIncarnation, type UpstreamStatus } from "@crankfork/schemas";
import type FakeTimers from "@sinonjs/fake-timers";
import { expect } from "chai";
import fc from "fast-check";
import { SlownessMonitor } from "../src/process/layers/slownessMonitor.js";
import { SuspectProbe } from "../src/process/voter/suspectProbe.js";
import type { UpstreamHeartbeat } from "../src/process/voter/upstreamRegistry.js";
import { installClock, type InstalledClock } from "./installedClock.js";
import { HEARTBEAT_MS, LeaderHarness } from "./leaderHarness.js";

const elected: ReplicaEvent = { kind: "role", role: "leader", term: 4 };

interface HeartbeatOptions {
    readonly start?: number;
    readonly sequence: number;
    readonly status?: UpstreamStatus;
    readonly name?: string;
    readonly address?: string;
    readonly service?: string;
}

function createHeartbeat(
    { start, sequence, status = "ready", name = "u", address = "a", service = "s" }: HeartbeatOptions,
): UpstreamHeartbeat {
    const incarnation: UpstreamIncarnation = { name, ...(start === undefined ? {} : { started_at_ms: start }) };
    const facts = {
        id: formatIncarnationId(incarnation),
        life: incarnation,
        service,
        address,
        failure_domain: "d",
        slots: 1,
    };
    return { facts, status, sequence };
}

type Step = HeartbeatOptions | "election" | "snapshot" | { readonly ends: number | undefined; } | {
    readonly waitsMs: number;
};

async function play(harness: LeaderHarness, steps: readonly Step[], clock: FakeTimers.Clock): Promise<void> {
    for (const step of steps) {
        if (step === "election") {
            harness.upstreams.handleReplicaEvent(elected);
        }
        else if (step === "snapshot") {
            harness.state.restore(JSON.parse(JSON.stringify(harness.state.getState())));
        }
        else if ("ends" in step) {
            await harness.upstreams.removeUpstream("u", step.ends);
        }
        else if ("waitsMs" in step) {
            await clock.tickAsync(step.waitsMs);
            harness.upstreams.markSilentUpstreams();
            await clock.tickAsync(1);
        }
        else {
            await harness.upstreams.registerUpstream(createHeartbeat(step));
        }
    }
}

const listRegistered = ({ state }: { readonly state: FleetState; }): readonly string[] =>
    state.listUpstreams().map(({ id, status }) => `${id} ${status}`);

const rows: readonly { readonly title: string; readonly steps: readonly Step[]; readonly held: readonly string[]; }[] =
    [
        {
            title: "a crash and an immediate restart: sequence numbers start again",
            steps: [{ start: 1, sequence: 90 }, { start: 2, sequence: 1 }],
            held: ["u@2 ready"],
        },
        {
            title: "a crash, silence and a restart",
            steps: [{ start: 1, sequence: 90 }, { waitsMs: 5 * HEARTBEAT_MS }, { start: 2, sequence: 1 }],
            held: ["u@2 ready"],
        },
        {
            title: "a graceful end and a restart",
            steps: [
                { start: 1, sequence: 90 },
                { start: 1, sequence: 91, status: "leaving" },
                { ends: 1 },
                { start: 2, sequence: 1 },
            ],
            held: ["u@2 ready"],
        },
        {
            title: "an end without a start time, and a restart",
            steps: [{ start: 1, sequence: 90 }, { ends: undefined }, { start: 2, sequence: 1 }],
            held: ["u@2 ready"],
        },
        {
            title: "a delayed heartbeat of the previous incarnation",
            steps: [{ start: 1, sequence: 90 }, { start: 2, sequence: 1 }, { start: 1, sequence: 91 }],
            held: ["u@2 ready"],
        },
        {
            title: "the same after a change of leader and a snapshot",
            steps: [
                { start: 1, sequence: 90 },
                { start: 2, sequence: 1 },
                "snapshot",
                "election",
                { start: 1, sequence: 91, status: "leaving" },
            ],
            held: ["u@2 ready"],
        },
        {
            title: "a delayed end of the previous incarnation",
            steps: [{ start: 1, sequence: 90 }, { start: 2, sequence: 1 }, { ends: 1 }],
            held: ["u@2 ready"],
        },
        {
            title: "an incarnation that is leaving remains so",
            steps: [{ start: 2, sequence: 5, status: "leaving" }, "election", { start: 2, sequence: 4 }],
            held: ["u@2 leaving"],
        },
        {
            title: "a heartbeat without a start time under a name registered with one",
            steps: [{ start: 1, sequence: 90 }, { sequence: 91, status: "leaving" }],
            held: ["u@1 ready"],
        },
        {
            title: "a heartbeat for another service under a registered name",
            steps: [{ start: 1, sequence: 90 }, { start: 1, sequence: 91, service: "t", address: "b" }],
            held: ["u@1 ready"],
        },
        {
            title: "a delayed heartbeat from an address taken by a later start",
            steps: [{ start: 5, sequence: 1, name: "v" }, { start: 4, sequence: 9 }],
            held: ["v@5 ready"],
        },
        {
            title: "an upstream without a start time is identified by its name alone",
            steps: [{ sequence: 1 }, { sequence: 3, status: "leaving" }, { sequence: 2 }],
            held: ["u leaving"],
        },
    ];

/** Heartbeats of one upstream, an interval apart. */
function createHeartbeats(name: string, first: number, count: number): readonly Step[] {
    return Array.from({ length: count }, (_, at): readonly Step[] => [
        { name, sequence: first + at },
        { waitsMs: HEARTBEAT_MS },
    ]).flat();
}

/** Guards against a delayed heartbeat that removes the upstream which runs at the address now. */
const sharedAddressRows: typeof rows = [
    {
        title: "a delayed first heartbeat of an upstream that has ended",
        steps: [...createHeartbeats("v", 1, 2), { sequence: 1 }, ...createHeartbeats("v", 3, 1)],
        held: ["v ready"],
    },
    {
        title: "the same after a change of leader",
        steps: [...createHeartbeats("v", 1, 2), "election", { sequence: 1 }, ...createHeartbeats("v", 3, 1)],
        held: ["v ready"],
    },
    {
        title: "the same while the heartbeats of the running one are delayed, too",
        steps: [
            ...createHeartbeats("v", 1, 2),
            { waitsMs: 6 * HEARTBEAT_MS },
            { sequence: 1 },
            { sequence: 2 },
            ...createHeartbeats("v", 3, 12),
        ],
        held: ["v ready"],
    },
    {
        title: "delayed heartbeats of the former upstream",
        steps: [
            ...createHeartbeats("v", 1, 2),
            { waitsMs: 3 * HEARTBEAT_MS },
            ...createHeartbeats("u", 1, 2),
            { name: "v", sequence: 3 },
            { name: "v", sequence: 4 },
            ...createHeartbeats("u", 3, 12),
        ],
        held: ["u ready"],
    },
    {
        title: "a crash and an immediate restart",
        steps: [{ name: "v", sequence: 90 }, ...createHeartbeats("u", 1, 12)],
        held: ["u ready"],
    },
    {
        title: "a crash and a restart after the usual time",
        steps: [{ name: "v", sequence: 90 }, { waitsMs: 2 * HEARTBEAT_MS }, { sequence: 1 }],
        held: ["v lost", "u ready"],
    },
    {
        title: "a crash, silence and a restart",
        steps: [...createHeartbeats("v", 90, 1), { waitsMs: 20 * HEARTBEAT_MS }, ...createHeartbeats("u", 1, 1)],
        held: ["u ready"],
    },
    {
        title: "an upstream that is lost and not replaced",
        steps: [...createHeartbeats("v", 90, 1), { waitsMs: 20 * HEARTBEAT_MS }],
        held: ["v lost"],
    },
];

/** Guards against an upstream that reports the address of another one, and thereby ends it. */
const claimedAddressRows: typeof rows = [
    {
        title: "once",
        steps: [...createHeartbeats("v", 1, 2), { start: 5, sequence: 1 }, ...createHeartbeats("v", 3, 4)],
        held: ["v ready"],
    },
    {
        title: "all the time",
        steps: Array.from({ length: 12 }, (_, at): readonly Step[] => [
            { name: "v", sequence: at + 1 },
            { start: 5, sequence: at + 1, service: "t" },
            { waitsMs: HEARTBEAT_MS },
        ]).flat(),
        held: ["v ready"],
    },
    {
        title: "while the holder is silent for some time",
        steps: [
            ...createHeartbeats("v", 1, 2),
            { waitsMs: 2 * HEARTBEAT_MS },
            { start: 5, sequence: 1 },
            { waitsMs: 2 * HEARTBEAT_MS },
            ...createHeartbeats("v", 3, 12),
        ],
        held: ["v ready"],
    },
    {
        title: "as its successor",
        steps: [...createHeartbeats("v", 1, 2), { waitsMs: 2 * HEARTBEAT_MS }, { start: 5, sequence: 1 }],
        held: ["v lost", "u@5 ready"],
    },
];

describe("the voters register the latest incarnation of an upstream", () => {
    let clock: InstalledClock;

    beforeEach(() => {
        clock = installClock();
    });

    afterEach(() => {
        clock.uninstall();
    });

    const tables = {
        "": rows,
        "no start times, one address: ": sharedAddressRows,
        "an upstream with a start time reports the address of one without: ": claimedAddressRows,
    };
    for (const [prefix, table] of Object.entries(tables)) {
        for (const { title, steps, held } of table) {
            it(`${prefix}${title}`, async () => {
                const harness = new LeaderHarness();
                await play(harness, steps, clock);
                expect(listRegistered(harness)).to.deep.equal(held);
            });
        }
    }

    it("a delayed heartbeat of the previous incarnation does not prevent a silent one from being marked lost", async () => {
        const harness = new LeaderHarness();
        await play(harness, [{ start: 2, sequence: 1 }, { waitsMs: 3 * HEARTBEAT_MS }], clock);
        await play(harness, [{ start: 1, sequence: 50 }, { waitsMs: 2 * HEARTBEAT_MS }], clock);
        expect(listRegistered(harness)).to.deep.equal(["u@2 lost"]);
    });

    const reportRows = [
        { title: "a later start ends the known incarnation", startedAtMs: 20, held: [] },
        { title: "an earlier start changes nothing", startedAtMs: 5, held: ["e@10 ready"] },
        { title: "no start changes nothing", startedAtMs: undefined, held: ["e@10 ready"] },
        { title: "the known start", startedAtMs: 10, held: ["e@10 ready"] },
    ] as const;
    const askers: Readonly<Record<string, (harness: LeaderHarness) => Promise<void>>> = {
        "a suspect probe": async ({ host, upstreams, control }) => {
            const probe = new SuspectProbe({
                host,
                upstreams,
                control,
                getNowMs: () => performance.now(),
                handleCorroboration: () => undefined,
            });
            probe.handleSuspects({ instance: "e1", suspects: ["e@10"] });
            await clock.tickAsync(10);
        },
        "the slowness monitor": async ({ host, upstreams, control }) => {
            const monitor = new SlownessMonitor({ host, upstreams, control });
            monitor.start();
            await clock.tickAsync(1_300);
            monitor.stop();
        },
    };
    for (const { title, startedAtMs, held } of reportRows) {
        for (const [asker, ask] of Object.entries(askers)) {
            it(`a report requested by ${asker}: ${title}`, async () => {
                const harness = new LeaderHarness();
                await harness.registerIncarnation({ name: "e", started_at_ms: 10 }, { first: 0, end: 4 });
                harness.setReport("e", { first: 0, end: 4 }, { startedAtMs, slowness: 9 });
                await ask(harness);
                expect(listRegistered(harness)).to.deep.equal(held);
                const isExpected = startedAtMs === 10 && asker === "the slowness monitor";
                expect(harness.state.getUpstream("e@10")?.slowness).to.equal(isExpected ? 9 : undefined);
            });
        }
    }

    it("a report with a start time does not end an engine whose heartbeats have none", async () => {
        const harness = new LeaderHarness();
        await harness.register("e", { first: 0, end: 4 });
        harness.setReport("e", { first: 0, end: 4 }, { startedAtMs: 10 });
        const [upstream] = harness.state.listUpstreams();
        expect(upstream && harness.upstreams.recordReportedStart(upstream, 10)).to.equal(true);
        await harness.register("e", { first: 0, end: 4 });
        expect(listRegistered(harness)).to.deep.equal(["e ready"]);
    });

    it("a suspected engine that no longer holds layers gets a new order", async () => {
        const harness = new LeaderHarness();
        await harness.register("a", { first: 0, end: 4 });
        await harness.register("b", { first: 4, end: 8 });
        harness.setReport("b", { first: 4, end: 8 });
        harness.placement.start();
        await clock.tickAsync(500);
        expect(harness.orders).to.deep.equal([]);
        const probe = new SuspectProbe({
            host: harness.host,
            upstreams: harness.upstreams,
            control: harness.control,
            getNowMs: () => performance.now(),
            handleCorroboration: () => undefined,
        });
        probe.handleSuspects({ instance: "e1", suspects: ["a"] });
        await clock.tickAsync(500);
        harness.placement.stop();
        expect(harness.orders).to.deep.equal(["a=0-4"]);
    });

    it("a restarted engine gets a new order, and the order of its previous incarnation is dropped", async () => {
        const harness = new LeaderHarness();
        await harness.registerIncarnation({ name: "a", started_at_ms: 1 });
        await harness.registerIncarnation({ name: "b", started_at_ms: 1 });
        harness.setReport("a", undefined, { startedAtMs: 1, isOrderInProgress: true });
        harness.setReport("b", undefined, { startedAtMs: 1, isOrderInProgress: true });
        harness.placement.start();
        await clock.tickAsync(5_000);
        expect(harness.orders.map((order) => order.split("=")[0])).to.deep.equal(["a@1", "b@1"]);
        await harness.registerIncarnation({ name: "a", started_at_ms: 2 });
        harness.setReport("a", undefined, { startedAtMs: 2 });
        await clock.tickAsync(300);
        harness.placement.stop();
        expect(harness.orders.map((order) => order.split("=")[0])).to.deep.equal(["a@1", "b@1", "a@2"]);
    });

    it("the latest incarnation that was heard is registered, regardless of delays and leaders", async () => {
        const step = fc.oneof(
            {
                weight: 6,
                arbitrary: fc.record({
                    start: fc.integer({ min: 1, max: 6 }),
                    sequence: fc.integer({ min: 1, max: 9 }),
                }),
            },
            { weight: 1, arbitrary: fc.constant<Step>("election") },
            { weight: 1, arbitrary: fc.constant<Step>("snapshot") },
            { weight: 1, arbitrary: fc.record({ waitsMs: fc.integer({ min: 1, max: 6_000 }) }) },
            { weight: 1, arbitrary: fc.record({ ends: fc.integer({ min: 1, max: 6 }) }) },
        );
        await fc.assert(
            fc.asyncProperty(fc.array(step, { maxLength: 40 }), async (steps) => {
                const harness = new LeaderHarness();
                await play(harness, steps, clock);
                const startTimes = steps.flatMap((one) =>
                    typeof one === "string"
                        ? []
                        : "ends" in one
                        ? [one.ends ?? 0]
                        : "start" in one
                        ? [one.start ?? 0]
                        : []
                );
                const last = Math.max(0, ...startTimes);
                const hasEnded = steps.some((one) => typeof one === "object" && "ends" in one && one.ends === last);
                const held = harness.state.listUpstreams().map(({ id }) => id);
                expect(held).to.deep.equal(last === 0 || hasEnded ? [] : [`u@${String(last)}`]);
            }),
            { seed: 7, numRuns: 300 },
        );
    });
});
