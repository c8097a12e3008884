/**
 * An entry's way to the voters: it asks the leader again and again for what it lacks. Each answer renews a lease on
 * the configuration, counted from the moment the question left (Gray and Cheriton, "Leases", 1989).
 */
import { type ReplicaAddress, type SynchroniseParameters, synchroniseResultSchema } from "@crankfork/schemas";
import type { SynchronisedState } from "@crankfork/schemas";
import type * as z from "zod";
import type { PeerClient } from "../../connection/peerClient.js";
import type { DocumentOrigin } from "../../version/documentInForce.js";
import type { EventLog } from "../eventLog.js";
import { formatAgeMs } from "../formatAgeMs.js";
import { waitMs } from "../waitMs.js";
import { DocumentLoader } from "./documentLoader.js";

/** What the link needs from the process. */
export interface LeaderSyncOptions {
    readonly peers: PeerClient;
    readonly log: EventLog;
    readonly getNowMs: () => number;
    /** When the machine last woke; minus infinity where it never slept. */
    readonly getWokeMs: () => number;
    /** Peers' addresses of instances that may be voters. */
    readonly getSeeds: () => readonly string[];
    /** This entry. */
    readonly instance: string;
    readonly createParameters: () => SynchroniseParameters;
    /** Takes the upstreams that failed since the last call. */
    readonly takeSuspects: () => readonly string[];
    readonly handleState: (state: SynchronisedState) => void;
    /** Version of the document in force here; undefined before the first. */
    readonly getAppliedVersion: () => number | undefined;
    /** Takes a document that is newer than the one in force. */
    readonly handleDocument: (content: unknown, origin: DocumentOrigin) => void;
    /** A number from 0 up to 1. */
    readonly random: () => number;
}

/** Longer than a leader holds a question, and short enough to ask another within the time to apply a change. */
const REQUEST_TIMEOUT_MS = 1_200;
/** Before a leader that was named is asked, or another is looked for. */
const RETRY_MS = 60;
/** Voters that are asked at once for a leader: of five, two may be away, so that one answers. */
const PARALLEL_PROBES = 3;
/**
 * Between two rounds of such questions, whether or not all have been answered; with many entries more, so that what voters get while
 * none leads does not grow with them.
 */
const MIN_PROBE_ROUND_MS = 150;
const PROBE_ROUND_MS_PER_ENTRY = 0.75;
/** Requests that fail together are told together. */
const SUSPECT_BATCH_MS = 20;
/** The number of entries is taken as the highest of this time, so that a new leader's count is no lower. */
const ENTRY_COUNT_WINDOW_MS = 15_000;

/** What an answer is counted from. */
interface RequestContext {
    readonly sentMs: number;
    readonly appliedVersion: number | undefined;
}

/** The leader that confirmed what is in force at an entry. */
export interface Confirmation {
    readonly peer: string;
    readonly term?: number;
    readonly commit_index?: number;
}

type SynchroniseAnswer = z.infer<typeof synchroniseResultSchema>;

/** Keeps an entry up to date. */
export class LeaderSync {
    private voters: readonly string[] = [];
    private leader: string | undefined;
    /** A voter that another one named as the leader. */
    private leaderHint: string | undefined;
    private nextVoter = 0;
    /** Voters whose answer to a question is awaited. */
    private readonly pendingVoters = new Set<string>();
    private isStopped = false;
    private isConnected = false;
    private confirmedMs = Number.NEGATIVE_INFINITY;
    /** When the question left to which a leader answered with the newest version that was wanted. */
    private answeredSentMs = Number.NEGATIVE_INFINITY;
    private readonly documents: DocumentLoader;
    private lastAnswer: Confirmation | undefined;
    private lastConfirmation: Confirmation | undefined;
    /** Since when a version that is newer than the one in force here has been committed, as far as is known. */
    private outdatedSinceMs: number | undefined;
    /** When the leader applied the newest document, by the clock here: not after its answer came. */
    private appliedAtLeaderMs: number | undefined;
    private reportTimer: NodeJS.Timeout | undefined;
    private entryCounts: { readonly atMs: number; readonly entries: number; }[] = [];

    /**
     * @param options - peers, seeds, and what to do with the state
     */
    constructor(private readonly options: LeaderSyncOptions) {
        this.documents = new DocumentLoader({
            ...options,
            handleDocument: (content, peer) => {
                options.handleDocument(content, { peer, committedMs: this.committedMs });
                this.outdatedSinceMs = this.appliedAtLeaderMs;
                this.renewLeaseIfCurrent();
            },
        });
    }

    /** The leader's answer that confirmed last what is in force here; undefined before the first. */
    get confirmation(): Confirmation | undefined {
        return this.lastConfirmation;
    }

    /** Time since a leader committed the first version that is newer than the one in force here; undefined where none is known. */
    get outdatedMs(): number | undefined {
        return this.outdatedSinceMs === undefined ? undefined : this.options.getNowMs() - this.outdatedSinceMs;
    }

    /** Time since a leader applied the newest document it told of, in milliseconds. */
    private get committedMs(): number | undefined {
        return this.appliedAtLeaderMs === undefined ? undefined : this.options.getNowMs() - this.appliedAtLeaderMs;
    }

    /** Starts to ask. */
    start(): void {
        void this.run();
    }

    /** Stops. */
    stop(): void {
        this.isStopped = true;
        this.documents.stop();
        clearTimeout(this.reportTimer);
    }

    /** Tells the leader soon of upstreams that failed; without a leader they are told by a later call. */
    reportSuspects(): void {
        this.reportTimer ??= setTimeout(() => {
            this.reportTimer = undefined;
            void this.sendSuspects();
        }, SUSPECT_BATCH_MS);
    }

    private async sendSuspects(): Promise<void> {
        const { peers, instance, takeSuspects, log } = this.options;
        if (this.leader === undefined) {
            return;
        }
        const suspects = takeSuspects();
        try {
            await peers.ask(this.leader, "suspect", { instance, suspects }, REQUEST_TIMEOUT_MS);
        }
        catch (error) {
            const reason = error instanceof Error ? error.message : String(error);
            log.record("warn", "suspects-not-reported", { peer: this.leader, suspects: suspects.join(","), reason });
        }
    }

    /**
     * Asks the leader something besides.
     * @param method - the question
     * @param parameters - its parameters
     * @returns the result
     * @throws Error where no leader is known, or it does not answer
     */
    async askLeader(method: string, parameters: object): Promise<unknown> {
        if (this.leader === undefined) {
            throw new Error("no leader is known");
        }
        return await this.options.peers.ask(this.leader, method, parameters, REQUEST_TIMEOUT_MS);
    }

    /** How long ago a confirmed leader was asked whose newest document is in force here, in milliseconds. */
    get confirmationAgeMs(): number {
        // A question that left before the machine slept was answered for a time that nobody can tell.
        return this.confirmedMs < this.options.getWokeMs()
            ? Number.POSITIVE_INFINITY
            : this.options.getNowMs() - this.confirmedMs;
    }

    /**
     * Counts the entries that share budgets.
     * @returns the highest count that was told lately; at least 1
     */
    countEntries(): number {
        return this.entryCounts.reduce((most, one) => Math.max(most, one.entries), 1);
    }

    private async run(): Promise<void> {
        while (!this.isStopped) {
            if (this.leader === undefined) {
                await this.discoverLeader();
            }
            else if (!await this.pollLeader(this.leader)) {
                await waitMs(RETRY_MS);
            }
        }
    }

    /** Asks the leader, which may wait with its answer. */
    private async pollLeader(address: string): Promise<boolean> {
        const asked = this.createRequestContext();
        try {
            const result = await this.synchronise(address, true);
            if (result.kind === "not-leader") {
                this.leader = undefined;
                this.leaderHint = getOtherAddress(result.leader, address);
                return false;
            }
            this.applyState(address, asked, result);
            return true;
        }
        catch (error) {
            this.leader = undefined;
            this.recordConnectionLost(address, error);
            return false;
        }
    }

    /** Asks several voters at once: one after another, those that say nothing would take their time-outs from the time to apply. */
    private async discoverLeader(): Promise<void> {
        const asked = this.chooseProbeTargets().map((address) => this.probeVoter(address));
        const roundOver = waitMs(Math.max(MIN_PROBE_ROUND_MS, this.countEntries() * PROBE_ROUND_MS_PER_ENTRY));
        await Promise.race([Promise.any(asked).catch(() => roundOver), roundOver]);
        if (this.leader === undefined && this.leaderHint !== undefined) {
            // Two voters may name each other for a moment.
            await waitMs(RETRY_MS);
        }
    }

    /**
     * Resolves where the voter leads, or names one that is not asked yet. One that is named may be gone: it is asked beside others, and
     * counts as the leader once it says so itself.
     */
    private async probeVoter(address: string): Promise<void> {
        const asked = this.createRequestContext();
        const result = await this.synchronise(address, false);
        if (this.leader !== undefined) {
            return;
        }
        if (result.kind === "state") {
            this.applyState(address, asked, result);
            return;
        }
        const hint = getOtherAddress(result.leader, address);
        if (hint === undefined || this.pendingVoters.has(hint)) {
            throw new Error(`${address} knows no leader that is not asked already`);
        }
        this.leaderHint = hint;
    }

    /** Voters in turn, without those that have not answered yet: another question would only wait behind the first. */
    private chooseProbeTargets(): readonly string[] {
        const known = [...new Set([...this.voters, ...this.options.getSeeds()])];
        const hinted = this.leaderHint === undefined || this.pendingVoters.has(this.leaderHint)
            ? []
            : [this.leaderHint];
        const addresses = known.filter((address) => !this.pendingVoters.has(address) && address !== this.leaderHint);
        const count = Math.min(PARALLEL_PROBES - hinted.length, addresses.length);
        const first = this.nextVoter;
        this.nextVoter += count;
        this.leaderHint = undefined;
        const others = Array.from(
            { length: count },
            (_unused, number) => addresses[(first + number) % addresses.length],
        );
        return [...hinted, ...others.filter((address) => address !== undefined)];
    }

    private async synchronise(address: string, may_wait: boolean): Promise<SynchroniseAnswer> {
        const { peers, createParameters } = this.options;
        this.pendingVoters.add(address);
        try {
            const raw = await peers.ask(
                address,
                "synchronise",
                { ...createParameters(), may_wait },
                REQUEST_TIMEOUT_MS,
            );
            return synchroniseResultSchema.parse(raw);
        }
        finally {
            this.pendingVoters.delete(address);
        }
    }

    private createRequestContext(): RequestContext {
        return { sentMs: this.options.getNowMs(), appliedVersion: this.options.getAppliedVersion() };
    }

    private applyState(address: string, { sentMs, appliedVersion }: RequestContext, state: SynchronisedState): void {
        const { log, handleState, getNowMs, getAppliedVersion } = this.options;
        if (!this.isConnected || this.leader !== address) {
            log.record("info", "voters-reached", {
                peer: address,
                index: state.index,
                age_ms: formatAgeMs(this.confirmationAgeMs),
            });
        }
        this.isConnected = true;
        this.leader = address;
        this.voters = state.voters;
        this.entryCounts = this.entryCounts.filter((one) => getNowMs() - one.atMs < ENTRY_COUNT_WINDOW_MS);
        this.entryCounts.push({ atMs: getNowMs(), entries: state.entries });
        handleState(state);
        this.answeredSentMs = Math.max(this.answeredSentMs, sentMs);
        this.lastAnswer = { peer: address, ...state.confirmed_by };
        if (state.document_age_ms !== undefined) {
            this.appliedAtLeaderMs = getNowMs() - state.document_age_ms;
        }
        // A document that came meanwhile leaves only what is newer than that one to wait for.
        const behindMs = appliedVersion === getAppliedVersion() ? state.behind_ms : state.document_age_ms;
        if (behindMs !== undefined) {
            // Counted from the question, which is not later than the answer was made.
            this.outdatedSinceMs = Math.min(this.outdatedSinceMs ?? Number.POSITIVE_INFINITY, sentMs - behindMs);
        }
        this.documents.setTarget(state.document_version, address, state.voters);
        this.renewLeaseIfCurrent();
    }

    /**
     * The lease is on the newest document: it is renewed once that is in force here. The document comes by itself, so that
     * an answer which renews the lease is small, and upstreams, loads and suspects are told meanwhile.
     */
    private renewLeaseIfCurrent(): void {
        if (this.documents.isUpToDate()) {
            this.confirmedMs = Math.max(this.confirmedMs, this.answeredSentMs);
            this.lastConfirmation = this.lastAnswer;
            this.outdatedSinceMs = undefined;
        }
    }

    private recordConnectionLost(address: string, error: unknown): void {
        if (this.isConnected) {
            const reason = error instanceof Error ? error.message : String(error);
            this.options.log.record("warn", "voters-lost", {
                peer: address,
                age_ms: formatAgeMs(this.confirmationAgeMs),
                reason,
            });
        }
        this.isConnected = false;
    }
}

/** A voter that names itself does not lead yet. */
function getOtherAddress(leader: ReplicaAddress | undefined, asked: string): string | undefined {
    return leader?.address === asked ? undefined : leader?.address;
}
