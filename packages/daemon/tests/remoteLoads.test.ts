/**
 * Guards against outdated load reports. After all voters were killed, one of five workers got no request in 4.5 s at thirty callers: the
 * last report of the leader counted requests of other entries there, and without a leader their end was never reported.
 */
import { expect } from "chai";
import { RemoteLoads } from "../src/process/entry/remoteLoads.js";

describe("the reported load of other entries is used while a leader could have updated it", () => {
    const rows = [
        { title: "as reported", ageMs: 0, localOpen: 0, expected: 8 },
        { title: "while the leader holds a long poll", ageMs: 1_500, localOpen: 0, expected: 8 },
        { title: "not after that", ageMs: 1_501, localOpen: 0, expected: 0 },
        {
            title: "afterwards the local load is assumed for each other entry",
            ageMs: 60_000,
            localOpen: 2,
            expected: 4,
        },
    ];
    for (const { title, ageMs, localOpen, expected } of rows) {
        it(title, () => {
            let nowMs = 1_000;
            const loads = new RemoteLoads({
                getNowMs: () => nowMs,
                getLocalLoad: () => ({ open: localOpen, unstarted: localOpen }),
                countEntries: () => 3,
            });
            loads.record({ u: { open: 8, unstarted: 8 } });
            nowMs += ageMs;
            expect(loads.get("u")).to.deep.equal({ open: expected, unstarted: expected });
        });
    }

    it("no remote load before the first report without local load", () => {
        const loads = new RemoteLoads({
            getNowMs: () => 0,
            getLocalLoad: () => ({ open: 0, unstarted: 0 }),
            countEntries: () => 3,
        });
        expect(loads.get("u")).to.deep.equal({ open: 0, unstarted: 0 });
    });
});
