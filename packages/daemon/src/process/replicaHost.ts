/**
 * Hosts the replica of an instance with a disk: its identity, its files and its state machine.
 */
import {
    bootstrapLog,
    CorruptLogError,
    createAnswerForReplacedReplica,
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
    type InvalidCommand,
    type ParsedCommand,
    type ReplicaAddress,
    replicaAddressSchema,
    type ReplicaEnvelope,
    type ReplicaMessage,
} from "@crankfork/schemas";
import { ulid } from "ulid";
import * as z from "zod";
import { ReplyCollector } from "../connection/replyCollector.js";
import { startTask, startTimer } from "./startTask.js";

const IDENTITY_FILE = "identity.json";
/** Delay before a replica restarts after a refused write; a full or stalled disk often recovers within seconds. */
const RESTART_DELAY_MS = 500;
/** Length of a command's kind in events. */
const MAX_LOGGED_KIND = 40;

const identitySchema = z.object({
    replica: z.string(),
    cluster: z.string().optional(),
    /** The replicas that bootstrap the log together; kept until the beginning of the log is on disk. */
    founders: z.array(replicaAddressSchema).optional(),
});
type Identity = z.infer<typeof identitySchema>;

/** The state machine that the log drives. */
export interface ReplicaState {
    /** Checks a command as `apply` does. */
    readonly parse: (command: unknown) => ParsedCommand<unknown>;
    /** Applies a committed command; an {@link InvalidCommand} is returned, and has no effect. */
    readonly apply: (command: unknown, index: number) => unknown;
    readonly getState: () => unknown;
    /** Replaces the state with that at a log index; returns the number of records that cannot be parsed and were left out. */
    readonly restore: (state: unknown, index: number) => number;
}

/** The initial replicas of a log, and the name of their cluster. */
export interface Founding {
    readonly cluster: string;
    readonly founders: readonly ReplicaAddress[];
}

/** Options of {@link ReplicaHost}. */
export interface ReplicaHostOptions<State extends ReplicaState, Command> {
    readonly instance: string;
    readonly folder: string;
    readonly address: string;
    readonly heartbeatMs: number;
    readonly minElectionTimeoutMs: number;
    /** Number of log entries between snapshots. */
    readonly snapshotThreshold: number;
    /** Creates the state before the first command. */
    readonly createState: () => State;
    /** Adds values that must be identical on all replicas to a command, such as the leader's time. */
    readonly stampCommand: (command: Command) => unknown;
    /** Set if this replica bootstraps the log together with others at its first start; it must be one of them. */
    readonly founding?: Founding | undefined;
    readonly random: () => number;
    readonly send: (to: ReplicaAddress, envelope: ReplicaEnvelope) => void;
    readonly record: (event: ReplicaEvent) => void;
    /** Detects sleep; defaults to the runtime's monotonic clock. */
    readonly clock?: ReplicaClock;
    /** Called after a command or a snapshot changed the state. */
    readonly handleStateChange: (state: State) => void;
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
     * Opens the folder and starts the replica. A replica without a cluster waits until it is bootstrapped or added.
     * @param options - identity, files and callbacks
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

    /** The state after all applied commands. */
    get state(): State {
        return this.currentState;
    }

    /** The replica's id and address. */
    get self(): ReplicaAddress {
        return { id: this.identity.replica, address: this.options.address };
    }

    /** The cluster the replica belongs to; undefined before it is bootstrapped or added. */
    get cluster(): string | undefined {
        return this.identity.cluster;
    }

    /** The running replica. */
    get replica(): Replica {
        if (this.current === undefined) {
            throw new Error("replica is not started");
        }
        return this.current;
    }

    /**
     * Proposes a command; only the leader accepts it. An invalid command is not appended to the log.
     * @param command - the command
     * @returns the outcome of the proposal, or what is wrong with the command
     */
    propose(command: Command): Promise<ProposalResult | InvalidCommand> {
        const parsed = this.currentState.parse(this.options.stampCommand(command));
        return parsed.kind === "invalid" ? Promise.resolve(parsed) : this.replica.propose(parsed.command);
    }

    /**
     * Creates a cluster with this replica as its only voter.
     * @throws Error if the replica already belongs to a cluster
     */
    async createCluster(): Promise<void> {
        if (this.identity.cluster !== undefined) {
            throw new Error(`instance already belongs to cluster ${this.identity.cluster}`);
        }
        this.replica.stop();
        await this.awaitWritten();
        // The log is written by the next start if a crash comes first.
        await this.writeIdentity({ ...this.identity, cluster: ulid(), founders: [this.self] });
        await this.startReplica();
    }

    /**
     * Handles a message from another replica. The first message determines the cluster of a replica that has none.
     * @param envelope - the message
     * @returns messages to return in the response
     */
    async receive(envelope: ReplicaEnvelope): Promise<readonly ReplicaEnvelope[]> {
        if (envelope.to !== this.identity.replica) {
            return this.answerForPredecessor(envelope);
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

    /** Stops the replica permanently. */
    stop(): void {
        this.isStopped = true;
        clearTimeout(this.restartTimer);
        this.current?.stop();
    }

    /**
     * Waits for a write that was in progress when the replica stopped. A killed process has none; a process that continues must
     * wait before it opens the folder again.
     * @returns resolves once no more writes are pending
     */
    awaitWritten(): Promise<void> {
        return this.replica.waitForPendingWrites();
    }

    /** The previous replica at this address has lost its disk; a candidate needs to know that it no longer leads. */
    private answerForPredecessor({ cluster, from, to, message }: ReplicaEnvelope): readonly ReplicaEnvelope[] {
        if (message.kind !== "pre-vote") {
            return [];
        }
        const answer = createAnswerForReplacedReplica(message, performance.now() - this.openedMs);
        return [{ cluster, from: { id: to, address: this.options.address }, to: from.id, message: answer }];
    }

    private async startReplica(): Promise<void> {
        const { options } = this;
        const storage = createLogStorage(this.folder);
        await this.writeInitialLog(storage);
        const state = options.createState();
        const replica = await Replica.start({
            self: this.self,
            timing: { heartbeatMs: options.heartbeatMs, minElectionTimeoutMs: options.minElectionTimeoutMs },
            storage,
            snapshotThreshold: options.snapshotThreshold,
            functions: {
                send: (to, message) => {
                    this.send(to, message);
                },
                random: options.random,
                applyCommand: (command, index) => {
                    const result = state.apply(command, index);
                    this.recordInvalidCommand(command, index, result);
                    this.notifyChange(state);
                    return result;
                },
                getState: () => state.getState(),
                restoreState: (raw, index) => {
                    const records = state.restore(raw, index);
                    if (records > 0) {
                        this.handleEvent({ kind: "snapshot-records-dropped", records });
                    }
                    this.notifyChange(state);
                },
                handleEvent: (event) => {
                    this.handleEvent(event);
                },
                clock: options.clock,
            },
        });
        this.currentState = state;
        this.current = replica;
    }

    /** The process may crash between writing the identity and the beginning of the log, so each start checks both. */
    private async writeInitialLog(storage: LogStorage): Promise<void> {
        const { founders, ...identity } = this.identity;
        if (founders === undefined) {
            return;
        }
        await bootstrapLog(storage, founders);
        await this.writeIdentity(identity);
    }

    private recordInvalidCommand(command: unknown, index: number, result: unknown): void {
        if (hasKind(result) && result.kind === "invalid") {
            const { field } = result as InvalidCommand;
            const kind = hasKind(command) && typeof command.kind === "string" ? command.kind : typeof command;
            this.handleEvent({ kind: "command-invalid", index, command: kind.slice(0, MAX_LOGGED_KIND), field });
        }
    }

    /** A listener that fails must not end the replica between two commands. */
    private notifyChange(state: State): void {
        startTask("state-change", () => {
            this.options.handleStateChange(state);
        });
    }

    private handleEvent(event: ReplicaEvent): void {
        startTask("replica-event", () => {
            this.options.record(event);
        });
        // A replica whose log has lost entries must not vote again; see CorruptLogError.
        if (event.kind === "fault" && !(event.error instanceof CorruptLogError)) {
            this.scheduleRestart();
        }
    }

    /** Restarts a replica that stopped itself because a disk write failed; all it has acknowledged is on disk. */
    private scheduleRestart(): void {
        clearTimeout(this.restartTimer);
        this.restartTimer = startTimer("replica-restart", RESTART_DELAY_MS, () => this.restart());
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

function hasKind(value: unknown): value is { readonly kind: unknown; } {
    return typeof value === "object" && value !== null && "kind" in value;
}

/** An empty folder gets a new id, so that a replica that lost its disk is not mistaken for its predecessor. */
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
