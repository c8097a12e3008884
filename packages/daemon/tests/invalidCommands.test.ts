import type { FleetCommand, UpstreamFacts } from "@crankfork/schemas";
import { expect } from "chai";
import { watchTaskFailures } from "../src/process/taskFailures.js";
import { LeaderHarness } from "./leaderHarness.js";
import { SingleReplica } from "./singleReplica.js";

const facts: UpstreamFacts = { id: "u", service: "s", address: "a", failure_domain: "d", slots: 1 };

const heartbeatRows: readonly {
    readonly title: string;
    readonly over: Partial<UpstreamFacts>;
    readonly field: string;
}[] = [
    { title: "slots of 1e300", over: { slots: 1e300 }, field: "facts.slots" },
    { title: "slots of 2^53", over: { slots: 2 ** 53 }, field: "facts.slots" },
    { title: "half a slot", over: { slots: 0.5 }, field: "facts.slots" },
    { title: "layers below 0", over: { held: { first: -1, end: 4 } }, field: "facts.held.first" },
    {
        title: "a start of 1e300",
        over: { life: { name: "u", started_at_ms: 1e300 } },
        field: "facts.life.started_at_ms",
    },
];

describe("a heartbeat that the state refuses is answered and costs no upstream its address", () => {
    for (const { title, over, field } of heartbeatRows) {
        it(title, async () => {
            const { upstreams, proposals, state } = new LeaderHarness();
            await upstreams.registerUpstream({ facts: { ...facts, id: "sound" }, status: "ready", sequence: 1 });
            const result = await upstreams.registerUpstream({
                facts: { ...facts, ...over },
                status: "ready",
                sequence: 1,
            });
            expect(result).to.include({ kind: "invalid", field });
            expect(proposals).to.have.length(1);
            expect(state.getUpstream("sound")?.status).to.equal("ready");
        });
    }
});

describe("an invalid command does not end a replica", () => {
    let replica: SingleReplica;

    beforeEach(async () => {
        replica = await SingleReplica.open(100);
    });

    afterEach(async () => {
        await replica.close();
    });

    const putSound: FleetCommand = { kind: "put-upstream", facts, status: "ready" };
    const putInvalid: FleetCommand = { kind: "put-upstream", facts: { ...facts, slots: 1e300 }, status: "ready" };

    it("proposed: it is refused by field and not appended", async () => {
        const { host } = replica;
        const { lastIndex } = host.replica.getStatus();
        expect(await host.propose(putInvalid)).to.include({ kind: "invalid", field: "facts.slots" });
        expect(host.replica.getStatus().lastIndex).to.equal(lastIndex);
    });

    it("in the log: it is reported by index and field, and the replica leads again after a restart", async () => {
        const { host } = replica;
        const results = await Promise.all([host.replica.propose(putInvalid), host.propose(putSound)]);
        expect(results.map(({ kind }) => kind)).to.deep.equal(["applied", "applied"]);
        await replica.restart();
        expect(replica.host.state.getUpstream("u")).to.deep.equal({ ...facts, status: "ready" });
        const reported = replica.events.filter(({ kind }) => kind === "command-invalid");
        expect(reported).to.have.length(2);
        expect(reported[0]).to.include({ command: "put-upstream", field: "facts.slots" });
        expect(replica.events.some(({ kind }) => kind === "fault")).to.equal(false);
    });

    it("a listener of the state that throws does not undo the change", async () => {
        const failed = new Set<string>();
        const stopWatch = watchTaskFailures((task) => failed.add(task));
        replica.notify = () => {
            throw new Error("listener");
        };
        expect(await replica.host.propose(putSound)).to.deep.include({ kind: "applied", result: { kind: "taken" } });
        stopWatch();
        expect([...failed]).to.deep.equal(["state-change"]);
        expect(replica.events.map(({ kind }) => kind)).to.not.include("fault");
    });
});
