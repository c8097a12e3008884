/**
 * After all voters were killed, one of five workers got no request in four and a half seconds under thirty callers: other entries
 * had requests open there when the leader told of them last, and as nobody told of their end they counted on.
 */
import { expect } from "chai";
import { RemoteLoads } from "../src/process/entry/remoteLoads.js";

describe("what others have open is believed for as long as a leader may still tell", () => {
    const rows = [
        { title: "as told", ageMs: 0, here: 0, expected: 8 },
        { title: "while the leader holds its answer", ageMs: 1_500, here: 0, expected: 8 },
        { title: "no more after that", ageMs: 1_501, here: 0, expected: 0 },
        { title: "as much as here, each of them", ageMs: 60_000, here: 2, expected: 4 },
    ];
    for (const { title, ageMs, here, expected } of rows) {
        it(title, () => {
            let nowMs = 1_000;
            const loads = new RemoteLoads({
                getNowMs: () => nowMs,
                getLocalLoad: () => ({ open: here, unstarted: here }),
                countEntries: () => 3,
            });
            loads.record({ u: { open: 8, unstarted: 8 } });
            nowMs += ageMs;
            expect(loads.get("u")).to.deep.equal({ open: expected, unstarted: expected });
        });
    }

    it("nothing elsewhere before the first notice, where nothing is open here", () => {
        const loads = new RemoteLoads({
            getNowMs: () => 0,
            getLocalLoad: () => ({ open: 0, unstarted: 0 }),
            countEntries: () => 3,
        });
        expect(loads.get("u")).to.deep.equal({ open: 0, unstarted: 0 });
    });
});
