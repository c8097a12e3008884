import type { FleetState, ReplicaEvent } from "@crankfork/coordination";
import { formatLifeId, type UpstreamLife, type UpstreamStatus } from "@crankfork/schemas";
import type FakeTimers from "@sinonjs/fake-timers";
import { expect } from "chai";
import fc from "fast-check";
import { PaceWatch } from "../src/process/layers/paceWatch.js";
import { SuspectProbe } from "../src/process/voter/suspectProbe.js";
import type { UpstreamHeartbeat } from "../src/process/voter/upstreamRegister.js";
import { installClock, type InstalledClock } from "./installedClock.js";
import { HEARTBEAT_MS, LeaderStand } from "./leaderStand.js";

const elected: ReplicaEvent = { kind: "role", role: "leader", term: 4 };

interface Beat {
    readonly start?: number;
    readonly sequence: number;
    readonly status?: UpstreamStatus;
    readonly name?: string;
    readonly address?: string;
    readonly service?: string;
}

function createHeartbeat(
    { start, sequence, status = "ready", name = "u", address = "a", service = "s" }: Beat,
): UpstreamHeartbeat {
    const life: UpstreamLife = { name, ...(start === undefined ? {} : { started_at_ms: start }) };
    const facts = { id: formatLifeId(life), life, service, address, failure_domain: "d", slots: 1 };
    return { facts, status, sequence };
}

type Step = Beat | "election" | "snapshot" | { readonly ends: number | undefined; } | { readonly waitsMs: number; };

async function play(stand: LeaderStand, steps: readonly Step[], clock: FakeTimers.Clock): Promise<void> {
    for (const step of steps) {
        if (step === "election") {
            stand.upstreams.handleEvent(elected);
        }
        else if (step === "snapshot") {
            stand.state.restore(JSON.parse(JSON.stringify(stand.state.getState())));
        }
        else if ("ends" in step) {
            await stand.upstreams.removeUpstream("u", step.ends);
        }
        else if ("waitsMs" in step) {
            await clock.tickAsync(step.waitsMs);
            stand.upstreams.markSilent();
            await clock.tickAsync(1);
        }
        else {
            await stand.upstreams.registerUpstream(createHeartbeat(step));
        }
    }
}

const listHeld = ({ state }: { readonly state: FleetState; }): readonly string[] =>
    state.listUpstreams().map(({ id, status }) => `${id} ${status}`);

const rows: readonly { readonly title: string; readonly steps: readonly Step[]; readonly held: readonly string[]; }[] =
    [
        {
            title: "a crash and a start at once: counts begin anew",
            steps: [{ start: 1, sequence: 90 }, { start: 2, sequence: 1 }],
            held: ["u@2 ready"],
        },
        {
            title: "a crash, silence and a start",
            steps: [{ start: 1, sequence: 90 }, { waitsMs: 5 * HEARTBEAT_MS }, { start: 2, sequence: 1 }],
            held: ["u@2 ready"],
        },
        {
            title: "an orderly end and a start",
            steps: [
                { start: 1, sequence: 90 },
                { start: 1, sequence: 91, status: "leaving" },
                { ends: 1 },
                { start: 2, sequence: 1 },
            ],
            held: ["u@2 ready"],
        },
        {
            title: "an end that does not say which life, and a start",
            steps: [{ start: 1, sequence: 90 }, { ends: undefined }, { start: 2, sequence: 1 }],
            held: ["u@2 ready"],
        },
        {
            title: "a late heartbeat of the life before",
            steps: [{ start: 1, sequence: 90 }, { start: 2, sequence: 1 }, { start: 1, sequence: 91 }],
            held: ["u@2 ready"],
        },
        {
            title: "the same after a change of the leader and a snapshot",
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
            title: "a late end of the life before",
            steps: [{ start: 1, sequence: 90 }, { start: 2, sequence: 1 }, { ends: 1 }],
            held: ["u@2 ready"],
        },
        {
            title: "a life that is leaving stays so",
            steps: [{ start: 2, sequence: 5, status: "leaving" }, "election", { start: 2, sequence: 4 }],
            held: ["u@2 leaving"],
        },
        {
            title: "a heartbeat without a start from a name that told one",
            steps: [{ start: 1, sequence: 90 }, { sequence: 91, status: "leaving" }],
            held: ["u@1 ready"],
        },
        {
            title: "a heartbeat for another service from a name that is registered",
            steps: [{ start: 1, sequence: 90 }, { start: 1, sequence: 91, service: "t", address: "b" }],
            held: ["u@1 ready"],
        },
        {
            title: "a late heartbeat that claims an address which a later start has",
            steps: [{ start: 5, sequence: 1, name: "v" }, { start: 4, sequence: 9 }],
            held: ["v@5 ready"],
        },
        {
            title: "an upstream that tells no start is known by its name alone",
            steps: [{ sequence: 1 }, { sequence: 3, status: "leaving" }, { sequence: 2 }],
            held: ["u leaving"],
        },
    ];

describe("the voters hold the latest life of an upstream", () => {
    let clock: InstalledClock;

    beforeEach(() => {
        clock = installClock();
    });

    afterEach(() => {
        clock.uninstall();
    });

    for (const { title, steps, held } of rows) {
        it(title, async () => {
            const stand = new LeaderStand();
            await play(stand, steps, clock);
            expect(listHeld(stand)).to.deep.equal(held);
        });
    }

    it("a late heartbeat of the life before does not keep a silent one alive", async () => {
        const stand = new LeaderStand();
        await play(stand, [{ start: 2, sequence: 1 }, { waitsMs: 3 * HEARTBEAT_MS }], clock);
        await play(stand, [{ start: 1, sequence: 50 }, { waitsMs: 2 * HEARTBEAT_MS }], clock);
        expect(listHeld(stand)).to.deep.equal(["u@2 lost"]);
    });

    const reportRows = [
        { title: "a later start: the life that was known is over", startedAtMs: 20, held: [] },
        { title: "an earlier start changes nothing", startedAtMs: 5, held: ["e@10 ready"] },
        { title: "no start changes nothing", startedAtMs: undefined, held: ["e@10 ready"] },
        { title: "the start that is known", startedAtMs: 10, held: ["e@10 ready"] },
    ] as const;
    const askers: Readonly<Record<string, (stand: LeaderStand) => Promise<void>>> = {
        "an entry suspects it": async ({ host, upstreams, control }) => {
            const probe = new SuspectProbe({
                host,
                upstreams,
                control,
                getNowMs: () => performance.now(),
                handleAgreement: () => undefined,
            });
            probe.handleSuspects({ instance: "e1", suspects: ["e@10"] });
            await clock.tickAsync(10);
        },
        "the leader asks for its pace": async ({ host, upstreams, control }) => {
            const watch = new PaceWatch({ host, upstreams, control });
            watch.start();
            await clock.tickAsync(1_300);
            watch.stop();
        },
    };
    for (const { title, startedAtMs, held } of reportRows) {
        for (const [asker, ask] of Object.entries(askers)) {
            it(`a report, asked for since ${asker}: ${title}`, async () => {
                const stand = new LeaderStand();
                await stand.registerLife({ name: "e", started_at_ms: 10 }, { first: 0, end: 4 });
                stand.setReport("e", { first: 0, end: 4 }, { startedAtMs, slowness: 9 });
                await ask(stand);
                expect(listHeld(stand)).to.deep.equal(held);
                const isMeant = startedAtMs === 10 && asker === "the leader asks for its pace";
                expect(stand.state.getUpstream("e@10")?.slowness).to.equal(isMeant ? 9 : undefined);
            });
        }
    }

    it("a report with a start does not end an engine whose heartbeats tell none", async () => {
        const stand = new LeaderStand();
        await stand.register("e", { first: 0, end: 4 });
        stand.setReport("e", { first: 0, end: 4 }, { startedAtMs: 10 });
        const [upstream] = stand.state.listUpstreams();
        expect(upstream && stand.upstreams.recordReportedStart(upstream, 10)).to.equal(true);
        await stand.register("e", { first: 0, end: 4 });
        expect(listHeld(stand)).to.deep.equal(["e ready"]);
    });

    it("an engine that entries suspect and that holds nothing any more is ordered anew", async () => {
        const stand = new LeaderStand();
        await stand.register("a", { first: 0, end: 4 });
        await stand.register("b", { first: 4, end: 8 });
        stand.setReport("b", { first: 4, end: 8 });
        stand.keeper.start();
        await clock.tickAsync(500);
        expect(stand.orders).to.deep.equal([]);
        const probe = new SuspectProbe({
            host: stand.host,
            upstreams: stand.upstreams,
            control: stand.control,
            getNowMs: () => performance.now(),
            handleAgreement: () => undefined,
        });
        probe.handleSuspects({ instance: "e1", suspects: ["a"] });
        await clock.tickAsync(500);
        stand.keeper.stop();
        expect(stand.orders).to.deep.equal(["a=0-4"]);
    });

    it("an engine that started again is ordered anew, and an order of its last life is not followed", async () => {
        const stand = new LeaderStand();
        await stand.registerLife({ name: "a", started_at_ms: 1 });
        await stand.registerLife({ name: "b", started_at_ms: 1 });
        stand.setReport("a", undefined, { startedAtMs: 1, isOrderInProgress: true });
        stand.setReport("b", undefined, { startedAtMs: 1, isOrderInProgress: true });
        stand.keeper.start();
        await clock.tickAsync(5_000);
        expect(stand.orders.map((order) => order.split("=")[0])).to.deep.equal(["a@1", "b@1"]);
        await stand.registerLife({ name: "a", started_at_ms: 2 });
        stand.setReport("a", undefined, { startedAtMs: 2 });
        await clock.tickAsync(300);
        stand.keeper.stop();
        expect(stand.orders.map((order) => order.split("=")[0])).to.deep.equal(["a@1", "b@1", "a@2"]);
    });

    it("whatever comes late and whoever leads, the last life that spoke is held", async () => {
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
                const stand = new LeaderStand();
                await play(stand, steps, clock);
                const spoke = steps.flatMap((one) =>
                    typeof one === "string"
                        ? []
                        : "ends" in one
                        ? [one.ends ?? 0]
                        : "start" in one
                        ? [one.start ?? 0]
                        : []
                );
                const last = Math.max(0, ...spoke);
                const hasEnded = steps.some((one) => typeof one === "object" && "ends" in one && one.ends === last);
                const held = stand.state.listUpstreams().map(({ id }) => id);
                expect(held).to.deep.equal(last === 0 || hasEnded ? [] : [`u@${String(last)}`]);
            }),
            { seed: 7, numRuns: 300 },
        );
    });
});
