/**
 * The control plane of one instance: membership, the log replica, the client of its leader, and claims.
 */
import { Membership, type ReplicaEvent, ReplicatedState } from "@crankfork/coordination";
import type { ChangeVotersResult, Command, Member, Settings, StampedCommand, VoterChange } from "@crankfork/schemas";
import type { PeerClient } from "../../connection/peerClient.js";
import { createSuspendAwareClock } from "../createSuspendAwareClock.js";
import type { EventLog } from "../eventLog.js";
import type { Metrics } from "../metrics.js";
import { PeerLink } from "../peerLink.js";
import { recordElectionTimeout } from "../recordElectionTimeout.js";
import { recordFailedCommand } from "../recordFailedCommand.js";
import { recordIgnoredMessage } from "../recordIgnoredMessage.js";
import { ReplicaHost } from "../replicaHost.js";
import { describeError, recordTaskFailure } from "../taskFailures.js";
import { changeVoters } from "../voter/voterChange.js";
import { ClaimManager } from "./claimManager.js";
import { LeaderClient } from "./leaderClient.js";

/** Dependencies of the control plane. */
export interface ControlPlaneOptions {
    readonly settings: Settings;
    /** Address at which this instance listens for peers. */
    readonly address: string;
    readonly peers: PeerClient;
    readonly log: EventLog;
    readonly metrics: Metrics;
    readonly handleMemberStatus: (member: Member) => void;
    readonly handleVersion: () => void;
    readonly handleState: (state: ReplicatedState) => void;
}

/** Time limit for one command to the voters, including the search for the leader. */
const PROPOSE_TIMEOUT_MS = 3_000;
/** Number of log entries after which a snapshot compacts the log. */
const SNAPSHOT_INTERVAL_ENTRIES = 2_000;

/** Membership, log replica and claims of one instance. */
export class ControlPlane {
    readonly membership: Membership;
    readonly link: PeerLink;
    readonly leaderClient: LeaderClient;
    readonly claims: ClaimManager;

    private constructor(
        private readonly options: ControlPlaneOptions,
        readonly host: ReplicaHost | undefined,
        link: PeerLink,
    ) {
        const { settings, peers, log } = options;
        this.link = link;
        this.membership = this.createMembership();
        this.leaderClient = new LeaderClient({
            host,
            membership: this.membership,
            peers,
            timeoutMs: PROPOSE_TIMEOUT_MS,
        });
        const { membership, leaderClient } = this;
        this.claims = new ClaimManager({ instance: settings.instance.id, membership, leaderClient, peers, log });
    }

    /**
     * Starts the replica if this instance has a data folder, and creates the other components.
     * @param options - dependencies
     * @returns the control plane, whose membership is not started yet
     * @throws if the data folder can't be opened or its log is corrupt
     */
    static async start(options: ControlPlaneOptions): Promise<ControlPlane> {
        const link: PeerLink = new PeerLink(options.address, options.peers, {
            receiveMember: (from, message) => {
                controlPlane.membership.receive(from, message);
            },
            receiveReplica: async (envelope) => await controlPlane.host?.receive(envelope) ?? [],
        });
        const controlPlane: ControlPlane = new ControlPlane(options, await startReplicaHost(options, link), link);
        return controlPlane;
    }

    /**
     * Changes the voter set if this instance is the leader.
     * @param change - the voter to add or remove
     * @returns the new set, or the reason for a refusal
     */
    changeVoters(change: VoterChange): Promise<ChangeVotersResult> {
        const { host, membership } = this;
        return changeVoters({ host, membership, peers: this.options.peers }, change);
    }

    /** Stops all components immediately. */
    stop(): void {
        this.membership.stop();
        this.host?.stop();
        this.claims.stop();
    }

    private createMembership(): Membership {
        const { settings, address, log, handleMemberStatus, handleVersion } = this.options;
        const { instance, timing, peers } = settings;
        return new Membership({
            self: {
                id: instance.id,
                address,
                failure_domain: instance.failure_domain,
                // A later start of the same instance overrides gossip about its earlier ones.
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
                handleFault: (error) => {
                    recordTaskFailure("membership", error);
                },
                handleStatus: (member) => {
                    log.record("info", "member", { peer: member.id, status: member.status });
                    handleMemberStatus(member);
                },
                handleVersion,
            },
        });
    }
}

async function startReplicaHost(options: ControlPlaneOptions, link: PeerLink): Promise<ReplicaHost | undefined> {
    const { instance, timing, limits } = options.settings;
    if (instance.data_folder === undefined) {
        return undefined;
    }
    return await ReplicaHost.start({
        instance: instance.id,
        folder: instance.data_folder,
        address: options.address,
        heartbeatMs: timing.heartbeat,
        minElectionTimeoutMs: timing.election,
        snapshotThreshold: SNAPSHOT_INTERVAL_ENTRIES,
        createState: () => new ReplicatedState(),
        // Stamped once, by the leader that appends the command, so that no other instance's clock or settings can
        // expire a claim.
        stampCommand: (command: Command): StampedCommand => ({
            command,
            at_ms: Date.now(),
            claim_retention_ms: limits.claim_retention,
        }),
        random: Math.random,
        // After a suspension a leader has no lease until a quorum acknowledges it again.
        clock: createSuspendAwareClock(() => options.log),
        send: (to, envelope) => {
            link.sendReplica(to, envelope);
        },
        record: (event) => {
            recordReplicaEvent(options, event);
        },
        handleStateChange: options.handleState,
    });
}

function recordReplicaEvent({ log, metrics }: ControlPlaneOptions, event: ReplicaEvent): void {
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
        case "snapshot-recovered":
            log.record("warn", "snapshot-recovered", {
                index: event.snapshotIndex,
                discarded: event.discardedEntries,
            });
            return;
        case "acknowledged-entries-lost":
            log.record("error", "acknowledged-entries-lost", {
                peer: event.replica,
                acknowledged: event.acknowledgedIndex,
                last: event.lastIndex,
            });
            return;
        case "election-timed-out":
            recordElectionTimeout(log, event);
            return;
        case "resent":
            log.record("debug", "entries-resent", { peer: event.to, entries: event.entries });
            return;
        case "command-invalid":
        case "command-failed":
        case "snapshot-refused":
        case "snapshot-records-dropped":
            recordFailedCommand(log, event);
            return;
        case "message-ignored":
            recordIgnoredMessage(log, event);
            return;
        case "fault":
            log.record("error", "replica-fault", describeError(event.error));
            return;
    }
}
