/**
 * The replicated registry of upstreams: heartbeats, ends, silence, and the layers and slowness that engines report. Only a leader
 * that holds its lease accepts updates.
 */
import type { ReplicaEvent } from "@crankfork/coordination";
import { type AddressHolder, classifyHeartbeat, type HeartbeatVerdict } from "@crankfork/decisions";
import {
    type FleetCommand,
    formatIncarnationId,
    getIncarnation,
    isEarlierIncarnation,
    type LayerSpan,
    layerSpanSchema,
    matchesStart,
    type RegisteredUpstream,
    type UpstreamFacts,
    type UpstreamIncarnation,
    type UpstreamLoss,
    type UpstreamStatus,
} from "@crankfork/schemas";
import type { EventLog } from "../eventLog.js";
import { formatSpan, isSameSpan } from "../layers/layerSpans.js";
import { ReleasedLayers } from "../layers/releasedLayers.js";
import { ReportedLayers } from "../layers/reportedLayers.js";
import { runForEach, startTask } from "../startTask.js";
import { createNotLeaderResult, type ProposalOptions, proposeChange, type VoterResult } from "./fleetProposal.js";

/** A heartbeat from an upstream. */
export interface UpstreamHeartbeat {
    readonly facts: UpstreamFacts;
    readonly status: UpstreamStatus;
    /** Increases with each heartbeat of one incarnation. */
    readonly sequence: number;
}

/** Dependencies of {@link UpstreamRegistry}. */
export interface UpstreamRegistryOptions extends ProposalOptions {
    readonly log: EventLog;
    /** Interval between two heartbeats of an upstream. */
    readonly heartbeatMs: number;
    /** When the machine last resumed from sleep; omitted if sleep is not detected. */
    readonly getLastResumeMs?: () => number;
    /** Whether the operator's document names a service; true while there is no document. */
    readonly isServiceNamed: (service: string) => boolean;
    /** Returns the share of the time since the last call for which the event loop was busy, 0 to 1; never busy if absent. */
    readonly takeLoopUse?: () => number;
    /** Called when the shutdown or the end of an upstream was committed. */
    readonly handleShutdown?: (id: string) => void;
}

/** Missed heartbeats after which an upstream is marked lost; heartbeats may be delayed by seconds. */
const MAX_MISSED_HEARTBEATS = 4;
/** From this use of the event loop on, heartbeats that have arrived may wait unread, so that the time does not count as silence. */
const SATURATED_LOOP_USE = 0.95;
/** Multiple of the time without heartbeats after which an upstream is marked lost although this process was saturated. */
const MAX_SATURATION_FACTOR = 3;
/** Heartbeat intervals after which an upstream without start time gives up its address to another one that reports it. */
const ADDRESS_HOLD_HEARTBEATS = 1.5;
/** Heartbeat intervals after which a lost upstream is removed if another one holds its address; longer than a partition. */
const REPLACED_HEARTBEATS = 8;

interface ReceivedHeartbeat {
    heardMs: number;
    /** `saturatedMs` of the registry at that time. */
    saturatedMs: number;
    sequence: number;
}

interface PendingLayers {
    readonly held: LayerSpan | undefined;
    readonly commit: Promise<unknown>;
}

/** Maintains the registry of upstreams. */
export class UpstreamRegistry {
    private readonly lastHeartbeats = new Map<string, ReceivedHeartbeat>();
    /** Upstreams whose loss has been proposed and not yet committed. */
    private readonly pendingLosses = new Set<string>();
    /** Changes of upstreams, found by reports or silence, whose commit is pending. */
    private readonly pendingChanges = new Map<string, Promise<unknown>>();
    /** Changes of held layers whose commit is pending. */
    private readonly pendingLayers = new Map<string, PendingLayers>();
    private readonly releasedLayers = new ReleasedLayers();
    private readonly reportedLayers = new ReportedLayers();
    private electedMs = 0;
    private checkedMs: number | undefined;
    /** Total time for which the event loop was saturated. */
    private saturatedMs = 0;
    private electedSaturatedMs = 0;

    /**
     * @param options - replica, log and clock
     */
    constructor(private readonly options: UpstreamRegistryOptions) {}

    /**
     * Handles an event of the replica. A newly elected leader has not received any heartbeat yet.
     * @param event - the event
     */
    handleReplicaEvent(event: ReplicaEvent): void {
        if (event.kind === "role" && event.role === "leader") {
            this.electedMs = this.options.getNowMs();
            this.electedSaturatedMs = this.saturatedMs;
            this.lastHeartbeats.clear();
            this.releasedLayers.reset();
            this.reportedLayers.reset();
        }
    }

    /**
     * Handles a heartbeat. Changes are acknowledged once a quorum has committed them.
     * @param heartbeat - facts, status and sequence number
     * @returns done if the heartbeat was accepted, or was too old to change anything; `invalid` if the state refuses one of its
     * values, in which case it counts as none
     */
    async registerUpstream(heartbeat: UpstreamHeartbeat): Promise<VoterResult<undefined>> {
        const { host, log } = this.options;
        if (!host.replica.hasLeaderLease()) {
            return createNotLeaderResult(host);
        }
        const { status } = heartbeat;
        const parsed = host.state.parse({ kind: "put-upstream", facts: heartbeat.facts, status });
        if (parsed.kind === "invalid") {
            log.record("warn", "heartbeat-refused", { field: parsed.field, reason: parsed.reason });
            return parsed;
        }
        const verdict = this.evaluateHeartbeat(heartbeat.facts);
        const present = host.state.getUpstream(heartbeat.facts.id);
        if (verdict.kind !== "taken") {
            if (verdict.reason === "address-in-use" && present !== undefined) {
                this.recordHeartbeat(heartbeat.facts.id, heartbeat.sequence);
            }
            return this.rejectHeartbeat(heartbeat, verdict);
        }
        const isNewer = this.recordHeartbeat(heartbeat.facts.id, heartbeat.sequence);
        // Slowness is known from reports only; heartbeats do not carry it.
        const held = isNewer
            ? this.reportedLayers.resolveHeldLayers(
                heartbeat.facts.id,
                this.releasedLayers.getHeldLayers(heartbeat.facts),
            )
            : undefined;
        const facts = { ...heartbeat.facts, held, slowness: present?.slowness };
        // Leaving is final for an incarnation: a "ready" heartbeat was sent earlier, or the upstream announces leaving only in
        // answers.
        const hasLeft = present?.status === "leaving" && status === "ready";
        if (!isNewer || hasLeft || !hasChanged(present, facts, status)) {
            return { kind: "done", value: undefined };
        }
        this.replaceOthersAt(facts);
        const result = await proposeChange(this.options, { kind: "put-upstream", facts, status });
        log.record("info", "upstream", {
            peer: facts.id,
            address: facts.address,
            status,
            held: formatSpan(facts),
            sequence: heartbeat.sequence,
            outcome: result.kind,
        });
        if (status === "leaving" && result.kind === "done") {
            this.options.handleShutdown?.(facts.id);
        }
        return result;
    }

    private evaluateHeartbeat(facts: UpstreamFacts): HeartbeatVerdict {
        const { host: { state }, isServiceNamed } = this.options;
        const incarnation = getIncarnation(facts);
        const present = state.getUpstream(facts.id);
        return classifyHeartbeat({
            incarnation,
            service: facts.service,
            latest: state.getLatestIncarnation(incarnation.name),
            hasEnded: state.hasEnded(incarnation),
            registeredService: present?.service,
            findHolder: () =>
                present?.address === facts.address && present.status !== "lost" ? undefined : this.findHolder(facts),
            countServiceUpstreams: () => this.countPeers(facts.service),
            isServiceNamed: isServiceNamed(facts.service),
        });
    }

    private countPeers(service: string): { readonly all: number; readonly tellStart: number; } {
        const peers = this.options.host.state.listUpstreams().filter((one) => one.service === service);
        return {
            all: peers.length,
            tellStart: peers.filter((one) => getIncarnation(one).started_at_ms !== undefined).length,
        };
    }

    private rejectHeartbeat(
        { facts, status, sequence }: UpstreamHeartbeat,
        verdict: Exclude<HeartbeatVerdict, { kind: "taken"; }>,
    ): VoterResult<undefined> {
        const { host, log } = this.options;
        const { name, started_at_ms } = getIncarnation(facts);
        const latest = host.state.getLatestIncarnation(name);
        log.record(verdict.kind === "foreign" ? "warn" : "info", "heartbeat-passed-over", {
            peer: facts.id,
            address: facts.address,
            status,
            sequence,
            started_at_ms,
            latest_started_at_ms: latest?.started_at_ms,
            reason: verdict.reason,
        });
        return verdict.kind === "foreign" ? verdict : { kind: "done", value: undefined };
    }

    /**
     * Removes an upstream: this incarnation of it has ended.
     * @param name - the name under which it registered
     * @param startedAtMs - when it started; its latest incarnation if omitted
     * @returns done once a quorum has committed the removal
     */
    async removeUpstream(name: string, startedAtMs?: number): Promise<VoterResult<undefined>> {
        const { host } = this.options;
        if (!host.replica.hasLeaderLease()) {
            return createNotLeaderResult(host);
        }
        const incarnation: UpstreamIncarnation = startedAtMs === undefined
            ? host.state.getLatestIncarnation(name) ?? { name }
            : { name, started_at_ms: startedAtMs };
        return host.state.hasEnded(incarnation)
            ? { kind: "done", value: undefined }
            : await this.endIncarnation(incarnation, "deregistered by the upstream");
    }

    /**
     * Checks which incarnation a report belongs to. A report with a later start ends the known incarnation; the new one is
     * registered by its own heartbeat, since a report does not carry its name.
     * @param upstream - the upstream that was queried
     * @param startedAtMs - the start time in the report
     * @returns true if the report belongs to the expected incarnation
     */
    recordReportedStart(upstream: RegisteredUpstream, startedAtMs: number | undefined): boolean {
        const incarnation = getIncarnation(upstream);
        if (matchesStart(incarnation, startedAtMs)) {
            return true;
        }
        if (
            startedAtMs !== undefined
            && isEarlierIncarnation(incarnation, { name: incarnation.name, started_at_ms: startedAtMs })
        ) {
            const reason = `report from its address has a later start time, ${String(startedAtMs)}`;
            startTask("upstream-change", () => this.endIncarnation(incarnation, reason));
        }
        return false;
    }

    /**
     * Records that an upstream is leaving, which it announced in an answer before, or instead of, a heartbeat.
     * @param id - the incarnation that is leaving
     * @param heardBy - the instance that received the answer, for the log
     * @returns true once a quorum has committed it, or if the incarnation has already ended
     */
    async recordLeavingNotice(id: string, heardBy: string): Promise<boolean> {
        const { host, log } = this.options;
        if (!host.replica.hasLeaderLease()) {
            return false;
        }
        const present = host.state.getUpstream(id);
        if (present === undefined || present.status === "leaving") {
            return true;
        }
        const { status: before, ...facts } = present;
        const result = await proposeChange(this.options, { kind: "put-upstream", facts, status: "leaving" });
        log.record("info", "upstream-leaving-reported", { peer: id, heard_by: heardBy, before, outcome: result.kind });
        if (result.kind === "done") {
            this.options.handleShutdown?.(id);
        }
        return result.kind === "done";
    }

    private async endIncarnation(incarnation: UpstreamIncarnation, reason: string): Promise<VoterResult<undefined>> {
        const { host, log } = this.options;
        if (host.state.hasEnded(incarnation)) {
            return { kind: "done", value: undefined };
        }
        const id = formatIncarnationId(incarnation);
        const result = await this.proposeUpstreamChange(id, { kind: "remove-upstream", id, life: incarnation });
        log.record("info", "upstream-removed", { peer: id, reason, outcome: result.kind });
        if (result.kind === "done") {
            this.options.handleShutdown?.(id);
        }
        return result;
    }

    /** Marks upstreams lost whose heartbeats have stopped; call it periodically. */
    markSilentUpstreams(): void {
        const { host, getNowMs, heartbeatMs, getLastResumeMs } = this.options;
        this.measureSaturation();
        if (!host.replica.hasLeaderLease()) {
            return;
        }
        const lastResumeMs = getLastResumeMs?.() ?? Number.NEGATIVE_INFINITY;
        const limitMs = heartbeatMs * MAX_MISSED_HEARTBEATS;
        const present = host.state.listUpstreams().filter((upstream) => upstream.status !== "lost");
        runForEach("silence-check", present, (upstream) => {
            // No heartbeats arrive while the machine sleeps; without this, all upstreams would be marked lost when it resumes.
            const silentMs = getNowMs() - Math.max(this.getHeardMs(upstream.id), lastResumeMs);
            const readMs = silentMs - this.getSaturatedMsSinceHeard(upstream.id);
            if (readMs > limitMs || silentMs > limitMs * MAX_SATURATION_FACTOR) {
                this.markLost(upstream, "silent", `no heartbeat for ${String(Math.round(silentMs))} ms`);
            }
        });
        startTask("silence-check", () => {
            this.removeReplacedUpstreams();
        });
        this.reportedLayers.prune((id) => host.state.getUpstream(id) !== undefined);
    }

    private measureSaturation(): void {
        const { getNowMs, takeLoopUse } = this.options;
        const nowMs = getNowMs();
        const isSaturated = (takeLoopUse?.() ?? 0) >= SATURATED_LOOP_USE;
        this.saturatedMs += isSaturated ? nowMs - (this.checkedMs ?? nowMs) : 0;
        this.checkedMs = nowMs;
    }

    private getSaturatedMsSinceHeard(id: string): number {
        return this.saturatedMs - (this.lastHeartbeats.get(id)?.saturatedMs ?? this.electedSaturatedMs);
    }

    /** Removes upstreams that have been lost for so long that the one which now holds their address has replaced them. */
    private removeReplacedUpstreams(): void {
        const { host, getNowMs, heartbeatMs } = this.options;
        const heardBeforeMs = getNowMs() - heartbeatMs * REPLACED_HEARTBEATS;
        const upstreams = host.state.listUpstreams();
        const lost = upstreams.filter(({ id, status }) =>
            status === "lost" && this.getHeardMs(id) < heardBeforeMs && !this.pendingChanges.has(id)
        );
        if (lost.length === 0) {
            return;
        }
        const holders = new Map(upstreams.filter((one) => this.isHeard(one)).map((one) => [one.address, one.id]));
        lost.forEach((upstream) => {
            const holderId = holders.get(upstream.address);
            if (holderId !== undefined) {
                const reason = `replaced at its address by ${holderId}`;
                startTask("upstream-change", () => this.endIncarnation(getIncarnation(upstream), reason));
            }
        });
    }

    /** When an upstream was last heard; a new leader counts from its election. */
    private getHeardMs(id: string): number {
        return this.lastHeartbeats.get(id)?.heardMs ?? this.electedMs;
    }

    /** Whether an upstream was heard so recently that it holds its address. */
    private isHeard({ id, status }: RegisteredUpstream): boolean {
        const { getNowMs, heartbeatMs } = this.options;
        return status !== "lost" && getNowMs() - this.getHeardMs(id) < heartbeatMs * ADDRESS_HOLD_HEARTBEATS;
    }

    /**
     * Marks an upstream lost until its next heartbeat; one that was lost for its silence may be marked as gone.
     * @param upstream - the upstream
     * @param loss - whether it is certain that it has ended
     * @param reason - the observed fault, for the log
     */
    markLost(upstream: RegisteredUpstream, loss: UpstreamLoss, reason: string): void {
        const { status, ...facts } = upstream;
        const isKnown = status === "lost" && (facts.loss !== "silent" || loss === "silent");
        if (isKnown || this.pendingLosses.has(facts.id)) {
            return;
        }
        this.options.log.record("warn", "upstream-lost", { peer: facts.id, address: facts.address, loss, reason });
        const command: FleetCommand = status === "leaving"
            ? { kind: "remove-upstream", id: facts.id, life: getIncarnation(facts) }
            : { kind: "put-upstream", facts: { ...facts, loss }, status: "lost" };
        this.pendingLosses.add(facts.id);
        startTask(
            "upstream-change",
            () => this.proposeUpstreamChange(facts.id, command).finally(() => this.pendingLosses.delete(facts.id)),
        );
    }

    /**
     * Waits until a change that a report or silence showed is committed, so that entries learn of it from the state.
     * @param id - the upstream
     */
    async awaitChange(id: string): Promise<void> {
        await this.pendingChanges.get(id);
    }

    private async proposeUpstreamChange(id: string, command: FleetCommand): Promise<VoterResult<undefined>> {
        const change = proposeChange(this.options, command);
        this.pendingChanges.set(id, change);
        return await change.finally(() => {
            if (this.pendingChanges.get(id) === change) {
                this.pendingChanges.delete(id);
            }
        });
    }

    /**
     * Records the layers that an engine reports.
     * @param upstream - the engine
     * @param held - the layers
     * @returns resolves once the change is committed or has failed, or if the state refuses the layers
     */
    async recordHeldLayers(upstream: RegisteredUpstream, held: LayerSpan | undefined): Promise<void> {
        if (held !== undefined && !layerSpanSchema.safeParse(held).success) {
            this.options.log.record("warn", "layers-refused", { peer: upstream.id, held: formatSpan({ held }) });
            return;
        }
        this.reportedLayers.record(upstream.id, held);
        await this.commitHeldLayers(upstream, held);
    }

    /** A change that is already pending is not proposed again. */
    private async commitHeldLayers({ id }: RegisteredUpstream, held: LayerSpan | undefined): Promise<void> {
        const present = this.options.host.state.getUpstream(id);
        if (present === undefined || isSameSpan(present.held, held)) {
            return;
        }
        const pending = this.pendingLayers.get(id);
        if (pending !== undefined && isSameSpan(pending.held, held)) {
            await pending.commit;
            return;
        }
        const { status, ...facts } = present;
        const commit = this.proposeUpstreamChange(id, { kind: "put-upstream", facts: { ...facts, held }, status });
        const change = { held, commit };
        this.pendingLayers.set(id, change);
        await commit.finally(() => {
            if (this.pendingLayers.get(id) === change) {
                this.pendingLayers.delete(id);
            }
        });
    }

    /**
     * Records that an engine is releasing all its layers. Requests sent to it would be declined, or delay the load of its new
     * layers.
     * @param upstream - the engine
     */
    recordReleasedLayers(upstream: RegisteredUpstream): void {
        if (upstream.held !== undefined) {
            this.releasedLayers.record(upstream.id, upstream.held);
            startTask("held-layers", () => this.commitHeldLayers(upstream, undefined));
        }
    }

    /**
     * Records how slow an engine reports itself to be.
     * @param upstream - the engine
     * @param slowness - how many times slower than its nominal speed
     */
    recordSlowness(upstream: RegisteredUpstream, slowness: number): void {
        const present = this.options.host.state.getUpstream(upstream.id);
        if (present === undefined) {
            return;
        }
        const { status, ...facts } = present;
        this.options.log.record("info", "upstream-pace", { peer: upstream.id, slowness, before: present.slowness });
        const command: FleetCommand = { kind: "put-upstream", facts: { ...facts, slowness }, status };
        startTask("upstream-change", () => proposeChange(this.options, command));
    }

    /** Tells whether a heartbeat is newer than all others received from its upstream. */
    private recordHeartbeat(id: string, sequence: number): boolean {
        const last = this.lastHeartbeats.get(id);
        const isNewer = last === undefined || sequence > last.sequence;
        if (isNewer) {
            const { saturatedMs } = this;
            this.lastHeartbeats.set(id, { heardMs: this.options.getNowMs(), saturatedMs, sequence });
        }
        return isNewer;
    }

    /**
     * An address is reused only after the upstream that had it before has ended. Unless both report their start times, it is not
     * certain which of the two has; the other one may register again.
     */
    private replaceOthersAt(facts: UpstreamFacts): void {
        const hasStart = getIncarnation(facts).started_at_ms !== undefined;
        const reason = `replaced at its address by ${facts.id}`;
        this.listOthersAtAddress(facts).forEach((other) => {
            if (hasStart && getIncarnation(other).started_at_ms !== undefined) {
                startTask("upstream-change", () => this.endIncarnation(getIncarnation(other), reason));
            }
            else {
                this.markLost(other, "gone", reason);
            }
        });
    }

    private findHolder(facts: UpstreamFacts): AddressHolder | undefined {
        const others = this.listOthersAtAddress(facts);
        const holder = others.find(({ status }) => status !== "lost") ?? others[0];
        if (holder === undefined) {
            return undefined;
        }
        return { incarnation: getIncarnation(holder), isHeard: this.isHeard(holder) };
    }

    /**
     * Upstreams with other names at the same address; a later incarnation of the same name supersedes the earlier one by itself.
     */
    private listOthersAtAddress(facts: UpstreamFacts): readonly RegisteredUpstream[] {
        const { name } = getIncarnation(facts);
        return this.options.host.state.listUpstreams()
            .filter((other) => other.address === facts.address && getIncarnation(other).name !== name);
    }
}

function hasChanged(present: RegisteredUpstream | undefined, facts: UpstreamFacts, status: UpstreamStatus): boolean {
    return present === undefined
        || present.status !== status
        || !isSameSpan(present.held, facts.held)
        || present.address !== facts.address
        || present.slots !== facts.slots;
}
