/**
 * Counts, across all entries, the requests and prompt segments during which upstreams crashed. The counts are part of the
 * replicated log, so they survive restarts of entries, changes of leader and lost disks.
 */
import {
    type CrashesParameters,
    type CrashesResult,
    type CrashRecord,
    EXCLUSIVE_SEGMENT_SCORE,
    findQuarantiningSegment,
    type FleetCommand,
    formatSegmentKey,
    isNearQuarantine,
    isRequestQuarantined,
    isSegmentTrialDue,
    parseSegmentKey,
    type ResendParameters,
    type ResendResult,
    type SegmentRecord,
    type SegmentStatus,
    type TrialParameters,
} from "@crankfork/schemas";
import type { EventLog } from "../eventLog.js";
import { waitMs } from "../waitMs.js";
import { createNotLeaderResult, type ProposalOptions, proposeChange, type VoterResult } from "./fleetProposal.js";
import { ResendGrants } from "./resendGrants.js";

/** Dependencies of {@link CrashRegistry}. */
export interface CrashRegistryOptions extends ProposalOptions {
    readonly log: EventLog;
    /** Wall clock. Each record carries the proposer's time so that all voters expire it at the same log position. */
    readonly getUnixMs: () => number;
    /** Whether all entries in contact have the state at a log index. */
    readonly haveEntriesApplied: (index: number) => boolean;
}

/** Entries report the same crash within milliseconds of each other; their reports share one log entry. */
const BATCH_WINDOW_MS = 10;
/**
 * Time for which the answer to a report waits until all entries know a request whose next crash may quarantine it: the
 * caller of the crashed attempt comes back to any of them as soon as it is answered.
 */
const MAX_INFORM_MS = 500;
const INFORM_POLL_MS = 10;
const MAX_LOGGED_SEGMENTS = 10;

/** Records crashes and decides which requests are quarantined. */
export class CrashRegistry {
    private pending: CrashesParameters[] = [];
    private flush: Promise<CrashesResult> | undefined;
    private readonly resends: ResendGrants;

    /**
     * @param options - replica, log and clocks
     */
    constructor(private readonly options: CrashRegistryOptions) {
        this.resends = new ResendGrants(options.getNowMs);
    }

    /**
     * Records the crashes and completions that an entry observed.
     * @param parameters - crashes, and requests that ran to completion
     * @returns whether a quorum has committed the record
     */
    async record(parameters: CrashesParameters): Promise<CrashesResult> {
        if (!this.options.host.replica.hasLeaderLease()) {
            return { is_taken: false };
        }
        this.pending.push(parameters);
        this.flush ??= this.flushPending();
        const result = await this.flush;
        if (result.is_taken) {
            await this.waitUntilInformed(parameters.crashes.map((crash) => crash.fingerprint));
        }
        return result;
    }

    /**
     * Grants one trial run of a quarantined request, or of a prompt with a quarantined segment, if one is due.
     * @param parameters - the request's fingerprint, or the segment's key
     * @returns whether the trial was granted
     */
    async claimTrial({ fingerprint }: TrialParameters): Promise<CrashesResult> {
        const segment = parseSegmentKey(fingerprint);
        const mayTry = this.options.host.replica.hasLeaderLease()
            && (segment === undefined || this.claimSegmentTrial(segment));
        return { is_taken: mayTry && await this.commitTrial(fingerprint) };
    }

    private claimSegmentTrial(segment: string): boolean {
        const { host, getUnixMs } = this.options;
        const record = host.state.segments.get(segment);
        return record !== undefined && isSegmentTrialDue(record, getUnixMs())
            && this.resends.claim(formatSegmentKey(segment), []);
    }

    /**
     * Decides whether a request under which an upstream crashed, or with a suspected segment, may be sent.
     * @param parameters - the request's fingerprint and segments
     * @returns granted to one attempt at a time, while the request is not quarantined
     */
    async grantResend(parameters: ResendParameters): Promise<ResendResult> {
        const { host, log } = this.options;
        if (!host.replica.hasLeaderLease()) {
            return { outcome: "not-leader" };
        }
        const outcome = await this.decideResend(parameters);
        if (outcome !== "pending") {
            const { fingerprint, segments = [] } = parameters;
            log.record("info", "resend", {
                fingerprint,
                segments: segments.filter((one) => this.getSegmentStatus(one) !== undefined)
                    .slice(0, MAX_LOGGED_SEGMENTS).join(","),
                outcome,
            });
        }
        return { outcome };
    }

    /**
     * Lists quarantined requests.
     * @returns their crash records, if this voter leads and holds its lease
     */
    listQuarantined(): VoterResult<readonly CrashRecord[]> {
        const { host } = this.options;
        return host.replica.hasLeaderLease()
            ? { kind: "done", value: host.state.crashes.list().filter(isRequestQuarantined) }
            : createNotLeaderResult(host);
    }

    /**
     * Lists quarantined prompt segments.
     * @returns their crash records, if this voter leads and holds its lease
     */
    listQuarantinedSegments(): VoterResult<readonly SegmentRecord[]> {
        const { host } = this.options;
        return host.replica.hasLeaderLease()
            ? { kind: "done", value: this.getQuarantinedSegments() }
            : createNotLeaderResult(host);
    }

    /**
     * Releases a request or a prompt segment from quarantine on behalf of an operator.
     * @param fingerprint - the request's fingerprint, or the segment's key
     * @returns done once a quorum has committed the release
     */
    async release(fingerprint: string): Promise<VoterResult<undefined>> {
        const { host, log } = this.options;
        if (!host.replica.hasLeaderLease()) {
            return createNotLeaderResult(host);
        }
        const result = await proposeChange(this.options, { kind: "forget-crashes", fingerprints: [fingerprint] });
        log.record("info", parseSegmentKey(fingerprint) === undefined ? "request-released" : "segment-released", {
            fingerprint,
            cause: "operator",
            outcome: result.kind,
        });
        return result;
    }

    private async commitTrial(key: string): Promise<boolean> {
        const { host, log, getUnixMs } = this.options;
        const result = await host.propose({ kind: "claim-trial", fingerprint: key, at_ms: getUnixMs() });
        const isTaken = result.kind === "applied" && isTakenResult(result.result);
        log.record("info", "trial", { fingerprint: key, outcome: isTaken ? "granted" : "permit-denied" });
        return isTaken;
    }

    private async decideResend({ fingerprint, segments = [] }: ResendParameters): Promise<ResendResult["outcome"]> {
        const record = this.options.host.state.crashes.get(fingerprint);
        const getStatus = (segment: string): SegmentStatus | undefined => this.getSegmentStatus(segment);
        if (
            (record !== undefined && isRequestQuarantined(record))
            || findQuarantiningSegment(segments, getStatus) !== undefined
        ) {
            return "quarantined";
        }
        const exclusive = segments.filter((segment) => (getStatus(segment)?.score ?? 0) >= EXCLUSIVE_SEGMENT_SCORE);
        if (
            !this.areEntriesInformed(fingerprint)
            || !this.resends.claim(fingerprint, exclusive.map(formatSegmentKey))
        ) {
            return "pending";
        }
        const trials = exclusive.filter((segment) => getStatus(segment)?.quarantine !== undefined);
        const areGranted = await Promise.all(trials.map((segment) => this.commitTrial(formatSegmentKey(segment))));
        return areGranted.every((isGranted) => isGranted) ? "granted" : "quarantined";
    }

    private getSegmentStatus(segment: string): SegmentStatus | undefined {
        return this.options.host.state.segments.getStatus(segment);
    }

    private getQuarantinedSegments(): readonly SegmentRecord[] {
        const { segments } = this.options.host.state;
        return segments.listStatuses().filter((status) => status.quarantine !== undefined)
            .flatMap(({ segment }) => segments.get(segment) ?? []);
    }

    /** Lists the other segments that were in the same crashes as a quarantined one. */
    private listGroup(segment: string): readonly string[] {
        const group = this.getSegmentStatus(segment)?.quarantine?.group;
        return this.options.host.state.segments.listStatuses()
            .filter((status) => status.segment !== segment && status.quarantine?.group === group)
            .map((status) => status.segment);
    }

    /** Entries that do not know a request would send it without a grant. Records of a single crash are not sent to them. */
    private areEntriesInformed(fingerprint: string): boolean {
        const { host, haveEntriesApplied } = this.options;
        const record = host.state.crashes.get(fingerprint);
        return record === undefined || !isNearQuarantine(record)
            || haveEntriesApplied(host.state.crashes.getIndex(fingerprint));
    }

    private async waitUntilInformed(fingerprints: readonly string[]): Promise<void> {
        const { getNowMs, host } = this.options;
        const endMs = getNowMs() + MAX_INFORM_MS;
        const records = fingerprints.map((fingerprint) => host.state.crashes.get(fingerprint));
        const silent = fingerprints.filter((_one, at) => (records[at]?.silent.length ?? 0) > 0);
        while (getNowMs() < endMs && !silent.every((fingerprint) => this.areEntriesInformed(fingerprint))) {
            await waitMs(INFORM_POLL_MS);
        }
    }

    private async flushPending(): Promise<CrashesResult> {
        await waitMs(BATCH_WINDOW_MS);
        const { pending } = this;
        this.pending = [];
        this.flush = undefined;
        const crashes = pending.flatMap((one) => one.crashes);
        const ranWell = [...new Set(pending.flatMap((one) => one.ran_well))];
        const quarantinedBefore = this.listQuarantinedKeys();
        const isTaken = await this.propose(crashes.length > 0, {
            kind: "record-crashes",
            crashes,
            at_ms: this.options.getUnixMs(),
        }) && await this.propose(ranWell.length > 0, { kind: "forget-crashes", fingerprints: ranWell });
        if (isTaken) {
            this.resends.releaseCrashed(crashes.map(({ fingerprint }) => fingerprint));
            this.resends.releaseCompleted(ranWell);
        }
        this.logChanges(quarantinedBefore, ranWell, {
            crashes: crashes.length,
            outcome: isTaken ? "taken" : "not-taken",
        });
        return { is_taken: isTaken };
    }

    private async propose(isNeeded: boolean, command: FleetCommand): Promise<boolean> {
        return !isNeeded || (await proposeChange(this.options, command)).kind === "done";
    }

    private listQuarantinedKeys(): ReadonlySet<string> {
        const requests = this.options.host.state.crashes.list().filter(isRequestQuarantined);
        return new Set([
            ...requests.map((record) => record.fingerprint),
            ...this.getQuarantinedSegments().map(({ segment }) => formatSegmentKey(segment)),
        ]);
    }

    private logChanges(
        quarantinedBefore: ReadonlySet<string>,
        ranWell: readonly string[],
        { crashes, outcome }: { readonly crashes: number; readonly outcome: "taken" | "not-taken"; },
    ): void {
        const { host, log } = this.options;
        log.record("info", "crashes-committed", {
            crashes,
            segments: host.state.segments.size,
            outcome,
            index: host.state.lastChangeIndex,
        });
        const quarantined = host.state.crashes.list().filter(isRequestQuarantined);
        quarantined.filter(({ fingerprint }) => !quarantinedBefore.has(fingerprint)).forEach((record) => {
            log.record("warn", "request-held", {
                fingerprint: record.fingerprint,
                organisation: record.origin.organisation,
                host: record.origin.host,
                target: record.origin.target,
                silent: record.silent.join(","),
                midway: record.midway.join(","),
                index: host.state.lastChangeIndex,
            });
        });
        this.getQuarantinedSegments().filter(({ segment }) => !quarantinedBefore.has(formatSegmentKey(segment)))
            .forEach(({ segment, upstreams }) => {
                log.record("warn", "segment-held", {
                    segment,
                    with: this.listGroup(segment).slice(0, MAX_LOGGED_SEGMENTS).join(","),
                    upstreams: upstreams.join(","),
                    index: host.state.lastChangeIndex,
                });
            });
        ranWell.filter((fingerprint) => quarantinedBefore.has(fingerprint)).forEach((fingerprint) => {
            log.record("info", parseSegmentKey(fingerprint) === undefined ? "request-released" : "segment-released", {
                fingerprint,
                cause: "upstream-recovered",
                index: host.state.lastChangeIndex,
            });
        });
    }
}

function isTakenResult(result: unknown): boolean {
    return typeof result === "object" && result !== null && "kind" in result && result.kind === "taken";
}
