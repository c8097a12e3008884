/**
 * Synchronises an entry with the voters: it long-polls the leader for state changes. Each answer renews a lease on the
 * configuration, counted from the time at which the request was sent (Gray and Cheriton, "Leases", 1989).
 */
import {
    type ReplicaAddress,
    type SuspectParameters,
    type SynchroniseParameters,
    synchroniseResultSchema,
} from "@crankfork/schemas";
import type { SynchronisedState } from "@crankfork/schemas";
import type * as z from "zod";
import type { PeerClient } from "../../connection/peerClient.js";
import type { DocumentOrigin } from "../../version/activeDocument.js";
import type { EventLog } from "../eventLog.js";
import { formatAgeMs } from "../formatAgeMs.js";
import { runLoop, startTask, startTimer } from "../startTask.js";
import { waitMs } from "../waitMs.js";
import { DocumentLoader } from "./documentLoader.js";
import { PeerBackoffs } from "./peerBackoffs.js";

/** Dependencies of the synchronisation. */
export interface LeaderSyncOptions {
    readonly peers: PeerClient;
    readonly log: EventLog;
    readonly getNowMs: () => number;
    /** Time at which the machine last resumed from sleep; minus infinity where it never slept. */
    readonly getLastResumeMs: () => number;
    /** Peer addresses of instances that may be voters. */
    readonly getSeeds: () => readonly string[];
    /** Id of this entry. */
    readonly instance: string;
    readonly createParameters: () => SynchroniseParameters;
    /** Removes and returns the upstreams that failed since the last call. */
    readonly takeSuspects: () => readonly string[];
    /** Removes and returns the upstreams that declined requests since the last call. */
    readonly takeDeclined?: () => readonly string[];
    /** Handles an answer; `requestedIndex` is the index up to which this entry had the state when it sent the request. */
    readonly handleState: (state: SynchronisedState, requestedIndex: number) => void;
    /** Version of the document in force here; undefined before the first. */
    readonly getAppliedVersion: () => number | undefined;
    /** Handles a document that is newer than the one in force. */
    readonly handleDocument: (content: unknown, origin: DocumentOrigin) => void;
    /** Returns a number from 0 up to, but excluding, 1. */
    readonly random: () => number;
    /** Draws the jitter of intervals between requests without a leader, from 0 up to 1; none if absent. */
    readonly drawJitter?: () => number;
}

/**
 * Longer than the leader holds a long poll, and short enough to try another voter within the time to apply a change.
 */
const REQUEST_TIMEOUT_MS = 1_200;
/**
 * Additional time for an entry that learns of changes elsewhere meanwhile, per entry of the fleet: an answer that is given up costs a
 * busy leader as much as one that renews a lease.
 */
const PATIENCE_MS_PER_ENTRY = 4;
const MAX_PATIENCE_MS = 800;
/** Delay before following a leader hint, or looking for another leader. */
const RETRY_MS = 60;
/** Voters probed in parallel to find the leader: of five, two may be down, so at least one answers. */
const PARALLEL_PROBES = 3;
/**
 * Interval between probe rounds, whether or not all probes were answered. It grows with the number of entries, so that
 * the load on the voters does not while there is no leader.
 */
const MIN_PROBE_ROUND_MS = 150;
const PROBE_ROUND_MS_PER_ENTRY = 0.75;
/** Limit of the interval, which doubles with each round that finds no leader. */
const MAX_PROBE_ROUND_MS = 400;
/** Requests that fail within this time are reported together. */
const SUSPECT_BATCH_MS = 20;
/** Minimum interval between two reports: with all engines at capacity, each request may be declined. */
const SUSPECT_INTERVAL_MS = 100;
/** A follower learns of a commit with the next message of the leader: within a heartbeat and its way. */
const FOLLOWER_DELAY_MS = 250;
/** The number of entries is the maximum over this window, so that a new leader's low count does not lower it. */
const ENTRY_COUNT_WINDOW_MS = 15_000;
/** Highest number of entries that counts; intervals grow with it. */
const MAX_COUNTED_ENTRIES = 10_000;

/** Local state at the time of a request, to which the answer relates. */
export interface RequestContext {
    readonly sentMs: number;
    readonly appliedVersion: number | undefined;
}

interface SynchroniseContext extends RequestContext {
    readonly parameters: SynchroniseParameters;
}

/** The leader's reply that confirmed the configuration in force at an entry. */
export interface Confirmation {
    readonly peer: string;
    readonly term?: number;
    readonly commit_index?: number;
}

/** A voter's newest document. */
export type DocumentState = Pick<SynchronisedState, "document_version" | "document_age_ms" | "behind_ms">;
type SynchroniseAnswer = z.infer<typeof synchroniseResultSchema>;

/** Keeps the state of an entry up to date. */
export class LeaderSync {
    private voters: readonly string[] = [];
    private leader: string | undefined;
    /** Voter that led last, also after it was lost. */
    private lastLeader: string | undefined;
    /** Voter that another voter named as the leader. */
    private leaderHint: string | undefined;
    private nextVoter = 0;
    /** Voters with an outstanding request. */
    private readonly pendingVoters = new Set<string>();
    private readonly failures = new PeerBackoffs();
    /** Probe rounds since the leader was lost. */
    private probeRounds = 0;
    /** Voter that others name as the leader, and that does not answer. */
    private lateLeader: string | undefined;
    /** Newest version of the document that a voter has named. */
    private knownVersion: number | undefined;
    private isStopped = false;
    private isConnected = false;
    private confirmedMs = Number.NEGATIVE_INFINITY;
    /** Send time of the newest request that a leader answered. */
    private answeredSentMs = Number.NEGATIVE_INFINITY;
    private readonly documents: DocumentLoader;
    private lastAnswer: Confirmation | undefined;
    private lastConfirmation: Confirmation | undefined;
    /** Commit time of the first version that is newer than the one in force here, as far as known. */
    private outdatedSinceMs: number | undefined;
    /** Local time at which the leader applied the newest document; never later than the arrival of its answer. */
    private appliedAtLeaderMs: number | undefined;
    private reportTimer: NodeJS.Timeout | undefined;
    /** Whether a report is on its way, and whether another one is due after it. */
    private isReporting = false;
    private isReportDue = false;
    private reportedMs = Number.NEGATIVE_INFINITY;
    private entryCounts: { readonly atMs: number; readonly entries: number; }[] = [];

    /**
     * @param options - peers, seeds and state handlers
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

    /**
     * Lists the voters other than the one that led last.
     * @returns peer addresses, as that leader reported them; none before the first
     */
    listFollowers(): readonly string[] {
        return this.voters.filter((address) => address !== this.lastLeader);
    }

    /** The leader's reply that last confirmed the configuration in force; undefined before the first. */
    get confirmation(): Confirmation | undefined {
        return this.lastConfirmation;
    }

    /**
     * Time since a leader committed the first version newer than the one in force here; undefined where none is known.
     */
    get outdatedMs(): number | undefined {
        return this.outdatedSinceMs === undefined ? undefined : this.options.getNowMs() - this.outdatedSinceMs;
    }

    /** Time since a leader applied the newest document that it reported, in milliseconds. */
    private get committedMs(): number | undefined {
        return this.appliedAtLeaderMs === undefined ? undefined : this.options.getNowMs() - this.appliedAtLeaderMs;
    }

    /** Starts the synchronisation. */
    start(): void {
        startTask("leader-sync", () => this.run());
    }

    /** Stops the synchronisation. */
    stop(): void {
        this.isStopped = true;
        this.documents.stop();
        clearTimeout(this.reportTimer);
    }

    /**
     * Schedules a report of failed upstreams to the leader, one at a time, so that a late leader gets fewer. Without a leader they
     * remain for a later report.
     */
    reportSuspects(): void {
        if (this.isReporting) {
            this.isReportDue = true;
            return;
        }
        const sinceMs = this.options.getNowMs() - this.reportedMs;
        this.reportTimer ??= startTimer(
            "suspect-report",
            Math.max(SUSPECT_BATCH_MS, SUSPECT_INTERVAL_MS - sinceMs),
            () => {
                this.reportTimer = undefined;
                return this.runReport();
            },
        );
    }

    private async runReport(): Promise<void> {
        this.isReporting = true;
        this.isReportDue = false;
        this.reportedMs = this.options.getNowMs();
        try {
            await this.sendSuspects();
        }
        finally {
            this.isReporting = false;
            this.continueReports();
        }
    }

    private continueReports(): void {
        if (this.isReportDue && !this.isStopped) {
            this.reportSuspects();
        }
    }

    private async sendSuspects(): Promise<void> {
        const { peers, instance, takeSuspects, takeDeclined, log } = this.options;
        if (this.leader === undefined) {
            return;
        }
        const suspects = takeSuspects();
        const declined = takeDeclined?.() ?? [];
        const parameters: SuspectParameters = {
            instance,
            suspects: [...suspects],
            ...(declined.length > 0 ? { declined: [...declined] } : {}),
        };
        try {
            await peers.call(this.leader, "suspect", parameters, REQUEST_TIMEOUT_MS);
        }
        catch (error) {
            const reason = error instanceof Error ? error.message : String(error);
            log.record("warn", "suspects-not-reported", {
                peer: this.leader,
                suspects: [...suspects, ...declined].join(","),
                reason,
            });
        }
    }

    /**
     * Sends another request to the leader.
     * @param method - the method
     * @param parameters - its parameters
     * @returns the result
     * @throws Error where no leader is known, or it does not answer
     */
    async askLeader(method: string, parameters: object): Promise<unknown> {
        if (this.leader === undefined) {
            throw new Error("no leader is known");
        }
        return await this.options.peers.call(this.leader, method, parameters, REQUEST_TIMEOUT_MS);
    }

    /**
     * Time since the request was sent by which a leader confirmed that its newest document is in force here, in
     * milliseconds.
     */
    get confirmationAgeMs(): number {
        // The answer to a request that was sent before the machine slept relates to an unknown time, so it proves
        // nothing.
        return this.confirmedMs < this.options.getLastResumeMs()
            ? Number.POSITIVE_INFINITY
            : this.options.getNowMs() - this.confirmedMs;
    }

    /**
     * Counts the entries that share budgets.
     * @returns the highest number reported recently; at least 1
     */
    countEntries(): number {
        return this.entryCounts.reduce((max, one) => Math.max(max, one.entries), 1);
    }

    private async run(): Promise<void> {
        await runLoop("leader-sync", () => !this.isStopped, async () => {
            if (this.leader === undefined) {
                await this.discoverLeader();
            }
            else if (!await this.pollLeader(this.leader)) {
                await waitMs(RETRY_MS);
            }
        });
    }

    /** Long-polls the known leader. */
    private async pollLeader(address: string): Promise<boolean> {
        const context = this.createRequestContext();
        try {
            const result = await this.synchronise(address, context, true);
            if (result.kind === "not-leader") {
                this.leader = undefined;
                this.applyFollowerState(address, context, result);
                this.leaderHint = getOtherAddress(result.leader, address);
                return false;
            }
            this.applyState(address, context, result);
            return true;
        }
        catch (error) {
            this.leader = undefined;
            this.recordConnectionLost(address, error);
            return false;
        }
    }

    /**
     * Probes several voters in parallel: in sequence, the timeouts of unreachable voters would use up the time to apply
     * a change.
     */
    private async discoverLeader(): Promise<void> {
        const probes = this.chooseProbeTargets().map((address) => this.probeVoter(address));
        const roundOver = waitMs(this.computeProbeRoundMs());
        this.probeRounds += 1;
        await Promise.race([Promise.any(probes).catch(() => roundOver), roundOver]);
        if (this.leader === undefined && this.leaderHint !== undefined) {
            // Two voters may briefly name each other as the leader.
            await waitMs(RETRY_MS);
        }
    }

    /** Randomised, so that entries that lost the leader together do not probe together. */
    private computeProbeRoundMs(): number {
        const minMs = Math.max(MIN_PROBE_ROUND_MS, this.countEntries() * PROBE_ROUND_MS_PER_ENTRY);
        const maxMs = Math.max(MAX_PROBE_ROUND_MS, minMs);
        return Math.min(maxMs, minMs * 2 ** this.probeRounds) * (1 - this.drawJitter() / 2);
    }

    /**
     * Resolves if the voter is the leader, or names a voter without an outstanding request. The named voter may be
     * down: it is probed along with others, and becomes the leader only once it confirms that itself.
     */
    private async probeVoter(address: string): Promise<void> {
        const context = this.createRequestContext();
        const result = await this.synchronise(address, context, false);
        this.failures.clear(address);
        if (result.kind === "not-leader") {
            this.applyFollowerState(address, context, result);
        }
        if (this.leader !== undefined) {
            return;
        }
        if (result.kind === "state") {
            this.applyState(address, context, result);
            return;
        }
        const hint = getOtherAddress(result.leader, address);
        this.lateLeader = hint !== undefined && (this.pendingVoters.has(hint) || this.isBackedOff(hint))
            ? hint
            : undefined;
        if (hint === undefined || this.pendingVoters.has(hint)) {
            throw new Error(`${address} is not the leader and named no voter without a pending probe`);
        }
        this.leaderHint = hint;
    }

    /**
     * Picks voters round-robin, without those that have not answered yet, where another request would only queue behind the
     * first, and without those that failed and are backed off.
     */
    private chooseProbeTargets(): readonly string[] {
        const candidates = [...new Set([...this.voters, ...this.options.getSeeds()])];
        const hinted = this.leaderHint === undefined || this.pendingVoters.has(this.leaderHint)
            ? []
            : [this.leaderHint];
        const addresses = candidates.filter((address) =>
            !this.pendingVoters.has(address) && address !== this.leaderHint && !this.isBackedOff(address)
        );
        const count = Math.min(PARALLEL_PROBES - hinted.length, addresses.length);
        const first = this.nextVoter;
        this.nextVoter += count;
        this.leaderHint = undefined;
        const others = Array.from(
            { length: count },
            (_unused, index) => addresses[(first + index) % addresses.length],
        );
        return [...hinted, ...others.filter((address) => address !== undefined)];
    }

    /** What a voter other than the leader needs to know in order to wait for news. */
    private describeWait(): Pick<SynchroniseParameters, "awaits_leader" | "late_leader" | "known_version"> {
        return {
            awaits_leader: true,
            ...(this.lateLeader === undefined ? {} : { late_leader: this.lateLeader }),
            ...(this.knownVersion === undefined ? {} : { known_version: this.knownVersion }),
        };
    }

    private drawJitter(): number {
        return this.options.drawJitter?.() ?? 0;
    }

    private isBackedOff(address: string): boolean {
        return this.failures.isBackedOff(address, this.options.getNowMs());
    }

    /**
     * Requests the state from a voter. The leader answers once something changes if it may wait, and another voter once it knows
     * of a leader otherwise.
     */
    private async synchronise(
        address: string,
        { parameters }: SynchroniseContext,
        may_wait: boolean,
    ): Promise<SynchroniseAnswer> {
        const { peers, getNowMs } = this.options;
        this.pendingVoters.add(address);
        try {
            const raw = await peers.call(
                address,
                "synchronise",
                { ...parameters, may_wait, ...(may_wait ? {} : this.describeWait()) },
                REQUEST_TIMEOUT_MS + (may_wait && parameters.is_watching === true ? this.computePatienceMs() : 0),
            );
            return synchroniseResultSchema.parse(raw);
        }
        catch (error) {
            this.failures.recordFailure(address, getNowMs(), this.drawJitter());
            throw error;
        }
        finally {
            this.pendingVoters.delete(address);
        }
    }

    private computePatienceMs(): number {
        return Math.min(MAX_PATIENCE_MS, this.countEntries() * PATIENCE_MS_PER_ENTRY);
    }

    private createRequestContext(): SynchroniseContext {
        const { getNowMs, getAppliedVersion, createParameters } = this.options;
        return { sentMs: getNowMs(), appliedVersion: getAppliedVersion(), parameters: createParameters() };
    }

    private applyState(
        address: string,
        { sentMs, appliedVersion, parameters }: SynchroniseContext,
        state: SynchronisedState,
    ): void {
        const { log, handleState, getNowMs } = this.options;
        if (!this.isConnected || this.leader !== address) {
            log.record("info", "voters-reached", {
                peer: address,
                index: state.index,
                age_ms: formatAgeMs(this.confirmationAgeMs),
            });
        }
        this.isConnected = true;
        this.leader = address;
        this.lastLeader = address;
        this.probeRounds = 0;
        this.lateLeader = undefined;
        this.failures.reset();
        this.voters = state.voters;
        this.entryCounts = this.entryCounts.filter((one) => getNowMs() - one.atMs < ENTRY_COUNT_WINDOW_MS);
        this.entryCounts.push({ atMs: getNowMs(), entries: Math.min(state.entries, MAX_COUNTED_ENTRIES) });
        handleState(state, parameters.known_index);
        this.answeredSentMs = Math.max(this.answeredSentMs, sentMs);
        this.lastAnswer = { peer: address, ...state.confirmed_by };
        this.applyDocumentState(address, { sentMs, appliedVersion }, state);
        this.renewLeaseIfCurrent();
    }

    /**
     * Applies a follower's report of the newest document. It renews no lease, since the follower may lack a newer version, but
     * the version that it names is committed; so entries learn of it while the leader is slow.
     * @param address - the follower
     * @param context - local state when the request was sent
     * @param state - what the follower has
     */
    applyFollowerState(address: string, context: RequestContext, state: DocumentState): void {
        const { behind_ms } = state;
        this.applyDocumentState(address, context, {
            ...state,
            behind_ms: behind_ms === undefined ? undefined : behind_ms + FOLLOWER_DELAY_MS,
        });
    }

    private applyDocumentState(
        address: string,
        { sentMs, appliedVersion }: RequestContext,
        { document_version, document_age_ms, behind_ms }: DocumentState,
    ): void {
        const { getNowMs, getAppliedVersion } = this.options;
        const current = getAppliedVersion();
        if (document_version === undefined || document_version < (current ?? Number.NEGATIVE_INFINITY)) {
            return;
        }
        this.knownVersion = Math.max(document_version, this.knownVersion ?? document_version);
        if (document_age_ms !== undefined) {
            this.appliedAtLeaderMs = getNowMs() - document_age_ms;
        }
        // If a document was applied since the request was sent, only a version newer than that one is outstanding.
        const behindMs = appliedVersion === current ? behind_ms : document_age_ms;
        if (behindMs !== undefined && document_version !== current) {
            // Counted from the send time, which is not later than the time at which the voter answered.
            this.outdatedSinceMs = Math.min(this.outdatedSinceMs ?? Number.POSITIVE_INFINITY, sentMs - behindMs);
        }
        this.documents.setTarget(document_version, address, this.voters);
    }

    /**
     * The lease covers the newest document, so it is renewed only once that is in force here. Documents are transferred
     * separately, which keeps the answers that renew the lease small, and upstreams, loads and suspects arrive in the
     * meantime.
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

/** A voter that names itself is not the leader yet. */
function getOtherAddress(leader: ReplicaAddress | undefined, queried: string): string | undefined {
    return leader?.address === queried ? undefined : leader?.address;
}
