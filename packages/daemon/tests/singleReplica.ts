/**
 * A replica with files that is the only voter of its cluster.
 */
import { FleetState, type ReplicaEvent } from "@crankfork/coordination";
import type { FleetCommand } from "@crankfork/schemas";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { ReplicaHost } from "../src/process/replicaHost.js";

const POLL_MS = 5;

/** A replica that can be restarted. */
export class SingleReplica {
    readonly events: ReplicaEvent[] = [];
    /** Called after each change of the state. */
    notify: () => void = () => undefined;

    private constructor(
        private readonly path: string,
        private readonly snapshotThreshold: number,
        public host: ReplicaHost<FleetState, FleetCommand>,
    ) {}

    static async open(snapshotThreshold: number): Promise<SingleReplica> {
        const path = await mkdtemp(join(tmpdir(), "single-replica-"));
        const opened: { replica?: SingleReplica; } = {};
        const host = await startHost(path, snapshotThreshold, () => opened.replica);
        const replica = new SingleReplica(path, snapshotThreshold, host);
        opened.replica = replica;
        await host.createCluster();
        await replica.awaitLease();
        return replica;
    }

    async restart(): Promise<void> {
        await this.stop();
        this.host = await startHost(this.path, this.snapshotThreshold, () => this);
        await this.awaitLease();
    }

    async close(): Promise<void> {
        await this.stop();
        await rm(this.path, { recursive: true });
    }

    private async stop(): Promise<void> {
        this.host.stop();
        await this.host.awaitWritten();
    }

    private async awaitLease(): Promise<void> {
        while (!this.host.replica.hasLeaderLease()) {
            await new Promise((resolve) => setTimeout(resolve, POLL_MS));
        }
    }
}

function startHost(
    folder: string,
    snapshotThreshold: number,
    getReplica: () => SingleReplica | undefined,
): Promise<ReplicaHost<FleetState, FleetCommand>> {
    return ReplicaHost.start<FleetState, FleetCommand>({
        instance: "one",
        folder,
        address: "one",
        heartbeatMs: 10,
        minElectionTimeoutMs: 40,
        snapshotThreshold,
        createState: () => new FleetState(),
        stampCommand: (command) => command,
        random: Math.random,
        send: () => undefined,
        record: (event) => getReplica()?.events.push(event),
        handleStateChange: () => {
            getReplica()?.notify();
        },
    });
}
