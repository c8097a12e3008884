/**
 * Voter membership: a replica without a leader requests to join, and the leader admits and removes replicas.
 */
import { chooseVoterChange } from "@crankfork/decisions";
import { joinResultSchema, type ReplicaAddress } from "@crankfork/schemas";
import type { PeerClient } from "../../connection/peerClient.js";
import type { EventLog } from "../eventLog.js";
import { startPeriodicTask, type StopPeriodicTask } from "../startPeriodicTask.js";
import type { FleetReplicaHost } from "./fleetProposal.js";

/** Dependencies of {@link VoterGroup}. */
export interface VoterGroupOptions {
    readonly host: FleetReplicaHost;
    readonly peers: PeerClient;
    readonly log: EventLog;
    readonly getNowMs: () => number;
    /** Peer addresses of instances that may be voters. */
    readonly getSeeds: () => readonly string[];
    readonly toleratedLosses: number;
}

const CHECK_INTERVAL_MS = 200;
/** Time after which a join request expires unless it is repeated. */
const JOIN_REQUEST_TTL_MS = 2_000;
/** Time without a leader after which a replica requests to join; longer than an election takes. */
const LEADERLESS_TIMEOUT_MS = 1_500;
const JOIN_INTERVAL_MS = 500;
const JOIN_TIMEOUT_MS = 500;

interface JoinRequest {
    readonly replica: ReplicaAddress;
    readonly receivedMs: number;
}

/** Admits and removes replicas. */
export class VoterGroup {
    private readonly joining = new Map<string, JoinRequest>();
    private stopTask: StopPeriodicTask | undefined;
    private isChanging = false;
    private leaderSeenMs: number;
    private lastRequestMs = Number.NEGATIVE_INFINITY;

    /**
     * @param options - replica, peers and seeds
     */
    constructor(private readonly options: VoterGroupOptions) {
        this.leaderSeenMs = options.getNowMs();
    }

    /** Starts the periodic check. */
    start(): void {
        this.stopTask = startPeriodicTask(CHECK_INTERVAL_MS, () => {
            this.check();
        });
    }

    /** Stops the periodic check. */
    stop(): void {
        this.stopTask?.();
    }

    /**
     * Handles a join request.
     * @param replica - the replica that wants to join
     * @returns the leader if one is known here
     */
    handleJoinRequest(replica: ReplicaAddress): ReplicaAddress | undefined {
        this.joining.set(replica.id, { replica, receivedMs: this.options.getNowMs() });
        return this.options.host.replica.getStatus().leader;
    }

    private check(): void {
        const { host, getNowMs } = this.options;
        const status = host.replica.getStatus();
        const nowMs = getNowMs();
        if (status.leader !== undefined || status.role === "leader") {
            this.leaderSeenMs = nowMs;
        }
        if (host.replica.hasLeaderLease()) {
            void this.changeIfDue();
        }
        else if (this.isRequestDue(nowMs)) {
            this.lastRequestMs = nowMs;
            this.requestJoin();
        }
    }

    /**
     * A replica without a cluster requests at once; one that was removed while it was away, after {@link LEADERLESS_TIMEOUT_MS}.
     */
    private isRequestDue(nowMs: number): boolean {
        const isAlone = this.options.host.cluster === undefined;
        const isDue = nowMs - this.lastRequestMs >= JOIN_INTERVAL_MS;
        return isDue && (isAlone || nowMs - this.leaderSeenMs > LEADERLESS_TIMEOUT_MS);
    }

    private requestJoin(): void {
        const { host, getSeeds } = this.options;
        const { voters } = host.replica.getStatus().replicas;
        const addresses = new Set([...getSeeds(), ...voters.map((voter) => voter.address)]);
        addresses.delete(host.self.address);
        addresses.forEach((address) => void this.sendJoinRequest(address));
    }

    private async sendJoinRequest(address: string, mayRedirect: boolean = true): Promise<void> {
        const { host, peers, log } = this.options;
        try {
            const raw = await peers.call(address, "join", { replica: host.self }, JOIN_TIMEOUT_MS);
            const { leader } = joinResultSchema.parse(raw);
            if (mayRedirect && leader !== undefined && leader.address !== address) {
                await this.sendJoinRequest(leader.address, false);
            }
        }
        catch (error) {
            log.record("debug", "join-failed", { peer: address, reason: String(error) });
        }
    }

    private async changeIfDue(): Promise<void> {
        const { host, log, toleratedLosses } = this.options;
        this.removeExpiredRequests();
        if (this.isChanging) {
            return;
        }
        const { replicas } = host.replica.getStatus();
        const known = new Set([...replicas.voters, ...replicas.learners].map((one) => one.id));
        const next = chooseVoterChange({
            replicas,
            selfId: host.self.id,
            joining: [...this.joining.values()].map((one) => one.replica).filter((one) => !known.has(one.id)),
            getSilenceMs: (id) => host.replica.getMsSinceLastContact(id),
            toleratedLosses,
        });
        if (next === undefined) {
            return;
        }
        this.isChanging = true;
        const result = await host.replica.changeReplicas(next);
        this.isChanging = false;
        log.record("info", "voters", {
            voters: next.voters.map((one) => one.id).join(","),
            learners: next.learners.map((one) => one.id).join(","),
            outcome: result.kind === "refused" ? result.reason : result.kind,
        });
    }

    private removeExpiredRequests(): void {
        const nowMs = this.options.getNowMs();
        for (const [id, { receivedMs }] of this.joining) {
            if (nowMs - receivedMs > JOIN_REQUEST_TTL_MS) {
                this.joining.delete(id);
            }
        }
    }
}
