/**
 * Carries the messages of the membership protocol and the replicated log between instances.
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
import { runForEach } from "./startTask.js";

/** Receivers of messages from peers. */
export interface PeerLinkReceivers {
    readonly receiveMember: (from: string, message: MembershipMessage) => void;
    readonly receiveReplica: (envelope: ReplicaEnvelope) => Promise<readonly ReplicaEnvelope[]>;
}

/** The link to all peers. */
export class PeerLink {
    private readonly memberAnswers = new ReplyCollector<MembershipMessage>();

    /**
     * @param ownAddress - peer address of this instance
     * @param peers - client for the peers
     * @param receivers - handle received messages
     */
    constructor(
        private readonly ownAddress: string,
        readonly peers: PeerClient,
        private readonly receivers: PeerLinkReceivers,
    ) {}

    /**
     * Sends a membership message.
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
     * Handles a membership message.
     * @param from - address of the peer
     * @param message - the message
     * @returns messages to return in the response
     */
    receiveMember(from: string, message: MembershipMessage): readonly MembershipMessage[] {
        return this.memberAnswers.collect(from, () => {
            this.receivers.receiveMember(from, message);
        });
    }

    /**
     * Sends a message of the replicated log.
     * @param to - the replica
     * @param envelope - the message
     */
    sendReplica(to: ReplicaAddress, envelope: ReplicaEnvelope): void {
        this.peers.send(to.address, "replica", envelope, (raw) => {
            const { answers } = replicaResultSchema.parse(raw);
            runForEach("replica-answer", answers, (answer) => this.receiveAnswer(to, answer));
        });
    }

    /** Messages in reaction to an answer are sent as separate requests. */
    private async receiveAnswer(from: ReplicaAddress, envelope: ReplicaEnvelope): Promise<void> {
        for (const answer of await this.receivers.receiveReplica(envelope)) {
            this.sendReplica(from, answer);
        }
    }
}
