/**
 * The upstreams of a fleet as its voters agree on them: heartbeats, ends, silence, and what reports tell of layers and pace.
 * Only a leader inside its lease takes what is said.
 */
import type { ReplicaEvent } from "@crankfork/coordination";
import { classifyHeartbeat, type HeartbeatVerdict } from "@crankfork/decisions";
import {
    type FleetCommand,
    formatIncarnationId,
    getIncarnation,
    isEarlierIncarnation,
    matchesStart,
    type RegisteredUpstream,
    type UpstreamFacts,
    type UpstreamIncarnation,
    type UpstreamStatus,
} from "@crankfork/schemas";
import type { EventLog } from "../eventLog.js";
import { GivenUpLayers } from "../layers/givenUpLayers.js";
import { formatSpan, isSameSpan } from "../layers/layerSpans.js";
import { createNotLeader, type ProposalOptions, proposeChange, type VoterResult } from "./fleetProposal.js";

/** A heartbeat of an upstream. */
export interface UpstreamHeartbeat {
    readonly facts: UpstreamFacts;
    readonly status: UpstreamStatus;
    /** Rises with each heartbeat of one life. */
    readonly sequence: number;
}

/** What the register is made with. */
export interface UpstreamRegisterOptions extends ProposalOptions {
    readonly log: EventLog;
    /** Between two heartbeats of an upstream. */
    readonly heartbeatMs: number;
    /** When the machine last woke; left out where it is not known to sleep. */
    readonly getWokeMs?: () => number;
    /** Whether the operator's document names a service; true as long as there is none. */
    readonly isServiceNamed: (service: string) => boolean;
}

/** Heartbeats that may be missing before an upstream counts as lost; they may come seconds late. */
const LOST_AFTER_HEARTBEATS = 4;

interface Hearing {
    heardMs: number;
    sequence: number;
}

/** Keeps the upstreams. */
export class UpstreamRegister {
    private readonly heard = new Map<string, Hearing>();
    /** Upstreams whose loss is on its way into the log. */
    private readonly beingMarked = new Set<string>();
    private readonly givenUp = new GivenUpLayers();
    private electedMs = 0;

    /**
     * @param options - replica, log and clock
     */
    constructor(private readonly options: UpstreamRegisterOptions) {}

    /**
     * Marks a change of the role: a new leader has heard nobody yet.
     * @param event - what the replica did
     */
    handleEvent(event: ReplicaEvent): void {
        if (event.kind === "role" && event.role === "leader") {
            this.electedMs = this.options.getNowMs();
            this.heard.clear();
            this.givenUp.reset();
        }
    }

    /**
     * Takes a heartbeat. Changes are acknowledged once a quorum holds them.
     * @param heartbeat - facts, status and sequence
     * @returns done where it was taken, or was too old to change anything
     */
    async registerUpstream(heartbeat: UpstreamHeartbeat): Promise<VoterResult<undefined>> {
        const { host, log } = this.options;
        if (!host.replica.hasLeaderLease()) {
            return createNotLeader(host);
        }
        const { status } = heartbeat;
        const verdict = this.judge(heartbeat.facts);
        if (verdict.kind !== "taken") {
            return this.passOver(heartbeat, verdict);
        }
        const isNews = this.recordHearing(heartbeat.facts.id, heartbeat.sequence);
        const present = host.state.getUpstream(heartbeat.facts.id);
        // Heartbeats do not tell it; reports do.
        const held = this.givenUp.readHeld(heartbeat.facts);
        const facts = { ...heartbeat.facts, held, slowness: present?.slowness };
        // Leaving is final for a life: a heartbeat that says otherwise was sent before, or by one that says so in its answers.
        const hasLeft = present?.status === "leaving" && status === "ready";
        if (!isNews || hasLeft || !isChange(present, facts, status)) {
            return { kind: "done", value: undefined };
        }
        this.removeFormerAt(facts);
        const result = await proposeChange(this.options, { kind: "put-upstream", facts, status });
        log.record("info", "upstream", {
            peer: facts.id,
            address: facts.address,
            status,
            held: formatSpan(facts),
            sequence: heartbeat.sequence,
            outcome: result.kind,
        });
        return result;
    }

    private judge(facts: UpstreamFacts): HeartbeatVerdict {
        const { host: { state }, isServiceNamed } = this.options;
        const life = getIncarnation(facts);
        const present = state.getUpstream(facts.id);
        return classifyHeartbeat({
            life,
            service: facts.service,
            latest: state.getLatestLife(life.name),
            hasEnded: state.hasEnded(life),
            registeredService: present?.service,
            findHolder: () => present?.address === facts.address ? undefined : this.findHolder(facts),
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

    private passOver(
        { facts, status, sequence }: UpstreamHeartbeat,
        verdict: Exclude<HeartbeatVerdict, { kind: "taken"; }>,
    ): VoterResult<undefined> {
        const { host, log } = this.options;
        const { name, started_at_ms } = getIncarnation(facts);
        const latest = host.state.getLatestLife(name);
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
     * Takes an upstream out: this life of it is over.
     * @param name - what it registers under
     * @param startedAtMs - when it started; where it doesn't say so, its latest life is meant
     * @returns done once a quorum holds it
     */
    async removeUpstream(name: string, startedAtMs?: number): Promise<VoterResult<undefined>> {
        const { host } = this.options;
        if (!host.replica.hasLeaderLease()) {
            return createNotLeader(host);
        }
        const life: UpstreamIncarnation = startedAtMs === undefined
            ? host.state.getLatestLife(name) ?? { name }
            : { name, started_at_ms: startedAtMs };
        return host.state.hasEnded(life) ? { kind: "done", value: undefined } : await this.endLife(life, "it said so");
    }

    /**
     * Notes which life a report tells of. What was known of an earlier one holds no more; the later one is used once its own
     * heartbeat names it, since a report does not say who it is of.
     * @param upstream - the upstream that was asked
     * @param startedAtMs - the start that its report tells
     * @returns true where the report is of the life that was meant
     */
    recordReportedStart(upstream: RegisteredUpstream, startedAtMs: number | undefined): boolean {
        const life = getIncarnation(upstream);
        if (matchesStart(life, startedAtMs)) {
            return true;
        }
        if (startedAtMs !== undefined && isEarlierIncarnation(life, { name: life.name, started_at_ms: startedAtMs })) {
            void this.endLife(life, `a report from its address tells of a later start, ${String(startedAtMs)}`);
        }
        return false;
    }

    /**
     * Takes an upstream's notice that it leaves, which it said in an answer and not, or not yet, in a heartbeat.
     * @param id - the life that said so
     * @param heardBy - the entry that it answered, for the log
     * @returns whether a quorum holds it, or has no use for it: the life is over
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
        return result.kind === "done";
    }

    private async endLife(life: UpstreamIncarnation, reason: string): Promise<VoterResult<undefined>> {
        const { host, log } = this.options;
        if (host.state.hasEnded(life)) {
            return { kind: "done", value: undefined };
        }
        const id = formatIncarnationId(life);
        const result = await proposeChange(this.options, { kind: "remove-upstream", id, life });
        log.record("info", "upstream-removed", { peer: id, reason, outcome: result.kind });
        return result;
    }

    /** Marks upstreams that were silent for too long; call it now and then. */
    markSilent(): void {
        const { host, getNowMs, heartbeatMs, getWokeMs } = this.options;
        if (!host.replica.hasLeaderLease()) {
            return;
        }
        const wokeMs = getWokeMs?.() ?? Number.NEGATIVE_INFINITY;
        const limitMs = heartbeatMs * LOST_AFTER_HEARTBEATS;
        host.state.listUpstreams().filter((upstream) => upstream.status !== "lost").forEach((upstream) => {
            // Nothing was heard while the machine slept: all upstreams would be lost at once when it wakes.
            const heardMs = Math.max(this.heard.get(upstream.id)?.heardMs ?? this.electedMs, wokeMs);
            const silentMs = getNowMs() - heardMs;
            if (silentMs > limitMs) {
                this.markLost(upstream, `silent for ${String(Math.round(silentMs))} ms`);
            }
        });
    }

    /**
     * Marks an upstream as lost, until its next heartbeat.
     * @param upstream - the upstream
     * @param reason - what was seen, for the log
     */
    markLost(upstream: RegisteredUpstream, reason: string): void {
        const { status, ...facts } = upstream;
        if (status === "lost" || this.beingMarked.has(facts.id)) {
            return;
        }
        this.options.log.record("warn", "upstream-lost", { peer: facts.id, address: facts.address, reason });
        this.beingMarked.add(facts.id);
        const command: FleetCommand = status === "leaving"
            ? { kind: "remove-upstream", id: facts.id, life: getIncarnation(facts) }
            : { kind: "put-upstream", facts, status: "lost" };
        void proposeChange(this.options, command).finally(() => this.beingMarked.delete(facts.id));
    }

    /**
     * Notes which layers an engine holds, as its report says.
     * @param upstream - the engine
     * @param held - the layers
     */
    recordHeld(upstream: RegisteredUpstream, held: RegisteredUpstream["held"]): void {
        const present = this.options.host.state.getUpstream(upstream.id);
        if (present === undefined) {
            return;
        }
        const { status, ...facts } = present;
        void proposeChange(this.options, { kind: "put-upstream", facts: { ...facts, held }, status });
    }

    /**
     * Notes that an engine gives up all that it holds. Requests that were sent there would be declined, or keep it from
     * taking its new layers.
     * @param upstream - the engine
     */
    recordGivenUp(upstream: RegisteredUpstream): void {
        if (upstream.held !== undefined) {
            this.givenUp.record(upstream.id, upstream.held);
            this.recordHeld(upstream, undefined);
        }
    }

    /**
     * Notes how slow an engine says that it is.
     * @param upstream - the engine
     * @param slowness - how many times slower than it should be
     */
    recordSlowness(upstream: RegisteredUpstream, slowness: number): void {
        const present = this.options.host.state.getUpstream(upstream.id);
        if (present === undefined) {
            return;
        }
        const { status, ...facts } = present;
        this.options.log.record("info", "upstream-pace", { peer: upstream.id, slowness, before: present.slowness });
        void proposeChange(this.options, { kind: "put-upstream", facts: { ...facts, slowness }, status });
    }

    /** Tells whether a heartbeat is newer than all that were heard here. */
    private recordHearing(id: string, sequence: number): boolean {
        const hearing = this.heard.get(id);
        const isNews = hearing === undefined || sequence > hearing.sequence;
        if (isNews) {
            this.heard.set(id, { heardMs: this.options.getNowMs(), sequence });
        }
        return isNews;
    }

    /** An address is used again only after its former upstream has ended. */
    private removeFormerAt(facts: UpstreamFacts): void {
        this.listOthersAt(facts).forEach((other) => {
            void this.endLife(getIncarnation(other), `replaced at its address by ${facts.id}`);
        });
    }

    private findHolder(facts: UpstreamFacts): UpstreamIncarnation | undefined {
        const holder = this.listOthersAt(facts)[0];
        return holder === undefined ? undefined : getIncarnation(holder);
    }

    /** Upstreams of other names at the same address; a later life of the same name overtakes the earlier one by itself. */
    private listOthersAt(facts: UpstreamFacts): readonly RegisteredUpstream[] {
        const { name } = getIncarnation(facts);
        return this.options.host.state.listUpstreams()
            .filter((other) => other.address === facts.address && getIncarnation(other).name !== name);
    }
}

function isChange(present: RegisteredUpstream | undefined, facts: UpstreamFacts, status: UpstreamStatus): boolean {
    return present === undefined
        || present.status !== status
        || !isSameSpan(present.held, facts.held)
        || present.address !== facts.address
        || present.slots !== facts.slots;
}
