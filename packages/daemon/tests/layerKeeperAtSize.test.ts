/**
 * A leader of 3,000 engines planned their layers ten times a second, also while nothing changed, at 65 to 110 ms each on a whole
 * core; gave all orders at once, each after a report; and asked each engine that loads for a report four times a second, 12,000
 * a second in all. Its loop stood still: nothing confirmed a document, and heartbeats went from voter to voter.
 */
import { expect } from "chai";
import type { EngineEndpoint, OrderOutcome, ReportResult } from "../src/connection/engineControl.js";
import { installClock, type InstalledClock } from "./installedClock.js";
import { emptyReport, HEARTBEAT_MS, LeaderStand } from "./leaderStand.js";

const ENGINES = 1_000;

describe("what a leader does about layers stays within what it can bear, however many engines there are", () => {
    let clock: InstalledClock;
    let stand: LeaderStand;

    beforeEach(async () => {
        clock = installClock();
        stand = new LeaderStand();
        for (let engine = 0; engine < ENGINES; engine += 1) {
            await stand.register(`e${String(engine)}`);
        }
    });

    afterEach(() => {
        stand.keeper.stop();
        clock.uninstall();
    });

    it("at most 250 orders are under way at a time, and all are given", async () => {
        let asking = 0;
        let mostAsking = 0;
        stand.control.placeLayers = async (): Promise<OrderOutcome> => {
            asking += 1;
            mostAsking = Math.max(mostAsking, asking);
            await new Promise((resolve) => setTimeout(resolve, 50));
            asking -= 1;
            stand.orders.push("one");
            return { kind: "begun" };
        };
        stand.keeper.start();
        await clock.tickAsync(HEARTBEAT_MS + 3_000);
        expect(mostAsking).to.be.at.most(250);
        expect(stand.orders).to.have.length(ENGINES);
    });

    it("engines that load are asked at most 250 times a second, each in its turn", async () => {
        stand.keeper.start();
        await clock.tickAsync(HEARTBEAT_MS + 2_000);
        const asked: string[] = [];
        stand.control.getReport = ({ id }: EngineEndpoint): Promise<ReportResult> => {
            asked.push(id);
            return Promise.resolve({ ...emptyReport, isOrderInProgress: true });
        };
        await clock.tickAsync(5_000);
        expect(asked.length / 5).to.be.at.most(250);
        expect(new Set(asked).size).to.equal(ENGINES);
    });

    it("layers are planned again only where something changed", async () => {
        stand.keeper.start();
        await clock.tickAsync(HEARTBEAT_MS + 2_000);
        for (let engine = 0; engine < ENGINES; engine += 1) {
            const id = `e${String(engine)}`;
            stand.upstreams.recordHeld(
                stand.state.getUpstream(id)!,
                engine % 2 === 0 ? { first: 0, end: 4 } : { first: 4, end: 8 },
            );
        }
        await clock.tickAsync(5_000);
        const { plans } = stand;
        await clock.tickAsync(5_000);
        expect(stand.plans).to.equal(plans);
        stand.upstreams.recordSlowness(stand.state.getUpstream("e0")!, 3);
        await clock.tickAsync(2_000);
        expect(stand.plans).to.be.above(plans);
    });
});
