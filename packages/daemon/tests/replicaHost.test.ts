import { bootstrapSingleVoter, createLogStorage, FleetState, openDiskFolder } from "@crankfork/coordination";
import { expect } from "chai";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { ReplicaHost } from "../src/process/replicaHost.js";
import { watchTaskFailures } from "../src/process/taskFailures.js";

const self = { id: "one.a", address: "one" };

interface Row {
    readonly title: string;
    readonly identity: object;
    readonly hasLog: boolean;
}

/** Files that a crash during the creation of the cluster leaves. */
const rows: readonly Row[] = [
    { title: "nothing but the id", identity: { replica: self.id }, hasLog: false },
    {
        title: "the log without the cluster, as an earlier version wrote it",
        identity: { replica: self.id },
        hasLog: true,
    },
    {
        title: "the cluster without the log",
        identity: { replica: self.id, cluster: "c", founders: [self] },
        hasLog: false,
    },
    {
        title: "the cluster and the log, before the founders were removed",
        identity: { replica: self.id, cluster: "c", founders: [self] },
        hasLog: true,
    },
];

describe("a crash while a cluster is created leaves a replica that can lead it", () => {
    for (const { title, identity, hasLog } of rows) {
        it(title, async () => {
            const path = await mkdtemp(join(tmpdir(), "replica-host-"));
            const folder = await openDiskFolder(path);
            await folder.replace("identity.json", Buffer.from(JSON.stringify(identity)));
            if (hasLog) {
                await bootstrapSingleVoter(createLogStorage(folder), self);
            }
            const host = await ReplicaHost.start<FleetState, never>({
                instance: "one",
                folder: path,
                address: self.address,
                heartbeatMs: 10,
                minElectionTimeoutMs: 40,
                snapshotThreshold: 5,
                createState: () => new FleetState(),
                stampCommand: (command) => command,
                random: Math.random,
                send: () => undefined,
                record: () => undefined,
                handleStateChange: () => undefined,
            });
            if (host.cluster === undefined) {
                await host.createCluster();
            }
            while (!host.replica.hasLeaderLease()) {
                await new Promise((resolve) => setTimeout(resolve, 5));
            }
            expect(host.replica.getStatus().replicas.voters).to.deep.equal([self]);
            host.stop();
            await host.awaitWritten();
            await rm(path, { recursive: true });
        });
    }
});

describe("listeners that fail", () => {
    it("do not keep a replica from leading and applying", async () => {
        const path = await mkdtemp(join(tmpdir(), "replica-host-"));
        const failed = new Set<string>();
        const stopWatch = watchTaskFailures((task) => failed.add(task));
        const fail = (): never => {
            throw new Error("injected");
        };
        const applied: unknown[] = [];
        const state = {
            parse: (command: unknown) => ({ kind: "valid" as const, command }),
            apply: (command: unknown) => applied.push(command),
            getState: () => [],
            restore: () => 0,
        };
        const host = await ReplicaHost.start<typeof state, string>({
            instance: "one",
            folder: path,
            address: self.address,
            heartbeatMs: 10,
            minElectionTimeoutMs: 40,
            snapshotThreshold: 5,
            createState: () => state,
            stampCommand: (command) => command,
            random: Math.random,
            send: () => undefined,
            record: fail,
            handleStateChange: fail,
        });
        await host.createCluster();
        while (!host.replica.hasLeaderLease()) {
            await new Promise((resolve) => setTimeout(resolve, 5));
        }
        expect(await host.propose("x")).to.have.property("kind", "applied");
        expect(applied).to.deep.equal(["x"]);
        expect([...failed].sort()).to.deep.equal(["replica-event", "state-change"]);
        host.stop();
        await host.awaitWritten();
        stopWatch();
        await rm(path, { recursive: true });
    });
});
