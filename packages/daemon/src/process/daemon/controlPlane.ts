/**
 * What instances decide together: membership, the replica of the log, the way to its leader, claims.
 */
import { Membership, type ReplicaEvent, ReplicatedState } from "@crankfork/coordination";
import type { ChangeVotersResult, Command, Member, Settings, StampedCommand, VoterChange } from "@crankfork/schemas";
import type { PeerClient } from "../../connection/peerClient.js";
import { createSteadyClock } from "../createSteadyClock.js";
import type { EventLog } from "../eventLog.js";
import type { Metrics } from "../metrics.js";
import { PeerLink } from "../peerLink.js";
import { ReplicaHost } from "../replicaHost.js";
import { changeVoters } from "../voter/voterChange.js";
import { ClaimKeeper } from "./claimManager.js";
import { Voters } from "./leaderClient.js";

/** What control needs from the process. */
export interface ControlOptions {
    readonly settings: Settings;
    /** Where this instance listens for peers. */
    readonly address: string;
    readonly peers: PeerClient;
    readonly log: EventLog;
    readonly metrics: Metrics;
    readonly handleStatus: (member: Member) => void;
    readonly handleVersion: () => void;
    readonly handleState: (state: ReplicatedState) => void;
}

/** Budget of one command to the voters. */
const VOTERS_TIMEOUT_MS = 3_000;
/** Entries of the log after which a snapshot replaces them. */
const SNAPSHOT_EVERY = 2_000;

/** Membership, log and claims of one instance. */
export class Control {
    readonly membership: Membership;
    readonly link: PeerLink;
    readonly voters: Voters;
    readonly claims: ClaimKeeper;

    private constructor(
        private readonly options: ControlOptions,
        readonly host: ReplicaHost | undefined,
        link: PeerLink,
    ) {
        const { settings, peers, log } = options;
        this.link = link;
        this.membership = this.createMembership();
        this.voters = new Voters({ host, membership: this.membership, peers, timeoutMs: VOTERS_TIMEOUT_MS });
        const { membership, voters } = this;
        this.claims = new ClaimKeeper({ instance: settings.instance.id, membership, voters, peers, log });
    }

    /**
     * Starts the replica, if this instance has a disk, and gets the rest ready.
     * @param options - what it needs
     * @returns control; its membership is not started yet
     * @throws where the data folder can't be had or its log is corrupt
     */
    static async start(options: ControlOptions): Promise<Control> {
        const link: PeerLink = new PeerLink(options.address, options.peers, {
            receiveMember: (from, message) => {
                control.membership.receive(from, message);
            },
            receiveReplica: async (envelope) => await control.host?.receive(envelope) ?? [],
        });
        const control: Control = new Control(options, await startHost(options, link), link);
        return control;
    }

    /**
     * Changes the voters, where this instance leads.
     * @param change - whom to add or remove
     * @returns the new set, or why nothing changed
     */
    changeVoters(change: VoterChange): Promise<ChangeVotersResult> {
        const { host, membership } = this;
        return changeVoters({ host, membership, peers: this.options.peers }, change);
    }

    /** Stops all parts at once. */
    stop(): void {
        this.membership.stop();
        this.host?.stop();
        this.claims.stop();
    }

    private createMembership(): Membership {
        const { settings, address, log, handleStatus, handleVersion } = this.options;
        const { instance, timing, peers } = settings;
        return new Membership({
            self: {
                id: instance.id,
                address,
                failure_domain: instance.failure_domain,
                // Later starts of the same instance outrank what is still said of earlier ones.
                incarnation: Date.now(),
                status: "alive",
                has_replica: instance.data_folder !== undefined,
                configuration_version: 0,
                revision: 0,
                in_flight: {},
                demand: {},
            },
            seeds: peers.addresses,
            timing: { probeMs: timing.probe, probeTimeoutMs: timing.probe_timeout, suspicionMs: timing.suspicion },
            functions: {
                send: (to, message) => {
                    this.link.sendMember(to, message);
                },
                random: Math.random,
                handleStatus: (member) => {
                    log.record("info", "member", { peer: member.id, status: member.status });
                    handleStatus(member);
                },
                handleVersion,
            },
        });
    }
}

async function startHost(options: ControlOptions, link: PeerLink): Promise<ReplicaHost | undefined> {
    const { instance, timing, limits } = options.settings;
    if (instance.data_folder === undefined) {
        return undefined;
    }
    return await ReplicaHost.start({
        instance: instance.id,
        folder: instance.data_folder,
        address: options.address,
        heartbeatMs: timing.heartbeat,
        electionMs: timing.election,
        snapshotEvery: SNAPSHOT_EVERY,
        createState: () => new ReplicatedState(),
        // No other instance's clock or settings may make a claim expire.
        stampCommand: (command: Command): StampedCommand => ({
            command,
            at_ms: Date.now(),
            claim_retention_ms: limits.claim_retention,
        }),
        random: Math.random,
        // A leader that slept has no lease until a quorum answers it again.
        clock: createSteadyClock(() => options.log),
        send: (to, envelope) => {
            link.sendReplica(to, envelope);
        },
        record: (event) => {
            recordReplicaEvent(options, event);
        },
        handleState: options.handleState,
    });
}

function recordReplicaEvent({ log, metrics }: ControlOptions, event: ReplicaEvent): void {
    switch (event.kind) {
        case "role":
            metrics.count("replica.role", { role: event.role });
            log.record("info", "role", { role: event.role, term: event.term });
            return;
        case "replicas": {
            const voters = event.replicas.voters.map((voter) => voter.id).join(",");
            const learners = event.replicas.learners.map((learner) => learner.id).join(",");
            log.record("info", "replicas", { voters, learners });
            return;
        }
        case "snapshot":
            log.record("info", "snapshot", { index: event.index });
            return;
        case "resent":
            log.record("debug", "entries-resent", { peer: event.to, entries: event.entries });
            return;
        case "fault":
            log.record("error", "replica-fault", { reason: String(event.error) });
            return;
    }
}
