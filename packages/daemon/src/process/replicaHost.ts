/**
 * The replica of an instance with a disk: its identity, its files, and the state that it leads to.
 */
import {
    createFirstReplica,
    createLogStorage,
    type Folder,
    openDiskFolder,
    type ProposalResult,
    Replica,
    type ReplicaEvent,
    ReplicatedState,
} from "@crankfork/coordination";
import type { Command, ReplicaAddress, ReplicaEnvelope, ReplicaMessage, StampedCommand } from "@crankfork/schemas";
import { ulid } from "ulid";
import { z } from "zod";
import { AnswerCollector } from "../connection/answerCollector.js";

const IDENTITY_FILE = "identity.json";
const SNAPSHOT_EVERY = 2_000;

const identitySchema = z.object({ replica: z.string(), cluster: z.string().optional() });
type Identity = z.infer<typeof identitySchema>;

/** What a replica host is made with. */
export interface ReplicaHostOptions {
    readonly instance: string;
    readonly folder: string;
    readonly address: string;
    readonly heartbeatMs: number;
    readonly electionMs: number;
    readonly claimRetentionMs: number;
    readonly random: () => number;
    readonly send: (to: ReplicaAddress, envelope: ReplicaEnvelope) => void;
    readonly record: (event: ReplicaEvent) => void;
    /** Called after a command or a snapshot changed the state. */
    readonly handleState: (state: ReplicatedState) => void;
}

/** A replica with its identity and state. */
export class ReplicaHost {
    readonly state = new ReplicatedState();
    private current: Replica | undefined;
    private readonly answers = new AnswerCollector<ReplicaEnvelope>();

    private constructor(
        private readonly options: ReplicaHostOptions,
        private readonly folder: Folder,
        private identity: Identity,
    ) {}

    /**
     * Opens the folder and starts the replica. A replica without a cluster waits to be found or added.
     * @param options - who it is, where it keeps its files, and the process around it
     * @returns the running host
     */
    static async start(options: ReplicaHostOptions): Promise<ReplicaHost> {
        const folder = await openDiskFolder(options.folder);
        const host = new ReplicaHost(options, folder, await readIdentity(folder, options.instance));
        await host.startReplica();
        return host;
    }

    /** The replica's id and address. */
    get self(): ReplicaAddress {
        return { id: this.identity.replica, address: this.options.address };
    }

    /** The cluster it belongs to; undefined before it was found or added. */
    get cluster(): string | undefined {
        return this.identity.cluster;
    }

    /** The running replica. */
    get replica(): Replica {
        if (this.current === undefined) {
            throw new Error("the replica is not started");
        }
        return this.current;
    }

    /**
     * Proposes a command, stamped with this instance's clock and retention; only the leader takes it.
     * @param command - the command
     * @returns how the proposal ended
     */
    propose(command: Command): Promise<ProposalResult> {
        const stamped: StampedCommand = {
            command,
            at_ms: Date.now(),
            claim_retention_ms: this.options.claimRetentionMs,
        };
        return this.replica.propose(stamped);
    }

    /**
     * Founds a cluster with this replica as its only voter.
     * @throws Error where it belongs to one already
     */
    async createCluster(): Promise<void> {
        if (this.identity.cluster !== undefined) {
            throw new Error(`this instance belongs to the cluster ${this.identity.cluster} already`);
        }
        this.replica.stop();
        await createFirstReplica(createLogStorage(this.folder), this.self);
        await this.writeIdentity({ ...this.identity, cluster: ulid() });
        await this.startReplica();
    }

    /**
     * Takes a message of another replica. The first one decides the cluster of a replica that has none.
     * @param envelope - the message
     * @returns messages that answer it at once
     */
    async receive(envelope: ReplicaEnvelope): Promise<readonly ReplicaEnvelope[]> {
        if (envelope.to !== this.identity.replica) {
            return [];
        }
        if (this.identity.cluster === undefined) {
            await this.writeIdentity({ ...this.identity, cluster: envelope.cluster });
        }
        if (this.identity.cluster !== envelope.cluster) {
            return [];
        }
        return this.answers.collect(envelope.from.id, () => {
            this.replica.receive(envelope.from, envelope.message);
        });
    }

    /** Stops the replica. */
    stop(): void {
        this.current?.stop();
    }

    private async startReplica(): Promise<void> {
        const { options, state } = this;
        this.current = await Replica.start({
            self: this.self,
            timing: { heartbeatMs: options.heartbeatMs, electionMs: options.electionMs },
            storage: createLogStorage(this.folder),
            snapshotEvery: SNAPSHOT_EVERY,
            functions: {
                send: (to, message) => {
                    this.send(to, message);
                },
                random: options.random,
                applyCommand: (command) => {
                    const result = state.apply(command);
                    options.handleState(state);
                    return result;
                },
                getState: () => state.getState(),
                restoreState: (raw) => {
                    state.restore(raw);
                    options.handleState(state);
                },
                record: options.record,
            },
        });
    }

    private send(to: ReplicaAddress, message: ReplicaMessage): void {
        const { cluster } = this.identity;
        if (cluster === undefined) {
            return;
        }
        const envelope = { cluster, from: this.self, to: to.id, message };
        if (!this.answers.take(to.id, envelope)) {
            this.options.send(to, envelope);
        }
    }

    private async writeIdentity(identity: Identity): Promise<void> {
        await this.folder.replace(IDENTITY_FILE, Buffer.from(JSON.stringify(identity)));
        this.identity = identity;
    }
}

/** An empty folder gets a new id, so that a replica which lost its disk can't pass for the one it was. */
async function readIdentity(folder: Folder, instance: string): Promise<Identity> {
    const content = await folder.read(IDENTITY_FILE);
    if (content !== undefined) {
        return identitySchema.parse(JSON.parse(content.toString("utf8")));
    }
    const identity: Identity = { replica: `${instance}.${ulid().toLowerCase()}` };
    await folder.replace(IDENTITY_FILE, Buffer.from(JSON.stringify(identity)));
    return identity;
}
