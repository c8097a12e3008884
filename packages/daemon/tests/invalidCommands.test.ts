import { FleetState, type ReplicaEvent } from "@crankfork/coordination";
import type { FleetCommand, UpstreamFacts } from "@crankfork/schemas";
import { expect } from "chai";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { ReplicaHost } from "../src/process/replicaHost.js";
import { watchTaskFailures } from "../src/process/taskFailures.js";
import { LeaderHarness } from "./leaderHarness.js";

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
    let path: string;
    let events: ReplicaEvent[];
    let host: ReplicaHost<FleetState, FleetCommand>;
    let notify: () => void;

    beforeEach(async () => {
        path = await mkdtemp(join(tmpdir(), "invalid-commands-"));
        events = [];
        notify = () => undefined;
        await start();
        await host.createCluster();
        await awaitLease();
    });

    afterEach(async () => {
        await stop();
        await rm(path, { recursive: true });
    });

    async function start(): Promise<void> {
        host = await ReplicaHost.start<FleetState, FleetCommand>({
            instance: "one",
            folder: path,
            address: "one",
            heartbeatMs: 10,
            minElectionTimeoutMs: 40,
            snapshotThreshold: 100,
            createState: () => new FleetState(),
            stampCommand: (command) => command,
            random: Math.random,
            send: () => undefined,
            record: (event) => events.push(event),
            handleStateChange: () => {
                notify();
            },
        });
    }

    async function stop(): Promise<void> {
        host.stop();
        await host.awaitWritten();
    }

    async function awaitLease(): Promise<void> {
        while (!host.replica.hasLeaderLease()) {
            await new Promise((resolve) => setTimeout(resolve, 5));
        }
    }

    const putSound: FleetCommand = { kind: "put-upstream", facts, status: "ready" };
    const putInvalid: FleetCommand = { kind: "put-upstream", facts: { ...facts, slots: 1e300 }, status: "ready" };

    it("proposed: it is refused by field and not appended", async () => {
        const { lastIndex } = host.replica.getStatus();
        expect(await host.propose(putInvalid)).to.include({ kind: "invalid", field: "facts.slots" });
        expect(host.replica.getStatus().lastIndex).to.equal(lastIndex);
    });

    it("in the log: it is reported by index and field, and the replica leads again after a restart", async () => {
        const results = await Promise.all([host.replica.propose(putInvalid), host.propose(putSound)]);
        expect(results.map(({ kind }) => kind)).to.deep.equal(["applied", "applied"]);
        await stop();
        await start();
        await awaitLease();
        expect(host.state.getUpstream("u")).to.deep.equal({ ...facts, status: "ready" });
        const reported = events.filter(({ kind }) => kind === "command-invalid");
        expect(reported).to.have.length(2);
        expect(reported[0]).to.include({ command: "put-upstream", field: "facts.slots" });
        expect(events.some(({ kind }) => kind === "fault")).to.equal(false);
    });

    it("a listener of the state that throws does not undo the change", async () => {
        const failed = new Set<string>();
        const stopWatch = watchTaskFailures((task) => failed.add(task));
        notify = () => {
            throw new Error("listener");
        };
        expect(await host.propose(putSound)).to.deep.include({ kind: "applied", result: { kind: "taken" } });
        stopWatch();
        expect([...failed]).to.deep.equal(["state-change"]);
        expect(events.map(({ kind }) => kind)).to.not.include("fault");
    });
});
