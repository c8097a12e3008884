/**
 * Guards the budgets of control traffic: 5 KB a second for an entry at 320 entries, of which the loads take about half, and
 * 170 Mbit/s for the leader. Three ranks and 24 organisations at the rates of the vending fleet, with its burst of the least urgent
 * class; the rate at each entry stays the same where `perEntry` is set. docs/design/demand.md has the table.
 */
import { expect } from "chai";
import { CLASS_RATES, TestFleet, type Traffic } from "./demandFleet.js";
import { installClock, type InstalledClock } from "./installedClock.js";

const MEASURED_S = 4;
const REFERENCE_ENTRIES = 69;
const VOTERS = 5;

describe("reports and sums of demand stay within the budgets of entries and leader", () => {
    let clock: InstalledClock;

    beforeEach(() => {
        clock = installClock();
    });

    afterEach(() => {
        clock.uninstall();
    });

    const rows = [
        { instances: 74, perEntry: false, hasChanges: false, maxEntryBytes: 3_300, maxLeaderMbps: 2 },
        { instances: 137, perEntry: true, hasChanges: false, maxEntryBytes: 3_200, maxLeaderMbps: 4 },
        { instances: 300, perEntry: true, hasChanges: false, maxEntryBytes: 3_200, maxLeaderMbps: 8 },
        { instances: 300, perEntry: false, hasChanges: false, maxEntryBytes: 2_500, maxLeaderMbps: 6 },
        { instances: 74, perEntry: false, hasChanges: true, maxEntryBytes: 4_600, maxLeaderMbps: 3 },
        { instances: 137, perEntry: true, hasChanges: true, maxEntryBytes: 3_800, maxLeaderMbps: 4.5 },
        { instances: 300, perEntry: true, hasChanges: true, maxEntryBytes: 3_400, maxLeaderMbps: 8 },
    ];
    for (const { instances, perEntry, hasChanges, maxEntryBytes, maxLeaderMbps } of rows) {
        const load = perEntry ? "load in proportion" : "the load of 69 entries";
        const changes = hasChanges ? ", a change every 10 ms" : "";
        it(`${String(instances)} instances, ${load}${changes}`, async () => {
            const entries = instances - VOTERS;
            const scale = perEntry ? entries / REFERENCE_ENTRIES : 1;
            const rates = CLASS_RATES.map((rate, rank) => rate * scale * (rank === 2 ? 2.4 : 1));
            const fleet = new TestFleet(clock, entries, rates);
            await fleet.run(3_000);
            const list = (): readonly Traffic[] => fleet.entries.flatMap(({ sent, received }) => [sent, received]);
            const sum = (): number => list().reduce((total, one) => total + one.demandBytes, 0);
            const before = sum();
            await fleet.run(MEASURED_S * 1_000, () => {
                if (hasChanges) {
                    fleet.leader?.change();
                }
            });
            const bytesPerS = (sum() - before) / MEASURED_S;
            fleet.stop();
            expect(bytesPerS / entries, "bytes a second of an entry, both ways").to.be.below(maxEntryBytes);
            expect(bytesPerS * 8 / 1e6, "Mbit/s of the leader, both ways").to.be.below(maxLeaderMbps);
        });
    }
});
