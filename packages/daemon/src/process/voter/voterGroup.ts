/**
 * Voter membership: a replica without a leader requests to join, and the leader admits and removes replicas.
 */
import { chooseVoterChange, type VoterView } from "@crankfork/decisions";
import { joinResultSchema, type LeaveResult, leaveResultSchema, type ReplicaAddress } from "@crankfork/schemas";
import type { PeerClient } from "../../connection/peerClient.js";
import type { EventLog } from "../eventLog.js";
import { startPeriodicTask, type StopPeriodicTask } from "../startPeriodicTask.js";
import { runForEach, startTask } from "../startTask.js";
import { waitMs } from "../waitMs.js";
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

const CHECK_INTERVAL_MS = 50;
/** Time after which a request to join or leave expires unless it is repeated. */
const REQUEST_TTL_MS = 2_000;
/** Time without a leader after which a replica requests to join; longer than an election takes. */
const LEADERLESS_TIMEOUT_MS = 1_500;
const JOIN_INTERVAL_MS = 500;
const REQUEST_TIMEOUT_MS = 500;
const LEAVE_INTERVAL_MS = 100;
/** Time for the next leader to be elected when this voter hands over the leadership. */
const LEADERSHIP_TRANSFER_MS = 400;
/** Time for a successor to take the place of a voter that stops: two changes of the set, and an election before them. */
const MAX_LEAVE_MS = 3_000;
/** Time after an election within which every replica that waits for a leader has repeated its join request. */
const JOIN_WINDOW_MS = JOIN_INTERVAL_MS + 100;
/** Limit for the wait for a replacement; operators repeat a request that is not answered within a second. */
const MAX_REPLACEMENT_MS = 900;

interface MemberRequest {
    readonly replica: ReplicaAddress;
    readonly receivedMs: number;
}

/** Admits and removes replicas. */
export class VoterGroup {
    private readonly joining = new Map<string, MemberRequest>();
    private readonly leaving = new Map<string, MemberRequest>();
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
        this.stopTask = startPeriodicTask("voter-group", CHECK_INTERVAL_MS, () => {
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

    /**
     * Returns whether a replica has announced that its process is about to end.
     * @param id - the replica
     * @returns true until the announcement expires
     */
    isLeaving(id: string): boolean {
        return this.leaving.has(id);
    }

    /**
     * Handles the announcement of a voter whose process is about to end. It is replaced while it still votes.
     * @param replica - the voter
     * @returns whether it should wait for its replacement
     */
    handleLeaveRequest(replica: ReplicaAddress): LeaveResult {
        const { host, getNowMs } = this.options;
        this.leaving.set(replica.id, { replica, receivedMs: getNowMs() });
        startTask("voter-group", () => this.changeIfDue());
        if (!host.replica.hasLeaderLease()) {
            return { is_replacement_pending: true };
        }
        const isVoter = host.replica.getStatus().replicas.voters.some((voter) => voter.id === replica.id);
        return { is_replacement_pending: isVoter && this.isChangeDue() };
    }

    /**
     * Waits until learners have replaced the voters that are gone. What is committed before may not survive the tolerated
     * losses.
     * @returns whether this replica still leads; resolves at the latest after {@link MAX_REPLACEMENT_MS}
     */
    async awaitReplacements(): Promise<boolean> {
        const { host, getNowMs } = this.options;
        const startMs = getNowMs();
        while (
            host.replica.hasLeaderLease()
            && this.isReplacementExpected()
            && getNowMs() - startMs < MAX_REPLACEMENT_MS
        ) {
            await waitMs(CHECK_INTERVAL_MS);
        }
        return host.replica.hasLeaderLease();
    }

    /**
     * Prepares for the end of the process: hands over the leadership, announces that this voter leaves, and waits while a
     * learner takes its place. Without that, the set would keep a voter that may never return until its silence is noticed.
     */
    async leave(): Promise<void> {
        const { host, getNowMs, log } = this.options;
        this.stop();
        log.record("info", "stopping", { role: host.replica.getStatus().role });
        const startMs = getNowMs();
        let transferredMs: number | undefined;
        let isPending = true;
        while (isPending && getNowMs() - startMs < MAX_LEAVE_MS) {
            const { leader, replicas } = host.replica.getStatus();
            if (leader?.id === host.self.id) {
                transferredMs ??= this.transferLeadership();
                isPending = getNowMs() - transferredMs < LEADERSHIP_TRANSFER_MS;
            }
            else {
                transferredMs = undefined;
                isPending = leader === undefined
                    ? replicas.learners.length > 0
                    : await this.sendLeaveRequest(leader.address);
            }
            if (isPending) {
                await waitMs(LEAVE_INTERVAL_MS);
            }
        }
        log.record("info", "voter-left", { pending: isPending, ms: Math.round(getNowMs() - startMs) });
    }

    /** Returns when it was handed over. */
    private transferLeadership(): number {
        const { host, getNowMs, log } = this.options;
        const next = host.replica.transferLeadership((id) => !this.isLeaving(id));
        log.record("info", "leadership-transfer", { handed_to: next?.id });
        return getNowMs();
    }

    private async sendLeaveRequest(leader: string): Promise<boolean> {
        const { host, peers, log } = this.options;
        try {
            const raw = await peers.call(leader, "leave", { replica: host.self }, REQUEST_TIMEOUT_MS);
            return leaveResultSchema.parse(raw).is_replacement_pending;
        }
        catch (error) {
            log.record("debug", "leave-failed", { peer: leader, reason: String(error) });
            return true;
        }
    }

    private check(): void {
        const { host, getNowMs } = this.options;
        const status = host.replica.getStatus();
        const nowMs = getNowMs();
        if (status.leader !== undefined || status.role === "leader") {
            this.leaderSeenMs = nowMs;
        }
        if (host.replica.hasLeaderLease()) {
            startTask("voter-group", () => this.changeIfDue());
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
        runForEach("voter-group", addresses, (address) => this.sendJoinRequest(address));
    }

    private async sendJoinRequest(address: string, mayRedirect: boolean = true): Promise<void> {
        const { host, peers, log } = this.options;
        try {
            const raw = await peers.call(address, "join", { replica: host.self }, REQUEST_TIMEOUT_MS);
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
        if (this.isChanging) {
            return;
        }
        this.isChanging = true;
        try {
            await this.changeUntilDone();
        }
        finally {
            this.isChanging = false;
        }
    }

    /** Changes the set until nothing has to change. */
    private async changeUntilDone(): Promise<void> {
        const { host, log } = this.options;
        for (let isApplied = true; isApplied && host.replica.hasLeaderLease();) {
            removeExpired(this.joining, this.options.getNowMs());
            removeExpired(this.leaving, this.options.getNowMs());
            const next = chooseVoterChange(this.createView());
            if (next === undefined) {
                return;
            }
            const result = await host.replica.changeReplicas(next);
            isApplied = result.kind === "applied";
            log.record("info", "voters", {
                voters: next.voters.map((one) => one.id).join(","),
                learners: next.learners.map((one) => one.id).join(","),
                outcome: result.kind === "refused" ? result.reason : result.kind,
            });
        }
    }

    private isChangeDue(): boolean {
        return this.isChanging || chooseVoterChange(this.createView()) !== undefined;
    }

    /** Right after an election it is unknown which voters are gone, and which replicas want to join. */
    private isReplacementExpected(): boolean {
        const { replica, self } = this.options.host;
        const ledMs = replica.getMsSinceElection();
        const hasSilentVoter = replica.getStatus().replicas.voters.some(({ id }) =>
            id !== self.id && replica.getMsSinceLastContact(id) >= ledMs
        );
        return this.isChangeDue() || (hasSilentVoter && ledMs < JOIN_WINDOW_MS);
    }

    private createView(): VoterView {
        const { host, toleratedLosses } = this.options;
        const { replicas } = host.replica.getStatus();
        const known = new Set([...replicas.voters, ...replicas.learners].map((one) => one.id));
        return {
            replicas,
            selfId: host.self.id,
            joining: [...this.joining.values()].map((one) => one.replica).filter((one) => !known.has(one.id)),
            getSilenceMs: (id) => host.replica.getMsSinceLastContact(id),
            isLeaving: (id) => this.isLeaving(id),
            toleratedLosses,
        };
    }
}

function removeExpired(requests: Map<string, MemberRequest>, nowMs: number): void {
    for (const [id, { receivedMs }] of requests) {
        if (nowMs - receivedMs > REQUEST_TTL_MS) {
            requests.delete(id);
        }
    }
}
