/** Guards against an order that an engine refuses (409) being repeated at every tick: 80 times while it carried out another one. */
import { expect } from "chai";
import type { EngineEndpoint, OrderOutcome, ReportResult } from "../src/connection/engineControl.js";
import { installClock, type InstalledClock } from "./installedClock.js";
import { emptyReport, HEARTBEAT_MS, LeaderHarness } from "./leaderHarness.js";

const REFUSED: OrderOutcome = { kind: "refused", reason: "status 409: sequence" };
const HELD = { first: 4, end: 8 };
const OTHER_HELD = { first: 0, end: 4 };

interface Case {
    readonly title: string;
    /** How long engine "a" refuses orders, from the first one. */
    readonly busyMs: number;
    /** What its report lists while it refuses them. */
    readonly isOrderInProgress: boolean;
    /** What it holds afterwards. */
    readonly heldAfterwards?: typeof HELD;
    readonly maxRefused: number;
    /** Limit of the time from the end of the refusals to an accepted order; 0 if none may be given. */
    readonly maxDelayMs: number;
}

const cases: readonly Case[] = [
    { title: "its report lists the order", busyMs: 8_000, isOrderInProgress: true, maxRefused: 1, maxDelayMs: 500 },
    { title: "its report lists none", busyMs: 8_000, isOrderInProgress: false, maxRefused: 8, maxDelayMs: 2_200 },
    { title: "it refuses only once", busyMs: 50, isOrderInProgress: false, maxRefused: 1, maxDelayMs: 500 },
    {
        title: "it then holds the layers of the other order",
        busyMs: 8_000,
        isOrderInProgress: true,
        heldAfterwards: HELD,
        maxRefused: 1,
        maxDelayMs: 0,
    },
];

describe("an order that an engine refuses is repeated with a backoff, and given once the engine can take it", () => {
    let clock: InstalledClock;
    let harness: LeaderHarness;

    beforeEach(async () => {
        clock = installClock();
        harness = new LeaderHarness();
        await harness.register("a");
        await harness.register("b", OTHER_HELD);
        harness.setReport("b", OTHER_HELD);
    });

    afterEach(() => {
        harness.placement.stop();
        clock.uninstall();
    });

    cases.forEach(({ title, busyMs, isOrderInProgress, heldAfterwards, maxRefused, maxDelayMs }) => {
        it(title, async () => {
            let firstMs: number | undefined;
            let refused = 0;
            let begunMs: number | undefined;
            const isBusy = (): boolean => firstMs !== undefined && performance.now() < firstMs + busyMs;
            const { getReport } = harness.control;
            harness.control.getReport = async (engine: EngineEndpoint): Promise<ReportResult> => {
                if (engine.id !== "a") {
                    return await getReport(engine);
                }
                const isOver = firstMs !== undefined && !isBusy();
                return {
                    ...emptyReport,
                    isOrderInProgress: isBusy() && isOrderInProgress,
                    held: isOver ? heldAfterwards : undefined,
                };
            };
            harness.control.placeLayers = ({ id }): Promise<OrderOutcome> => {
                expect(id).to.equal("a");
                firstMs ??= performance.now();
                if (isBusy()) {
                    refused += 1;
                    return Promise.resolve(REFUSED);
                }
                begunMs ??= performance.now();
                return Promise.resolve({ kind: "begun" });
            };
            harness.placement.start();
            for (let elapsedMs = 0; elapsedMs < busyMs + 5_000; elapsedMs += HEARTBEAT_MS) {
                await clock.tickAsync(HEARTBEAT_MS);
            }
            expect(refused).to.be.within(1, maxRefused);
            if (heldAfterwards === undefined) {
                expect((begunMs ?? Number.NaN) - (firstMs ?? 0) - busyMs).to.be.within(0, maxDelayMs);
            }
            else {
                expect(begunMs).to.equal(undefined);
                expect(harness.state.getUpstream("a")?.held).to.deep.equal(heldAfterwards);
            }
        });
    });
});
