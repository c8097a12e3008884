import { expect } from "chai";
import { LeaderHarness } from "./leaderHarness.js";

const LIFE = { name: "a", started_at_ms: 5 };
const ID = "a@5";

describe("a leader takes an upstream's notice of leaving from whoever heard it", () => {
    const getStatus = (stand: LeaderHarness, id = ID): string | undefined => stand.state.getUpstream(id)?.status;

    it("it is final for that life, and later heartbeats cost no entry of the log", async () => {
        const stand = new LeaderHarness();
        await stand.registerIncarnation(LIFE);
        expect(await stand.upstreams.recordLeavingNotice(ID, "entry-1")).to.equal(true);
        const index = stand.state.lastChangeIndex;
        await stand.registerIncarnation(LIFE);
        await stand.registerIncarnation(LIFE);
        expect([getStatus(stand), stand.state.lastChangeIndex]).to.deep.equal(["leaving", index]);
        expect(await stand.upstreams.recordLeavingNotice(ID, "entry-2")).to.equal(true);
        expect(stand.state.lastChangeIndex).to.equal(index);
    });

    it("its next life is used, and a notice of the former one changes nothing", async () => {
        const stand = new LeaderHarness();
        await stand.registerIncarnation(LIFE);
        await stand.upstreams.recordLeavingNotice(ID, "entry-1");
        await stand.registerIncarnation({ ...LIFE, started_at_ms: 6 });
        expect(await stand.upstreams.recordLeavingNotice(ID, "entry-2")).to.equal(true);
        expect([getStatus(stand), getStatus(stand, "a@6")]).to.deep.equal([undefined, "ready"]);
    });

    it("without leadership nothing is taken, so that the entry tells the next leader", async () => {
        const stand = new LeaderHarness();
        await stand.registerIncarnation(LIFE);
        stand.isLeading = false;
        expect(await stand.upstreams.recordLeavingNotice(ID, "entry-1")).to.equal(false);
        expect(getStatus(stand)).to.equal("ready");
    });

    it("one that was taken for lost has answered: it leaves", async () => {
        const stand = new LeaderHarness();
        await stand.registerIncarnation(LIFE);
        stand.upstreams.markLost(stand.state.getUpstream(ID)!, "silent");
        await stand.upstreams.recordLeavingNotice(ID, "entry-1");
        expect(getStatus(stand)).to.equal("leaving");
    });
});
