import type { LayerSpan } from "@crankfork/schemas";
import { expect } from "chai";
import { SlownessMonitor } from "../src/process/layers/slownessMonitor.js";
import { installClock, type InstalledClock } from "./installedClock.js";
import { emptyReport, LeaderHarness } from "./leaderHarness.js";

const rows: readonly LayerSpan[] = [
    { first: 0, end: 1_000_000 },
    { first: 5, end: Number.MAX_SAFE_INTEGER },
    { first: 0, end: 9 },
    { first: 6, end: 2 },
];

describe("an engine that reports layers beyond its model does not end the leader, and the others are placed", () => {
    let clock: InstalledClock;

    beforeEach(() => {
        clock = installClock();
    });

    afterEach(() => {
        clock.uninstall();
    });

    async function listOrders(strange: LayerSpan | undefined): Promise<readonly string[]> {
        const harness = new LeaderHarness();
        await harness.register("a");
        await harness.register("b");
        if (strange !== undefined) {
            await harness.register("strange", strange);
        }
        harness.placement.start();
        await clock.tickAsync(5_000);
        harness.placement.stop();
        return harness.orders;
    }

    for (const span of rows) {
        it(`layers ${String(span.first)} to ${String(span.end)}`, async () => {
            const orders = await listOrders(undefined);
            expect(new Set(orders)).to.deep.equal(new Set(["a=4-8", "b=0-4"]));
            expect(await listOrders(span)).to.deep.equal(orders);
        });
    }
});

describe("an engine's report with values that the state refuses proposes nothing that cannot be applied", () => {
    let clock: InstalledClock;
    let harness: LeaderHarness;
    const held = { first: 0, end: 4 };

    beforeEach(async () => {
        clock = installClock();
        harness = new LeaderHarness();
        await harness.register("a", held);
    });

    afterEach(() => {
        clock.uninstall();
    });

    function listResults(): readonly string[] {
        return harness.proposals.map((command) => harness.state.parse(command).kind);
    }

    for (const slowness of [1e308, Number.MAX_VALUE, Number.POSITIVE_INFINITY, Number.NaN, -1, 0]) {
        it(`${String(slowness)} times slower`, async () => {
            harness.reports.set("a", { ...emptyReport, held, slowness });
            const { host, upstreams, control } = harness;
            const monitor = new SlownessMonitor({ host, upstreams, control });
            monitor.start();
            await clock.tickAsync(5_000);
            monitor.stop();
            expect(new Set(listResults())).to.deep.equal(new Set(["valid"]));
            expect(harness.proposals.length).to.be.at.most(2);
        });
    }

    for (const reported of [{ first: -1, end: 4 }, { first: 0, end: 1e300 }, { first: 0.5, end: 4 }]) {
        it(`layers ${String(reported.first)} to ${String(reported.end)}: the next heartbeat counts`, async () => {
            await harness.upstreams.recordHeldLayers(harness.state.getUpstream("a")!, reported);
            await harness.register("a", { first: 0, end: 2 });
            expect(new Set(listResults())).to.deep.equal(new Set(["valid"]));
            expect(harness.state.getUpstream("a")?.held).to.deep.equal({ first: 0, end: 2 });
        });
    }
});
