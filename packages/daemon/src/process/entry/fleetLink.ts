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
export interface FleetLinkOptions {
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
    readonly getHeldVersion: () => number | undefined;
    /** Takes a document that is newer than the one in force. */
    readonly handleDocument: (content: unknown, origin: DocumentOrigin) => void;
    /** A number from 0 up to 1. */
    readonly random: () => number;
}

/** Longer than a leader holds a question, and short enough to ask another within the time to apply a change. */
const ASK_TIMEOUT_MS = 1_200;
/** Before a leader that was named is asked, or another is looked for. */
const RETRY_MS = 60;
/** Voters that are asked at once for a leader: of five, two may be away, so that one answers. */
const ASKED_AT_ONCE = 3;
/**
 * Between two rounds of such questions, whether or not all have been answered; with many entries more, so that what voters get while
 * none leads does not grow with them.
 */
const LEAST_ROUND_MS = 150;
const ROUND_MS_AN_ENTRY = 0.75;
/** Requests that fail together are told together. */
const TELL_MS = 20;
/** The number of entries is taken as the highest of this time, so that a new leader's count is no lower. */
const ENTRIES_MEMORY_MS = 15_000;

/** What an answer is counted from. */
interface AskedQuestion {
    readonly sentMs: number;
    readonly heldVersion: number | undefined;
}

/** The leader that confirmed what is in force at an entry. */
export interface Confirmation {
    readonly peer: string;
    readonly term?: number;
    readonly commit_index?: number;
}

type SynchroniseAnswer = z.infer<typeof synchroniseResultSchema>;

/** Keeps an entry up to date. */
export class FleetLink {
    private voters: readonly string[] = [];
    private leader: string | undefined;
    /** A voter that another one named as the leader. */
    private hint: string | undefined;
    private turn = 0;
    /** Voters whose answer to a question is awaited. */
    private readonly asked = new Set<string>();
    private isStopped = false;
    private isConnected = false;
    private confirmed = Number.NEGATIVE_INFINITY;
    /** When the question left to which a leader answered with the newest version that was wanted. */
    private answeredMs = Number.NEGATIVE_INFINITY;
    private readonly documents: DocumentLoader;
    private answered: Confirmation | undefined;
    private lastConfirmation: Confirmation | undefined;
    /** Since when a version that is newer than the one in force here has been committed, as far as is known. */
    private newerSinceMs: number | undefined;
    /** When the leader applied the newest document, by the clock here: not after its answer came. */
    private appliedAtLeaderMs: number | undefined;
    private reportTimer: NodeJS.Timeout | undefined;
    private counts: { readonly atMs: number; readonly entries: number; }[] = [];

    /**
     * @param options - peers, seeds, and what to do with the state
     */
    constructor(private readonly options: FleetLinkOptions) {
        this.documents = new DocumentLoader({
            ...options,
            handleDocument: (content, peer) => {
                options.handleDocument(content, { peer, committedMs: this.committedMs });
                this.newerSinceMs = this.appliedAtLeaderMs;
                this.confirmIfNewest();
            },
        });
    }

    /** The leader's answer that confirmed last what is in force here; undefined before the first. */
    get confirmation(): Confirmation | undefined {
        return this.lastConfirmation;
    }

    /** Time since a leader committed the first version that is newer than the one in force here; undefined where none is known. */
    get newerMs(): number | undefined {
        return this.newerSinceMs === undefined ? undefined : this.options.getNowMs() - this.newerSinceMs;
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
        }, TELL_MS);
    }

    private async sendSuspects(): Promise<void> {
        const { peers, instance, takeSuspects, log } = this.options;
        if (this.leader === undefined) {
            return;
        }
        const suspects = takeSuspects();
        try {
            await peers.call(this.leader, "suspect", { instance, suspects }, ASK_TIMEOUT_MS);
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
        return await this.options.peers.call(this.leader, method, parameters, ASK_TIMEOUT_MS);
    }

    /** How long ago a confirmed leader was asked whose newest document is in force here, in milliseconds. */
    get ageMs(): number {
        // A question that left before the machine slept was answered for a time that nobody can tell.
        return this.confirmed < this.options.getWokeMs()
            ? Number.POSITIVE_INFINITY
            : this.options.getNowMs() - this.confirmed;
    }

    /**
     * Counts the entries that share budgets.
     * @returns the highest count that was told lately; at least 1
     */
    countEntries(): number {
        return this.counts.reduce((most, one) => Math.max(most, one.entries), 1);
    }

    private async run(): Promise<void> {
        while (!this.isStopped) {
            if (this.leader === undefined) {
                await this.seekLeader();
            }
            else if (!await this.askKnown(this.leader)) {
                await waitMs(RETRY_MS);
            }
        }
    }

    /** Asks the leader, which may wait with its answer. */
    private async askKnown(address: string): Promise<boolean> {
        const asked = this.createQuestion();
        try {
            const result = await this.ask(address, true);
            if (result.kind === "not-leader") {
                this.leader = undefined;
                this.hint = getOtherAddress(result.leader, address);
                return false;
            }
            this.applyState(address, asked, result);
            return true;
        }
        catch (error) {
            this.leader = undefined;
            this.recordLost(address, error);
            return false;
        }
    }

    /** Asks several voters at once: one after another, those that say nothing would take their time-outs from the time to apply. */
    private async seekLeader(): Promise<void> {
        const asked = this.chooseAddresses().map((address) => this.askForLeader(address));
        const roundOver = waitMs(Math.max(LEAST_ROUND_MS, this.countEntries() * ROUND_MS_AN_ENTRY));
        await Promise.race([Promise.any(asked).catch(() => roundOver), roundOver]);
        if (this.leader === undefined && this.hint !== undefined) {
            // Two voters may name each other for a moment.
            await waitMs(RETRY_MS);
        }
    }

    /**
     * Resolves where the voter leads, or names one that is not asked yet. One that is named may be gone: it is asked beside others, and
     * counts as the leader once it says so itself.
     */
    private async askForLeader(address: string): Promise<void> {
        const asked = this.createQuestion();
        const result = await this.ask(address, false);
        if (this.leader !== undefined) {
            return;
        }
        if (result.kind === "state") {
            this.applyState(address, asked, result);
            return;
        }
        const hint = getOtherAddress(result.leader, address);
        if (hint === undefined || this.asked.has(hint)) {
            throw new Error(`${address} knows no leader that is not asked already`);
        }
        this.hint = hint;
    }

    /** Voters in turn, without those that have not answered yet: another question would only wait behind the first. */
    private chooseAddresses(): readonly string[] {
        const known = [...new Set([...this.voters, ...this.options.getSeeds()])];
        const hinted = this.hint === undefined || this.asked.has(this.hint) ? [] : [this.hint];
        const addresses = known.filter((address) => !this.asked.has(address) && address !== this.hint);
        const count = Math.min(ASKED_AT_ONCE - hinted.length, addresses.length);
        const first = this.turn;
        this.turn += count;
        this.hint = undefined;
        const others = Array.from(
            { length: count },
            (_unused, number) => addresses[(first + number) % addresses.length],
        );
        return [...hinted, ...others.filter((address) => address !== undefined)];
    }

    private async ask(address: string, may_wait: boolean): Promise<SynchroniseAnswer> {
        const { peers, createParameters } = this.options;
        this.asked.add(address);
        try {
            const raw = await peers.call(address, "synchronise", { ...createParameters(), may_wait }, ASK_TIMEOUT_MS);
            return synchroniseResultSchema.parse(raw);
        }
        finally {
            this.asked.delete(address);
        }
    }

    private createQuestion(): AskedQuestion {
        return { sentMs: this.options.getNowMs(), heldVersion: this.options.getHeldVersion() };
    }

    private applyState(address: string, { sentMs, heldVersion }: AskedQuestion, state: SynchronisedState): void {
        const { log, handleState, getNowMs, getHeldVersion } = this.options;
        if (!this.isConnected || this.leader !== address) {
            log.record("info", "voters-reached", {
                peer: address,
                index: state.index,
                age_ms: formatAgeMs(this.ageMs),
            });
        }
        this.isConnected = true;
        this.leader = address;
        this.voters = state.voters;
        this.counts = this.counts.filter((one) => getNowMs() - one.atMs < ENTRIES_MEMORY_MS);
        this.counts.push({ atMs: getNowMs(), entries: state.entries });
        handleState(state);
        this.answeredMs = Math.max(this.answeredMs, sentMs);
        this.answered = { peer: address, ...state.confirmed_by };
        if (state.document_age_ms !== undefined) {
            this.appliedAtLeaderMs = getNowMs() - state.document_age_ms;
        }
        // A document that came meanwhile leaves only what is newer than that one to wait for.
        const behindMs = heldVersion === getHeldVersion() ? state.behind_ms : state.document_age_ms;
        if (behindMs !== undefined) {
            // Counted from the question, which is not later than the answer was made.
            this.newerSinceMs = Math.min(this.newerSinceMs ?? Number.POSITIVE_INFINITY, sentMs - behindMs);
        }
        this.documents.want(state.document_version, address, state.voters);
        this.confirmIfNewest();
    }

    /**
     * The lease is on the newest document: it is renewed once that is in force here. The document comes by itself, so that
     * an answer which renews the lease is small, and upstreams, loads and suspects are told meanwhile.
     */
    private confirmIfNewest(): void {
        if (this.documents.hasWanted()) {
            this.confirmed = Math.max(this.confirmed, this.answeredMs);
            this.lastConfirmation = this.answered;
            this.newerSinceMs = undefined;
        }
    }

    private recordLost(address: string, error: unknown): void {
        if (this.isConnected) {
            const reason = error instanceof Error ? error.message : String(error);
            this.options.log.record("warn", "voters-lost", { peer: address, age_ms: formatAgeMs(this.ageMs), reason });
        }
        this.isConnected = false;
    }
}

/** A voter that names itself does not lead yet. */
function getOtherAddress(leader: ReplicaAddress | undefined, asked: string): string | undefined {
    return leader?.address === asked ? undefined : leader?.address;
}
