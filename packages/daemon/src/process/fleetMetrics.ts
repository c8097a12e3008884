/**
 * Counters and histograms of entries and voters, exposed over HTTP in the Prometheus text format.
 */
import type { RetryAfterChange } from "@crankfork/decisions";
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { LimitChange } from "./upstreamRateLimits.js";

/** Functions that record metrics. */
export interface FleetMetrics {
    /** `rank` is given for refusals of services whose demand is reported. */
    readonly countRequest: (service: string, outcome: string, rank?: number) => void;
    /**
     * A response ended before its end: how its last attempt ended, and why there was no other, or the refusal that ended
     * it.
     */
    readonly countCutResponse: (service: string, attempt: string, cause: string) => void;
    /** Share of the room of a service that a class may take. */
    readonly recordClassRoom: (service: string, rank: number, share: number) => void;
    /** The service is no longer configured. */
    readonly removeClassRoom: (service: string, rank: number) => void;
    readonly recordRequestMs: (service: string, durationMs: number) => void;
    readonly countSuspicion: () => void;
    /** An upstream asked this instance to back off. */
    readonly countBackoff: (change: RetryAfterChange) => void;
    /** A send was suppressed because its upstream is backing off, or no permit is left under its rate limit. */
    readonly countSuppressedSend: () => void;
    /** A send was made although its upstream is backing off; this should never happen. */
    readonly countSendDuringBackoff: () => void;
    /** An upstream announced in an answer that it is leaving. */
    readonly countLeavingNotice: () => void;
    /** An upstream announced, changed or ended a rate limit. */
    readonly countLimitChange: (change: LimitChange) => void;
    /** Number of upstreams with a rate limit known to this instance. */
    readonly recordLimitCount: (count: number) => void;
    /** Number of send permits for rate-limited upstreams that this instance holds. */
    readonly recordPermitsHeld: (count: number) => void;
    /** A send exceeded its upstream's rate limit; this should never happen. */
    readonly countSendOverLimit: () => void;
    readonly countHeartbeat: (outcome: string) => void;
    readonly recordRole: (isLeader: boolean) => void;
    readonly countPeerBytes: (method: string, bytes: number) => void;
    /** A request to another instance failed. */
    readonly countPeerFailure: (method: string, failure: string) => void;
    readonly countPeerResponse: (method: string, end: string) => void;
    readonly countResentEntries: (entries: number) => void;
    /** A command was proposed to the log. */
    readonly countProposal: (kind: string) => void;
    readonly recordCommitMs: (durationMs: number) => void;
    /** A version of the operator's document was activated here; measured from when its leader applied it. */
    readonly recordApplyMs: (durationMs: number) => void;
    /** A request was admitted; `ageMs` is the time since a leader confirmed the document version. */
    readonly recordAdmissionAgeMs: (ageMs: number, isOverdue: boolean) => void;
    readonly recordLoopDelayMs: (delayMs: number) => void;
    /** Share of the last second for which the event loop was busy, 0 to 1. */
    readonly recordLoopUse: (use: number) => void;
    /** Number of pairs of failure domains whose links lose packets. */
    readonly recordLossyLinks: (count: number) => void;
    /** Sets how the unread bytes of all responses are read; they are read whenever metrics are formatted. */
    readonly observeUnreadBytes: (read: () => number) => void;
    /** An upstream was paused because its caller does not read. */
    readonly countReaderPause: () => void;
    /** Whether this entry is cut off from all upstreams. */
    readonly recordCutOff: (isCutOff: boolean) => void;
    /** A request was sent through another entry, or received from one. */
    readonly countRelayedRequest: (side: "sent" | "received", outcome: string) => void;
    /** Time for which a request of another entry was open here. */
    readonly recordRelayedRequestMs: (durationMs: number) => void;
    /** Upstreams that sent bytes to this entry in the last second, and others that it sent requests to. */
    readonly recordUpstreamContact: (counts: { readonly answering: number; readonly unanswered: number; }) => void;
    /** Prompt segments under which upstreams crashed, according to the voters. */
    readonly recordSegmentCounts: (counts: { readonly suspected: number; readonly quarantined: number; }) => void;
    /** A task threw or rejected, and lost its own work only. */
    readonly countTaskFailure: (task: string) => void;
    /** Formats all metrics in the text format that a scraper reads. */
    readonly format: () => Promise<string>;
}

/** Bucket bounds of the latency histograms in milliseconds, from a plain call to the longest stream. */
const LATENCY_BOUNDS_MS = [10, 25, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400, 12_800, 25_600];

/**
 * Opens the metrics registry.
 * @param instance - label of every time series
 * @returns functions that record metrics
 */
export function openFleetMetrics(instance: string): FleetMetrics {
    const registry = new Registry();
    registry.setDefaultLabels({ instance });
    const registers = [registry];
    const requests = new Counter({
        name: "crankfork_requests_total",
        help: "Requests by service and outcome, refusals of ranked services also by rank",
        labelNames: ["service", "outcome", "rank"],
        registers,
    });
    const taskFailures = new Counter({
        name: "crankfork_task_failures_total",
        help: "Tasks that failed by an exception, by name",
        labelNames: ["task"],
        registers,
    });
    const cutResponses = new Counter({
        name: "crankfork_responses_cut_total",
        help: "Responses that were begun and cut, by how the last attempt ended and why no other was made",
        labelNames: ["service", "attempt", "cause"],
        registers,
    });
    const classRoom = new Gauge({
        name: "crankfork_class_room",
        help: "Share of the room of a service that a class may take, from 0 to 1",
        labelNames: ["service", "rank"],
        registers,
    });
    const latency = new Histogram({
        name: "crankfork_request_ms",
        help: "Time from the arrival of a request to the end of its answer, in milliseconds",
        labelNames: ["service"],
        buckets: LATENCY_BOUNDS_MS,
        registers,
    });
    const suspicions = new Counter({
        name: "crankfork_upstream_suspicions_total",
        help: "Upstreams left out after a failure",
        registers,
    });
    const backoffs = new Counter({
        name: "crankfork_upstream_rests_total",
        help: "Answers by which upstreams asked this instance for rest, by what they changed",
        labelNames: ["change"],
        registers,
    });
    const suppressedSends = new Counter({
        name: "crankfork_upstream_sends_kept_back_total",
        help:
            "Requests, reports and orders that were not sent because their upstream rests, or has as many as it takes",
        registers,
    });
    const sendsDuringBackoff = new Counter({
        name: "crankfork_upstream_sends_during_rest_total",
        help: "Requests, reports and orders that were sent although their upstream rests; there should be none",
        registers,
    });
    const leavingNotices = new Counter({
        name: "crankfork_upstream_leaving_notices_total",
        help: "Lives of upstreams that said in an answer that they leave",
        registers,
    });
    const limitChanges = new Counter({
        name: "crankfork_upstream_limit_changes_total",
        help: "Limits that upstreams named, by what changed",
        labelNames: ["change"],
        registers,
    });
    const limits = new Gauge({
        name: "crankfork_upstream_limits",
        help: "Upstreams that have a limit, as this instance knows",
        registers,
    });
    const permitsHeld = new Gauge({
        name: "crankfork_upstream_sends_held",
        help: "Sends to upstreams with a limit that this instance holds",
        registers,
    });
    const sendsOverLimit = new Counter({
        name: "crankfork_upstream_sends_beyond_total",
        help: "Requests that were sent without a send left under their upstream's limit; there should be none",
        registers,
    });
    const heartbeats = new Counter({
        name: "crankfork_heartbeats_total",
        help: "Heartbeats of upstreams by outcome",
        labelNames: ["outcome"],
        registers,
    });
    const peerBytes = new Counter({
        name: "crankfork_peer_bytes_total",
        help: "Bytes of questions and answers sent to other instances, by method",
        labelNames: ["method"],
        registers,
    });
    const peerResponses = new Counter({
        name: "crankfork_peer_answers_total",
        help: "Answers to other instances, by method and whether whoever asked was still there at their end",
        labelNames: ["method", "end"],
        registers,
    });
    const peerFailures = new Counter({
        name: "crankfork_peer_failures_total",
        help: "Requests to other instances that failed, by method and kind of failure",
        labelNames: ["method", "failure"],
        registers,
    });
    const proposals = new Counter({
        name: "crankfork_proposals_total",
        help: "Commands proposed to the replicated log",
        labelNames: ["kind"],
        registers,
    });
    const resentEntries = new Counter({
        name: "crankfork_log_entries_resent_total",
        help: "Entries of the log that were sent once more because no answer came",
        registers,
    });
    const commit = new Histogram({
        name: "crankfork_commit_ms",
        help: "Time from a proposal to its commit, in milliseconds",
        buckets: LATENCY_BOUNDS_MS,
        registers,
    });
    const apply = new Histogram({
        name: "crankfork_config_apply_ms",
        help: "Time from the commit of the operator's document to its coming into force here, in milliseconds",
        buckets: LATENCY_BOUNDS_MS,
        registers,
    });
    const admissionAge = new Histogram({
        name: "crankfork_admission_age_ms",
        help: "Age of the leader's confirmation under which a request was admitted, in milliseconds",
        buckets: LATENCY_BOUNDS_MS,
        registers,
    });
    const overdueAdmissions = new Counter({
        name: "crankfork_admissions_overdue_total",
        help: "Requests admitted under a confirmation older than the time in which a version has to be in force",
        registers,
    });
    const loopDelay = new Gauge({
        name: "crankfork_loop_delay_ms",
        help: "Most that a timer of the last second was late, in milliseconds",
        registers,
    });
    const loopUse = new Gauge({
        name: "crankfork_loop_use",
        help: "Share of the last second for which the event loop was busy, from 0 to 1",
        registers,
    });
    const lossyLinks = new Gauge({
        name: "crankfork_lossy_links",
        help: "Pairs of failure domains whose links lose packets now, as this leader sees",
        registers,
    });
    const readerPauses = new Counter({
        name: "crankfork_readers_paused_total",
        help: "Upstreams that were paused because their callers did not read",
        registers,
    });
    let readUnreadBytes = (): number => 0;
    const unreadBytes = new Gauge({
        name: "crankfork_unread_bytes",
        help: "Bytes of answers that callers have not read yet",
        registers,
        collect: () => {
            unreadBytes.set(readUnreadBytes());
        },
    });
    const contact = new Gauge({
        name: "crankfork_upstreams_in_contact",
        help: "Upstreams with open or failed requests of this entry in the last second, by whether they sent any bytes",
        labelNames: ["state"],
        registers,
    });
    const segments = new Gauge({
        name: "crankfork_prompt_segments",
        help: "Prompt segments under which several upstreams crashed, by whether prompts with them are rejected",
        labelNames: ["state"],
        registers,
    });
    const cutOff = new Gauge({
        name: "crankfork_cut_off",
        help: "1 while this entry reaches no upstream and other entries do",
        registers,
    });
    const relayed = new Counter({
        name: "crankfork_relayed_requests_total",
        help: "Requests that were sent through another entry, or received from one, by outcome",
        labelNames: ["side", "outcome"],
        registers,
    });
    const relayedLatency = new Histogram({
        name: "crankfork_relayed_request_ms",
        help: "Time for which requests of other entries were open here, in milliseconds",
        buckets: LATENCY_BOUNDS_MS,
        registers,
    });
    const leading = new Gauge({ name: "crankfork_leading", help: "1 while this voter leads", registers });
    return {
        countTaskFailure: (task) => {
            taskFailures.inc({ task });
        },
        recordCutOff: (isCutOff) => {
            cutOff.set(isCutOff ? 1 : 0);
        },
        countRelayedRequest: (side, outcome) => {
            relayed.inc({ side, outcome });
        },
        recordRelayedRequestMs: (durationMs) => {
            relayedLatency.observe(durationMs);
        },
        recordUpstreamContact: ({ answering, unanswered }) => {
            contact.set({ state: "answering" }, answering);
            contact.set({ state: "unanswered" }, unanswered);
        },
        recordSegmentCounts: ({ suspected, quarantined }) => {
            segments.set({ state: "suspected" }, suspected);
            segments.set({ state: "quarantined" }, quarantined);
        },
        countRequest: (service, outcome, rank) => {
            requests.inc({ service, outcome, ...(rank === undefined ? {} : { rank: String(rank) }) });
        },
        countCutResponse: (service, attempt, cause) => {
            cutResponses.inc({ service, attempt, cause });
        },
        recordClassRoom: (service, rank, share) => {
            classRoom.set({ service, rank: String(rank) }, share);
        },
        removeClassRoom: (service, rank) => {
            classRoom.remove({ service, rank: String(rank) });
        },
        recordRequestMs: (service, durationMs) => {
            latency.observe({ service }, durationMs);
        },
        countSuspicion: () => {
            suspicions.inc();
        },
        countBackoff: (change) => {
            backoffs.inc({ change });
        },
        countSuppressedSend: () => {
            suppressedSends.inc();
        },
        countSendDuringBackoff: () => {
            sendsDuringBackoff.inc();
        },
        countLeavingNotice: () => {
            leavingNotices.inc();
        },
        countLimitChange: (change) => {
            limitChanges.inc({ change });
        },
        recordLimitCount: (count) => {
            limits.set(count);
        },
        recordPermitsHeld: (count) => {
            permitsHeld.set(count);
        },
        countSendOverLimit: () => {
            sendsOverLimit.inc();
        },
        countHeartbeat: (outcome) => {
            heartbeats.inc({ outcome });
        },
        recordRole: (isLeader) => {
            leading.set(isLeader ? 1 : 0);
        },
        countPeerBytes: (method, bytes) => {
            peerBytes.inc({ method }, bytes);
        },
        countPeerFailure: (method, failure) => {
            peerFailures.inc({ method, failure });
        },
        countPeerResponse: (method, end) => {
            peerResponses.inc({ method, end });
        },
        countResentEntries: (entries) => {
            resentEntries.inc(entries);
        },
        countProposal: (kind) => {
            proposals.inc({ kind });
        },
        recordCommitMs: (durationMs) => {
            commit.observe(durationMs);
        },
        recordApplyMs: (durationMs) => {
            apply.observe(durationMs);
        },
        recordAdmissionAgeMs: (ageMs, isOverdue) => {
            admissionAge.observe(ageMs);
            if (isOverdue) {
                overdueAdmissions.inc();
            }
        },
        recordLoopDelayMs: (delayMs) => {
            loopDelay.set(delayMs);
        },
        recordLoopUse: (use) => {
            loopUse.set(use);
        },
        recordLossyLinks: (count) => {
            lossyLinks.set(count);
        },
        observeUnreadBytes: (read) => {
            readUnreadBytes = read;
        },
        countReaderPause: () => {
            readerPauses.inc();
        },
        format: () => registry.metrics(),
    };
}
