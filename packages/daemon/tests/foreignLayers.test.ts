import type { LayerSpan } from "@crankfork/schemas";
import { expect } from "chai";
import { installClock, type InstalledClock } from "./installedClock.js";
import { LeaderHarness } from "./leaderHarness.js";

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
