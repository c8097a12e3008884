/**
 * Carries the messages of membership and log between this instance and others.
 */
import {
    memberResultSchema,
    type MembershipMessage,
    type ReplicaAddress,
    type ReplicaEnvelope,
    replicaResultSchema,
} from "@crankfork/schemas";
import type { PeerClient } from "../connection/peerClient.js";
import { ReplyCollector } from "../connection/replyCollector.js";

/** Who takes messages here. */
export interface PeerLinkReceivers {
    readonly receiveMember: (from: string, message: MembershipMessage) => void;
    readonly receiveReplica: (envelope: ReplicaEnvelope) => Promise<readonly ReplicaEnvelope[]>;
}

/** The link to all peers. */
export class PeerLink {
    private readonly memberAnswers = new ReplyCollector<MembershipMessage>();

    /**
     * @param ownAddress - where this instance listens for peers
     * @param peers - speaks to them
     * @param receivers - take what they say
     */
    constructor(
        private readonly ownAddress: string,
        readonly peers: PeerClient,
        private readonly receivers: PeerLinkReceivers,
    ) {}

    /**
     * Sends a message of the membership.
     * @param to - address of the peer
     * @param message - the message
     */
    sendMember(to: string, message: MembershipMessage): void {
        if (this.memberAnswers.tryCollect(to, message)) {
            return;
        }
        this.peers.send(to, "member", { from: this.ownAddress, message }, (raw) => {
            memberResultSchema.parse(raw).answers.forEach((answer) => {
                this.receivers.receiveMember(to, answer);
            });
        });
    }

    /**
     * Takes a message of the membership.
     * @param from - address of the peer
     * @param message - the message
     * @returns messages that answer it at once
     */
    receiveMember(from: string, message: MembershipMessage): readonly MembershipMessage[] {
        return this.memberAnswers.collect(from, () => {
            this.receivers.receiveMember(from, message);
        });
    }

    /**
     * Sends a message of the log.
     * @param to - the replica
     * @param envelope - the message
     */
    sendReplica(to: ReplicaAddress, envelope: ReplicaEnvelope): void {
        this.peers.send(to.address, "replica", envelope, (raw) => {
            replicaResultSchema.parse(raw).answers.forEach((answer) => {
                void this.receiveAnswer(to, answer);
            });
        });
    }

    /** What is said in return to an answer goes out by itself. */
    private async receiveAnswer(from: ReplicaAddress, envelope: ReplicaEnvelope): Promise<void> {
        for (const answer of await this.receivers.receiveReplica(envelope)) {
            this.sendReplica(from, answer);
        }
    }
}
