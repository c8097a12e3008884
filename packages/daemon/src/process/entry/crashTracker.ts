/**
 * Tracks requests under which upstreams crashed: the attempts of this entry, and the records that the voters aggregate
 * over all entries.
 *
 * The tracker guards against requests that crash every upstream they reach and are sent again to all entries under new
 * ids. Each entry sees only one or two of the crashes, and without aggregation 27 upstreams crashed within a day. Such
 * a request is quarantined after the third crash: every entry then refuses it at once.
 *
 * A request that completed, here or at another entry, is removed from the record. So a popular request that was in many
 * crashes at once, such as in a power loss of a rack, is not quarantined: it has completed just before.
 */
import {
    crashesResultSchema,
    type CrashRecord,
    formatSegmentKey,
    isRequestQuarantined,
    isTrialDue,
    needsResendGrant,
    type ReportedCrash,
    type SynchronisedState,
} from "@crankfork/schemas";
import type { AdmittedCall, RequestContext } from "../../request/requestContext.js";
import { computeFingerprint } from "../../request/requestFingerprint.js";
import type { EventFields, EventLog } from "../eventLog.js";
import { CrashReports } from "./crashReports.js";
import { ResendClaims, type ResendDecision } from "./resendClaims.js";
import { SegmentTracker, type SegmentTrackerOptions } from "./segmentTracker.js";

/** Dependencies of the tracker. */
export interface CrashTrackerOptions {
    readonly getNowMs: () => number;
    readonly getUnixMs: () => number;
    readonly log: EventLog;
    /** Sends a request to the leader; rejects where no leader is known, or where it does not answer. */
    readonly askLeader: (method: "crashes" | "trial" | "resend", parameters: object) => Promise<unknown>;
    /** Whether the voters consider an upstream ended. */
    readonly hasEnded: (id: string) => boolean;
    /** Whether an upstream is shutting down, so that its end is no crash. */
    readonly isLeaving: (id: string) => boolean;
    readonly recordSegmentCounts?: SegmentTrackerOptions["recordCounts"];
}

/** What an attempt had delivered when it ended. */
export interface AttemptOutput {
    /** Whether a part of the response had arrived. */
    readonly hadProgress: boolean;
    /** Time from its first to its last part, in milliseconds. */
    readonly outputMs: number;
}

/** An attempt after which one of its upstreams may turn out to have crashed. */
export interface UnansweredAttempt extends AttemptOutput {
    readonly upstreams: readonly string[];
}

/** Output after which a crash is less likely to be caused by the request. */
const LATE_OUTPUT_MS = 500;

/** Requests with a crash seen by this entry; the oldest are dropped beyond this. */
const MAX_LOCAL_RECORDS = 500;
/** How long a completion clears a request: crashes in which it was in flight are reported seconds later. */
const COMPLETION_MEMORY_MS = 10_000;
const MAX_COMPLETIONS = 2_000;
/** Popular requests have short bodies; fingerprints of longer ones are not worth the processing time. */
const MAX_FINGERPRINTED_BYTES = 4_096;
/** Silent upstreams are detected as ended within this time: four heartbeats, and one in reserve. */
const UNANSWERED_WINDOW_MS = 8_000;
const MAX_UNANSWERED = 2_000;
/**
 * Time after the end of a close-delimited response within which a crash of its upstream is detected: the next connection to
 * it fails, and the voters probe it.
 */
const UNCONFIRMED_WINDOW_MS = 3_000;
const MAX_UNCONFIRMED = 2_000;
/** Responses sent before a crash may be received this much later than the end of a connection. */
const REORDERING_MS = 50;
const MAX_LOGGED_SEGMENTS = 10;

interface PendingCrash {
    readonly upstreams: readonly string[];
    /** The crash to be recorded if one of the upstreams has ended. */
    readonly crash: ReportedCrash;
    readonly atMs: number;
}

/** Tracks crashes by the fingerprint of the request. */
export class CrashTracker {
    /** Records aggregated by the voters. */
    private readonly clusterRecords = new Map<string, CrashRecord>();
    /** Records of crashes seen by this entry. */
    private readonly localRecords = new Map<string, CrashRecord>();
    /** Origins of recorded requests, so that requests of other origins need no fingerprint. */
    private originKeys = new Set<string>();
    private readonly completions = new Map<string, number>();
    private unanswered: PendingCrash[] = [];
    /** Responses whose end may have been a crash. */
    private unconfirmed: PendingCrash[] = [];
    /** When each of their upstreams last began a response. */
    private readonly respondedMs = new Map<string, number>();
    private readonly reports: CrashReports;
    private readonly resends: ResendClaims;
    private readonly segments: SegmentTracker;

    /**
     * @param options - clocks, log and connection to the leader
     */
    constructor(private readonly options: CrashTrackerOptions) {
        this.reports = new CrashReports(options);
        this.resends = new ResendClaims(options);
        this.segments = new SegmentTracker({
            ...options,
            recordCounts: options.recordSegmentCounts,
            reportCompletion: (key) => {
                this.reports.addCompletion(key);
            },
        });
    }

    /**
     * Checks whether a request is quarantined, so that it must not be sent.
     * @param admitted - the request
     * @returns true where it crashed too many upstreams
     */
    isQuarantined(admitted: AdmittedCall): boolean {
        return this.findQuarantiningSegment(admitted) !== undefined || this.isRequestQuarantined(admitted);
    }

    /**
     * Describes why a request is quarantined, for the log.
     * @param admitted - the request
     * @returns its fingerprint, the incarnations of upstreams that crashed under it, and the segment that quarantines it
     */
    describe(admitted: AdmittedCall): EventFields {
        const fingerprint = computeFingerprint(admitted);
        const record = this.findRecord(fingerprint);
        const segment = this.findQuarantiningSegment(admitted);
        return {
            fingerprint,
            crashes: [...record?.silent ?? [], ...record?.midway ?? []].join(","),
            ...(segment === undefined
                ? {}
                : { held_segment: segment, segment_score: this.segments.getScore(segment) }),
        };
    }

    /**
     * Requests a trial of a quarantined request: permission to send it once, to find out whether it still crashes upstreams.
     * @param admitted - the request
     * @returns true where the voters granted it
     */
    async claimTrial(admitted: AdmittedCall): Promise<boolean> {
        const segment = this.findQuarantiningSegment(admitted);
        if (segment !== undefined) {
            return !this.isRequestQuarantined(admitted) && this.segments.isTrialQuestionDue(segment)
                && await this.askForTrial(formatSegmentKey(segment));
        }
        const fingerprint = computeFingerprint(admitted);
        const record = this.clusterRecords.get(fingerprint);
        return record !== undefined && isTrialDue(record, this.options.getUnixMs())
            && await this.askForTrial(fingerprint);
    }

    private async askForTrial(fingerprint: string): Promise<boolean> {
        try {
            const raw = await this.options.askLeader("trial", { fingerprint });
            return crashesResultSchema.parse(raw).is_taken;
        }
        catch (error) {
            this.options.log.record("info", "trial-not-claimed", { fingerprint, reason: String(error) });
            return false;
        }
    }

    /**
     * Checks whether the leader must agree before a request is sent.
     * @param admitted - the request
     * @returns true where an upstream crashed under it, or several under one of its segments, and none completed since
     */
    needsResendGrant(admitted: AdmittedCall): boolean {
        return this.segments.needsGrant(admitted.call.sharedSegments ?? []) || this.needsRequestGrant(admitted);
    }

    /**
     * Claims one attempt of a request under which an upstream crashed.
     * @param admitted - the request
     * @param maxWaitMs - how long to wait for the leader and for other attempts, in milliseconds
     * @returns whether it may be sent
     */
    async claimResend(admitted: AdmittedCall, maxWaitMs: number): Promise<ResendDecision> {
        const fingerprint = computeFingerprint(admitted);
        const segments = admitted.call.sharedSegments ?? [];
        return await this.resends.claim({
            fingerprint,
            getSegments: () => this.segments.listSuspected(segments),
            maxWaitMs,
            isNeeded: () => this.segments.needsGrant(segments) || this.isGrantNeeded(fingerprint),
            waitUntilStored: (waitMs) => this.reports.waitUntilStored(fingerprint, waitMs),
        });
    }

    /**
     * Waits until the voters have stored the crashes of a request, unless it has completed recently.
     * @param admitted - the request
     * @param maxWaitMs - upper bound, in milliseconds
     */
    async waitUntilStored(admitted: AdmittedCall, maxWaitMs: number): Promise<void> {
        if (this.needsResendGrant(admitted)) {
            await this.reports.waitUntilStored(computeFingerprint(admitted), maxWaitMs);
        }
    }

    /**
     * Records that an upstream closed its connection during a request.
     * @param run - the request
     * @param upstream - the incarnation that it was sent to
     * @param output - what of the answer had arrived
     */
    recordCrash(run: RequestContext, upstream: string, output: AttemptOutput): void {
        this.addCrash(createCrash(run.admitted, upstream, output));
    }

    /**
     * Records an attempt that was given up without a response; it counts as a crash if one of its upstreams is found to
     * have ended.
     * @param run - the request
     * @param ended - its upstreams and progress
     */
    recordUnanswered(run: RequestContext, { upstreams, ...output }: UnansweredAttempt): void {
        const crash = createCrash(run.admitted, "", output);
        this.unanswered.push({ upstreams, crash, atMs: this.options.getNowMs() });
        this.unanswered.splice(0, this.unanswered.length - MAX_UNANSWERED);
        this.resolvePending();
    }

    /**
     * Records a response that ended with its connection, as it does when the upstream crashes. It counts as a completion
     * once the upstream has survived it.
     * @param run - the request
     * @param ended - the upstreams that it passed, and the response
     */
    recordUnconfirmed(run: RequestContext, { upstreams: [upstream = ""], ...output }: UnansweredAttempt): void {
        const { admitted } = run;
        const hasSegments = (admitted.call.sharedSegments ?? []).length > 0;
        if (!hasSegments && (admitted.body?.length ?? 0) > MAX_FINGERPRINTED_BYTES) {
            return;
        }
        const crash = createCrash(admitted, upstream, output);
        this.unconfirmed.push({ upstreams: [upstream], crash, atMs: this.options.getNowMs() });
        this.unconfirmed.splice(0, this.unconfirmed.length - MAX_UNCONFIRMED);
    }

    /**
     * Records that an upstream has begun a response.
     * @param upstream - its incarnation
     */
    recordResponse(upstream: string): void {
        if (this.unconfirmed.length > 0) {
            this.respondedMs.set(upstream, this.options.getNowMs());
        }
    }

    /**
     * Records that a request completed and its upstream survived.
     * @param admitted - the request
     */
    recordCompletion(admitted: AdmittedCall): void {
        this.segments.recordCompletion(admitted.call.sharedSegments ?? []);
        const isTracked = this.originKeys.has(getOriginKey(admitted));
        if (!isTracked && (admitted.body?.length ?? 0) > MAX_FINGERPRINTED_BYTES) {
            return;
        }
        this.completeRequest(computeFingerprint(admitted));
    }

    /**
     * Applies a state update from the leader.
     * @param state - changed records, or all of them
     */
    applyState(state: Pick<SynchronisedState, "is_whole" | "crashes" | "crashes_forgotten" | "segments">): void {
        this.segments.applyStatuses(state.segments);
        const { is_whole, crashes = [], crashes_forgotten = [] } = state;
        if (is_whole) {
            this.clusterRecords.clear();
        }
        crashes_forgotten.forEach((fingerprint) => {
            this.clusterRecords.delete(fingerprint);
            this.localRecords.delete(fingerprint);
        });
        crashes.forEach((record) => {
            this.clusterRecords.set(record.fingerprint, record);
            if (this.hasCompletedRecently(record.fingerprint)) {
                this.clearRecord(record.fingerprint);
            }
        });
        if (is_whole || crashes.length > 0 || crashes_forgotten.length > 0) {
            this.indexOrigins();
        }
        this.resolvePending();
    }

    private findQuarantiningSegment({ call }: AdmittedCall): string | undefined {
        return this.segments.findQuarantining(call.sharedSegments ?? []);
    }

    private isRequestQuarantined(admitted: AdmittedCall): boolean {
        if (!this.originKeys.has(getOriginKey(admitted))) {
            return false;
        }
        const fingerprint = computeFingerprint(admitted);
        const record = this.findRecord(fingerprint);
        return record !== undefined && isRequestQuarantined(record) && !this.hasCompletedRecently(fingerprint);
    }

    private needsRequestGrant(admitted: AdmittedCall): boolean {
        return this.originKeys.has(getOriginKey(admitted)) && this.isGrantNeeded(computeFingerprint(admitted));
    }

    private completeRequest(fingerprint: string): void {
        this.rememberCompletion(fingerprint);
        if (this.findRecord(fingerprint) !== undefined) {
            this.clearRecord(fingerprint);
        }
    }

    private addCrash(crash: ReportedCrash): void {
        const { fingerprint, upstream, had_progress, origin } = crash;
        const existing = this.localRecords.get(fingerprint);
        const record = existing ?? { fingerprint, origin, silent: [], midway: [], trials: 0, changed_at_ms: 0 };
        if ([...record.silent, ...record.midway].includes(upstream)) {
            return;
        }
        (had_progress ? record.midway : record.silent).push(upstream);
        this.localRecords.delete(fingerprint);
        this.localRecords.set(fingerprint, record);
        if (this.localRecords.size > MAX_LOCAL_RECORDS) {
            this.localRecords.delete([...this.localRecords.keys()][0] ?? "");
        }
        this.originKeys.add(formatOriginKey(origin));
        const segments = this.segments.recordCrash(crash.segments ?? [], upstream, crash.is_late === true);
        this.options.log.record("info", "crash-recorded", {
            fingerprint,
            upstream,
            had_progress,
            is_late: crash.is_late,
            segments: segments.slice(0, MAX_LOGGED_SEGMENTS).join(","),
        });
        this.reports.addCrash({ ...crash, segments: [...segments] });
    }

    private isGrantNeeded(fingerprint: string): boolean {
        const record = this.findRecord(fingerprint);
        return record !== undefined && needsResendGrant(record) && !this.hasCompletedRecently(fingerprint);
    }

    /** Merges the record of the voters with crashes seen here that they may not know yet. */
    private findRecord(fingerprint: string): CrashRecord | undefined {
        const clusterRecord = this.clusterRecords.get(fingerprint);
        const localRecord = this.localRecords.get(fingerprint);
        if (clusterRecord === undefined || localRecord === undefined) {
            return clusterRecord ?? localRecord;
        }
        const silent = new Set([...clusterRecord.silent, ...localRecord.silent]);
        const midway = [...clusterRecord.midway, ...localRecord.midway].filter((id) => !silent.has(id));
        return { ...clusterRecord, silent: [...silent], midway: [...new Set(midway)] };
    }

    private resolvePending(): void {
        const nowMs = this.options.getNowMs();
        this.unanswered = this.unanswered.filter((one) =>
            nowMs - one.atMs <= UNANSWERED_WINDOW_MS && !this.resolveCrash(one)
        );
        this.unconfirmed = this.unconfirmed.filter((one) => !this.resolveUnconfirmed(one, nowMs));
        for (const upstream of this.respondedMs.keys()) {
            if (this.unconfirmed.length === 0 || this.options.hasEnded(upstream)) {
                this.respondedMs.delete(upstream);
            }
        }
    }

    private resolveUnconfirmed(pending: PendingCrash, nowMs: number): boolean {
        const { crash, atMs } = pending;
        const respondedMs = this.respondedMs.get(crash.upstream) ?? Number.NEGATIVE_INFINITY;
        if (respondedMs > atMs + REORDERING_MS || nowMs - atMs > UNCONFIRMED_WINDOW_MS) {
            this.segments.recordCompletion(crash.segments ?? []);
            this.completeRequest(crash.fingerprint);
            return true;
        }
        // A long response was probably whole, though its upstream has ended soon after it.
        const isUnknown = this.options.isLeaving(crash.upstream)
            || (crash.is_late === true && this.options.hasEnded(crash.upstream));
        return isUnknown || this.resolveCrash(pending);
    }

    /** Records the crash if one of the upstreams has ended. */
    private resolveCrash({ upstreams, crash }: PendingCrash): boolean {
        const ended = upstreams.find((id) => this.options.hasEnded(id));
        if (ended !== undefined) {
            this.addCrash({ ...crash, upstream: ended });
        }
        return ended !== undefined;
    }

    private rememberCompletion(fingerprint: string): void {
        this.completions.delete(fingerprint);
        this.completions.set(fingerprint, this.options.getNowMs());
        if (this.completions.size > MAX_COMPLETIONS) {
            this.completions.delete([...this.completions.keys()][0] ?? "");
        }
    }

    private hasCompletedRecently(fingerprint: string): boolean {
        const atMs = this.completions.get(fingerprint);
        return atMs !== undefined && this.options.getNowMs() - atMs <= COMPLETION_MEMORY_MS;
    }

    private clearRecord(fingerprint: string): void {
        this.localRecords.delete(fingerprint);
        this.reports.drop(fingerprint);
        if (this.clusterRecords.delete(fingerprint)) {
            this.reports.addCompletion(fingerprint);
        }
        this.indexOrigins();
    }

    private indexOrigins(): void {
        const records = [...this.clusterRecords.values(), ...this.localRecords.values()];
        this.originKeys = new Set(records.map(({ origin }) => formatOriginKey(origin)));
    }
}

function createCrash(
    admitted: AdmittedCall,
    upstream: string,
    { hadProgress, outputMs }: AttemptOutput,
): ReportedCrash {
    const { call, organisation } = admitted;
    const origin = { host: call.host, target: call.target };
    return {
        fingerprint: computeFingerprint(admitted),
        upstream,
        had_progress: hadProgress,
        origin: organisation === undefined ? origin : { ...origin, organisation: organisation.name },
        segments: [...call.sharedSegments ?? []],
        is_late: outputMs >= LATE_OUTPUT_MS,
    };
}

function getOriginKey({ call, organisation }: AdmittedCall): string {
    return formatOriginKey({ organisation: organisation?.name, host: call.host, target: call.target });
}

function formatOriginKey(
    { organisation, host, target }: { organisation?: string | undefined; host: string; target: string; },
): string {
    return `${organisation ?? ""}\0${host}${target}`;
}
