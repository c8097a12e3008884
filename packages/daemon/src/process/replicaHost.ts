/**
 * The replica of an instance with a disk: its identity, its files, and the state that it leads to.
 */
import {
    CorruptLogError,
    createAnswerOfFormer,
    createFirstLog,
    createFirstReplica,
    createLogStorage,
    type Folder,
    type LogStorage,
    openDiskFolder,
    type ProposalResult,
    Replica,
    type ReplicaClock,
    type ReplicaEvent,
    type ReplicatedState,
} from "@crankfork/coordination";
import {
    type Command as ClaimCommand,
    type ReplicaAddress,
    replicaAddressSchema,
    type ReplicaEnvelope,
    type ReplicaMessage,
} from "@crankfork/schemas";
import { ulid } from "ulid";
import * as z from "zod";
import { ReplyCollector } from "../connection/replyCollector.js";

const IDENTITY_FILE = "identity.json";
/** A disk that refused a write is tried again after this time; a full or stalled one often works again in seconds. */
const RESTART_MS = 500;

const identitySchema = z.object({
    replica: z.string(),
    cluster: z.string().optional(),
    /** The replicas that found the log together; kept until the beginning of the log is on disk. */
    founders: z.array(replicaAddressSchema).optional(),
});
type Identity = z.infer<typeof identitySchema>;

/** A state that commands lead to. */
export interface ReplicaState {
    readonly apply: (command: unknown, index: number) => unknown;
    readonly getState: () => unknown;
    readonly restore: (state: unknown) => void;
}

/** Replicas that found a log together, and the name of their cluster. */
export interface Founding {
    readonly cluster: string;
    readonly founders: readonly ReplicaAddress[];
}

/** What a replica host is made with. */
export interface ReplicaHostOptions<State extends ReplicaState, Command> {
    readonly instance: string;
    readonly folder: string;
    readonly address: string;
    readonly heartbeatMs: number;
    readonly electionMs: number;
    /** Entries of the log after which a snapshot replaces them. */
    readonly snapshotEvery: number;
    /** Creates the state before the first command. */
    readonly createState: () => State;
    /** Adds to a command what must be the same on all replicas, such as the leader's time. */
    readonly stampCommand: (command: Command) => unknown;
    /** Set where this replica founds the log with others at its first start; it must be one of them. */
    readonly founding?: Founding | undefined;
    readonly random: () => number;
    readonly send: (to: ReplicaAddress, envelope: ReplicaEnvelope) => void;
    readonly record: (event: ReplicaEvent) => void;
    /** Notices time asleep; the runtime's monotonic clock where left out. */
    readonly clock?: ReplicaClock;
    /** Called after a command or a snapshot changed the state. */
    readonly handleState: (state: State) => void;
}

/** A replica with its identity and state. */
export class ReplicaHost<State extends ReplicaState = ReplicatedState, Command = ClaimCommand> {
    private currentState: State;
    private current: Replica | undefined;
    private restartTimer: NodeJS.Timeout | undefined;
    private isStopped = false;
    private readonly openedMs = performance.now();
    private readonly answers = new ReplyCollector<ReplicaEnvelope>();

    private constructor(
        private readonly options: ReplicaHostOptions<State, Command>,
        private readonly folder: Folder,
        private identity: Identity,
    ) {
        this.currentState = options.createState();
    }

    /**
     * Opens the folder and starts the replica. A replica without a cluster waits to be found or added.
     * @param options - who it is, where it keeps its files, and the process around it
     * @returns the running host
     */
    static async start<State extends ReplicaState, Command>(
        options: ReplicaHostOptions<State, Command>,
    ): Promise<ReplicaHost<State, Command>> {
        const folder = await openDiskFolder(options.folder);
        const host = new ReplicaHost(options, folder, await readIdentity(folder, options));
        await host.startReplica();
        return host;
    }

    /** The state that the log led to so far. */
    get state(): State {
        return this.currentState;
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
     * Proposes a command; only the leader takes it.
     * @param command - the command
     * @returns how the proposal ended
     */
    propose(command: Command): Promise<ProposalResult> {
        return this.replica.propose(this.options.stampCommand(command));
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
            return this.answerForFormer(envelope);
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

    /** Stops the replica for good. */
    stop(): void {
        this.isStopped = true;
        clearTimeout(this.restartTimer);
        this.current?.stop();
    }

    /**
     * Waits for the write that a stop came in the middle of. A process that is killed has none; one that goes on must not
     * open the folder again before.
     * @returns resolves once the files are left alone
     */
    awaitWritten(): Promise<void> {
        return this.replica.awaitWritten();
    }

    /** The replica that had this address before has lost its disk; a candidate needs to know that it leads no more. */
    private answerForFormer({ cluster, from, to, message }: ReplicaEnvelope): readonly ReplicaEnvelope[] {
        if (message.kind !== "pre-vote") {
            return [];
        }
        const answer = createAnswerOfFormer(message, performance.now() - this.openedMs);
        return [{ cluster, from: { id: to, address: this.options.address }, to: from.id, message: answer }];
    }

    private async startReplica(): Promise<void> {
        const { options } = this;
        const storage = createLogStorage(this.folder);
        await this.writeFounding(storage);
        const state = options.createState();
        const replica = await Replica.start({
            self: this.self,
            timing: { heartbeatMs: options.heartbeatMs, electionMs: options.electionMs },
            storage,
            snapshotEvery: options.snapshotEvery,
            functions: {
                send: (to, message) => {
                    this.send(to, message);
                },
                random: options.random,
                applyCommand: (command, index) => {
                    const result = state.apply(command, index);
                    options.handleState(state);
                    return result;
                },
                getState: () => state.getState(),
                restoreState: (raw) => {
                    state.restore(raw);
                    options.handleState(state);
                },
                record: (event) => {
                    this.handleEvent(event);
                },
                clock: options.clock,
            },
        });
        this.currentState = state;
        this.current = replica;
    }

    /** A crash may come between the identity and the beginning of the log, so each start looks at both. */
    private async writeFounding(storage: LogStorage): Promise<void> {
        const { founders, ...identity } = this.identity;
        if (founders === undefined) {
            return;
        }
        await createFirstLog(storage, founders);
        await this.writeIdentity(identity);
    }

    private handleEvent(event: ReplicaEvent): void {
        this.options.record(event);
        // A log that lost something must not vote again; see CorruptLogError.
        if (event.kind === "fault" && !(event.error instanceof CorruptLogError)) {
            this.restartSoon();
        }
    }

    /** The replica stopped itself because its disk refused a write; what it acknowledged is on the disk. */
    private restartSoon(): void {
        clearTimeout(this.restartTimer);
        this.restartTimer = setTimeout(() => {
            void this.restart();
        }, RESTART_MS);
    }

    private async restart(): Promise<void> {
        if (this.isStopped) {
            return;
        }
        try {
            await this.startReplica();
        }
        catch (error) {
            this.handleEvent({ kind: "fault", error });
        }
    }

    private send(to: ReplicaAddress, message: ReplicaMessage): void {
        const { cluster } = this.identity;
        if (cluster === undefined) {
            return;
        }
        const envelope = { cluster, from: this.self, to: to.id, message };
        if (!this.answers.tryCollect(to.id, envelope)) {
            this.options.send(to, envelope);
        }
    }

    private async writeIdentity(identity: Identity): Promise<void> {
        await this.folder.replace(IDENTITY_FILE, Buffer.from(JSON.stringify(identity)));
        this.identity = identity;
    }
}

/** An empty folder gets a new id, so that a replica which lost its disk can't pass for the one it was. */
async function readIdentity(
    folder: Folder,
    options: { readonly instance: string; readonly address: string; readonly founding?: Founding | undefined; },
): Promise<Identity> {
    const content = await folder.read(IDENTITY_FILE);
    if (content !== undefined) {
        return identitySchema.parse(JSON.parse(content.toString("utf8")));
    }
    const identity = createIdentity(options.instance, options.address, options.founding);
    await folder.replace(IDENTITY_FILE, Buffer.from(JSON.stringify(identity)));
    return identity;
}

function createIdentity(instance: string, address: string, founding: Founding | undefined): Identity {
    const founder = founding?.founders.find((one) => one.address === address);
    if (founding === undefined || founder === undefined) {
        return { replica: `${instance}.${ulid().toLowerCase()}` };
    }
    return { replica: founder.id, cluster: founding.cluster, founders: [...founding.founders] };
}
