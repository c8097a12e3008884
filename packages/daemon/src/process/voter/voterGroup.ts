/**
 * The group of voters: a replica without a leader asks to take part, and the leader lets replicas in and out.
 */
import { chooseVoterChange } from "@crankfork/decisions";
import { joinResultSchema, type ReplicaAddress } from "@crankfork/schemas";
import type { PeerClient } from "../../connection/peerClient.js";
import type { EventLog } from "../eventLog.js";
import { startTicking, type StopTicking } from "../startTicking.js";
import type { FleetReplicaHost } from "./fleetProposal.js";

/** What the group needs from the process. */
export interface VoterGroupOptions {
    readonly host: FleetReplicaHost;
    readonly peers: PeerClient;
    readonly log: EventLog;
    readonly getNowMs: () => number;
    /** Peers' addresses of instances that may be voters. */
    readonly getSeeds: () => readonly string[];
    readonly toleratedLosses: number;
}

const TICK_MS = 200;
/** How long a request to take part is remembered; it is made anew meanwhile. */
const JOIN_MEMORY_MS = 2_000;
/** A replica that has had no leader for so long asks to take part; longer than an election takes. */
const LEADERLESS_MS = 1_500;
const JOIN_INTERVAL_MS = 500;
const JOIN_TIMEOUT_MS = 500;

interface Joining {
    readonly replica: ReplicaAddress;
    readonly heardMs: number;
}

/** Lets replicas in and out. */
export class VoterGroup {
    private readonly joining = new Map<string, Joining>();
    private stopTicking: StopTicking | undefined;
    private isChanging = false;
    private leaderMs: number;
    private askedMs = Number.NEGATIVE_INFINITY;

    /**
     * @param options - replica, peers and seeds
     */
    constructor(private readonly options: VoterGroupOptions) {
        this.leaderMs = options.getNowMs();
    }

    /** Starts to look after the group. */
    start(): void {
        this.stopTicking = startTicking(TICK_MS, () => {
            this.tick();
        });
    }

    /** Stops. */
    stop(): void {
        this.stopTicking?.();
    }

    /**
     * Takes a request to take part.
     * @param replica - who asks
     * @returns the leader, as far as it is known here
     */
    receiveJoin(replica: ReplicaAddress): ReplicaAddress | undefined {
        this.joining.set(replica.id, { replica, heardMs: this.options.getNowMs() });
        return this.options.host.replica.getStatus().leader;
    }

    private tick(): void {
        const { host, getNowMs } = this.options;
        const status = host.replica.getStatus();
        const nowMs = getNowMs();
        if (status.leader !== undefined || status.role === "leader") {
            this.leaderMs = nowMs;
        }
        if (host.replica.hasNewestState()) {
            void this.changeIfDue();
        }
        else if (this.mayAsk(nowMs)) {
            this.askedMs = nowMs;
            this.askToJoin();
        }
    }

    /** A replica without a cluster asks at once; one that was left out while it was away, after some time. */
    private mayAsk(nowMs: number): boolean {
        const isAlone = this.options.host.cluster === undefined;
        const isDue = nowMs - this.askedMs >= JOIN_INTERVAL_MS;
        return isDue && (isAlone || nowMs - this.leaderMs > LEADERLESS_MS);
    }

    private askToJoin(): void {
        const { host, getSeeds } = this.options;
        const { voters } = host.replica.getStatus().replicas;
        const addresses = new Set([...getSeeds(), ...voters.map((voter) => voter.address)]);
        addresses.delete(host.self.address);
        addresses.forEach((address) => void this.ask(address));
    }

    private async ask(address: string, mayFollow: boolean = true): Promise<void> {
        const { host, peers, log } = this.options;
        try {
            const raw = await peers.call(address, "join", { replica: host.self }, JOIN_TIMEOUT_MS);
            const { leader } = joinResultSchema.parse(raw);
            if (mayFollow && leader !== undefined && leader.address !== address) {
                await this.ask(leader.address, false);
            }
        }
        catch (error) {
            log.record("debug", "join-failed", { peer: address, reason: String(error) });
        }
    }

    private async changeIfDue(): Promise<void> {
        const { host, log, toleratedLosses } = this.options;
        this.forgetOldRequests();
        if (this.isChanging) {
            return;
        }
        const { replicas } = host.replica.getStatus();
        const known = new Set([...replicas.voters, ...replicas.learners].map((one) => one.id));
        const next = chooseVoterChange({
            replicas,
            selfId: host.self.id,
            joining: [...this.joining.values()].map((one) => one.replica).filter((one) => !known.has(one.id)),
            getSilenceMs: (id) => host.replica.getSilenceMs(id),
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

    private forgetOldRequests(): void {
        const nowMs = this.options.getNowMs();
        for (const [id, { heardMs }] of this.joining) {
            if (nowMs - heardMs > JOIN_MEMORY_MS) {
                this.joining.delete(id);
            }
        }
    }
}
