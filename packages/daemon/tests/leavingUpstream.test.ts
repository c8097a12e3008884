import { expect } from "chai";
import { LeaderHarness } from "./leaderHarness.js";

const INCARNATION = { name: "a", started_at_ms: 5 };
const ID = "a@5";

describe("a leader records an upstream's shutdown notice from any entry that received it", () => {
    const getStatus = (stand: LeaderHarness, id = ID): string | undefined => stand.state.getUpstream(id)?.status;

    it("it is final for that incarnation, and later heartbeats append nothing to the log", async () => {
        const stand = new LeaderHarness();
        await stand.registerIncarnation(INCARNATION);
        expect(await stand.upstreams.recordLeavingNotice(ID, "entry-1")).to.equal(true);
        const index = stand.state.lastChangeIndex;
        await stand.registerIncarnation(INCARNATION);
        await stand.registerIncarnation(INCARNATION);
        expect([getStatus(stand), stand.state.lastChangeIndex]).to.deep.equal(["leaving", index]);
        expect(await stand.upstreams.recordLeavingNotice(ID, "entry-2")).to.equal(true);
        expect(stand.state.lastChangeIndex).to.equal(index);
    });

    it("its next incarnation is used, and a notice of the previous one changes nothing", async () => {
        const stand = new LeaderHarness();
        await stand.registerIncarnation(INCARNATION);
        await stand.upstreams.recordLeavingNotice(ID, "entry-1");
        await stand.registerIncarnation({ ...INCARNATION, started_at_ms: 6 });
        expect(await stand.upstreams.recordLeavingNotice(ID, "entry-2")).to.equal(true);
        expect([getStatus(stand), getStatus(stand, "a@6")]).to.deep.equal([undefined, "ready"]);
    });

    it("without leadership the notice is not accepted, so that the entry reports it to the next leader", async () => {
        const stand = new LeaderHarness();
        await stand.registerIncarnation(INCARNATION);
        stand.isLeading = false;
        expect(await stand.upstreams.recordLeavingNotice(ID, "entry-1")).to.equal(false);
        expect(getStatus(stand)).to.equal("ready");
    });

    it("an upstream considered lost that sends a notice is shutting down", async () => {
        const stand = new LeaderHarness();
        await stand.registerIncarnation(INCARNATION);
        stand.upstreams.markLost(stand.state.getUpstream(ID)!, "silent", "silent");
        await stand.upstreams.recordLeavingNotice(ID, "entry-1");
        expect(getStatus(stand)).to.equal("leaving");
    });
});
