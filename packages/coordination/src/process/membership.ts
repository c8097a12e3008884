/**
 * Group membership and failure detection: probes, indirect probes, suspicion, and gossip piggybacked on the same
 * messages.
 *
 * Based on Das, Gupta and Motivala, "SWIM" (2002), with an additional leaving state. The load per node does not grow
 * with the number of nodes: one probe per protocol period, and a bounded list of members on each message.
 */
import type { Member, MembershipMessage } from "@crankfork/schemas";
import { chooseGossip, isPossibleReport, type MemberRecord, mergeMember } from "./memberRecord.js";

/** Timing of the membership protocol, in milliseconds. */
export interface MembershipTiming {
    /** Protocol period: the interval between two probes. */
    readonly probeMs: number;
    /** How long to wait for an acknowledgement before indirect probes are requested. */
    readonly probeTimeoutMs: number;
    /** How long a suspect may take to refute before it is declared dead. */
    readonly suspicionMs: number;
}

/** Dependencies of the membership on the surrounding process. */
export interface MembershipFunctions {
    /** Sends a message; it may be lost. */
    readonly send: (address: string, message: MembershipMessage) => void;
    /** A number from 0 up to 1. */
    readonly random: () => number;
    /** Called when the status of another instance changes. */
    readonly handleStatus: (member: Member) => void;
    /** Called when another instance reports a newer configuration version than before. */
    readonly handleVersion: (member: Member) => void;
    /** Called when a protocol period fails by an exception; the next one runs as usual. */
    readonly handleFault: (error: unknown) => void;
}

/** What an instance reports about itself, apart from its status. */
export type MemberAttributes = Pick<Member, "configuration_version" | "in_flight" | "demand" | "has_replica">;

/** Options of a membership. */
export interface MembershipOptions {
    readonly self: Member;
    /** Addresses used to join the group. */
    readonly seeds: readonly string[];
    readonly timing: MembershipTiming;
    readonly functions: MembershipFunctions;
}

const INDIRECT_PROBE_COUNT = 2;
/** How many members each member sends a new version to at once (Demers et al., "Epidemic Algorithms", 1987). */
const GOSSIP_FANOUT = 3;
/** How long dead members are kept, in suspicion times. */
const DEAD_RETENTION_SUSPICION_TIMES = 200;

interface Relay {
    readonly requesterAddress: string;
    /** The sequence number that the requester gave its probe. */
    readonly requesterSequence: number;
}

interface PendingProbe {
    readonly targetId: string | undefined;
    readonly address: string;
}

/** The group as seen by one instance. */
export class Membership {
    private self: Member;
    private readonly records = new Map<string, MemberRecord>();
    private readonly pendingProbes = new Map<number, PendingProbe>();
    /** Probes sent on behalf of another instance, by their local sequence number. */
    private readonly relays = new Map<number, Relay>();
    private probeOrder: string[] = [];
    private sequence = 0;
    private timer: NodeJS.Timeout | undefined;

    /**
     * @param options - identity, seeds, timing and dependencies
     */
    constructor(private readonly options: MembershipOptions) {
        this.self = options.self;
    }

    /** Starts probing. */
    start(): void {
        this.timer = setInterval(() => {
            this.runOrReport(() => {
                this.runProtocolPeriod();
            });
        }, this.options.timing.probeMs);
        this.options.seeds.filter((seed) => seed !== this.self.address).forEach((seed) => {
            this.sendProbe(seed, undefined);
        });
    }

    /** Stops probing. Other members declare the instance dead unless it announced that it is leaving. */
    stop(): void {
        clearInterval(this.timer);
    }

    /**
     * Gets all members, the instance itself first.
     * @returns members, including dead ones until they expire
     */
    getMembers(): readonly Member[] {
        return [this.self, ...[...this.records.values()].map((record) => record.member)];
    }

    /**
     * Gets the members that are alive, suspected or leaving.
     * @returns members, the instance itself first
     */
    getLiveMembers(): readonly Member[] {
        return this.getMembers().filter((member) => member.status !== "dead");
    }

    /**
     * Updates the attributes of the instance itself. A new configuration version is sent to some members at once, since
     * it must be in force everywhere within seconds; all else is gossiped with the next probes.
     * @param attributes - what changed
     */
    updateSelf(attributes: Partial<MemberAttributes>): void {
        const isNewVersion = (attributes.configuration_version ?? 0) > this.self.configuration_version;
        this.self = { ...this.self, ...attributes, revision: this.self.revision + 1 };
        if (isNewVersion) {
            this.chooseRandomMembers(GOSSIP_FANOUT).forEach((member) => {
                this.options.functions.send(member.address, this.createProbe());
            });
        }
    }

    /** Announces to all live members at once that the instance is leaving, before the process exits. */
    announceLeaving(): void {
        this.self = { ...this.self, status: "leaving", incarnation: this.self.incarnation + 1 };
        this.getOtherLiveMembers().forEach((member) => {
            this.options.functions.send(member.address, this.createProbe());
        });
    }

    /**
     * Handles a message.
     * @param fromAddress - where the sender listens
     * @param message - the message
     */
    receive(fromAddress: string, message: MembershipMessage): void {
        message.members.forEach((member) => {
            this.merge(member);
        });
        switch (message.kind) {
            case "probe":
                this.options.functions.send(fromAddress, {
                    kind: "acknowledge",
                    sequence: message.sequence,
                    members: this.choosePiggybackMembers(),
                });
                return;
            case "probe-for":
                this.relayProbe(fromAddress, message.sequence, message.target);
                return;
            case "acknowledge":
                this.handleAcknowledge(message.sequence);
                return;
        }
    }

    private runOrReport(run: () => void): void {
        try {
            run();
        }
        catch (error) {
            this.options.functions.handleFault(error);
        }
    }

    private runProtocolPeriod(): void {
        this.suspectUnresponsive();
        this.expireMembers();
        const target = this.chooseProbeTarget();
        if (target !== undefined) {
            this.sendProbe(target.address, target.id);
        }
        this.probeMissingSeed();
    }

    private sendProbe(address: string, targetId: string | undefined): void {
        const message = this.createProbe();
        this.pendingProbes.set(message.sequence, { targetId, address });
        this.options.functions.send(address, message);
        if (targetId !== undefined) {
            setTimeout(() => {
                this.runOrReport(() => {
                    this.requestIndirectProbes(message.sequence, address);
                });
            }, this.options.timing.probeTimeoutMs);
        }
    }

    private createProbe(): Extract<MembershipMessage, { kind: "probe"; }> {
        this.sequence += 1;
        return { kind: "probe", sequence: this.sequence, members: this.choosePiggybackMembers() };
    }

    private requestIndirectProbes(sequence: number, target: string): void {
        if (!this.pendingProbes.has(sequence)) {
            return;
        }
        this.chooseRandomMembers(INDIRECT_PROBE_COUNT, target).forEach((member) => {
            const members = this.choosePiggybackMembers();
            this.options.functions.send(member.address, { kind: "probe-for", sequence, target, members });
        });
    }

    private chooseRandomMembers(count: number, exceptAddress = ""): readonly Member[] {
        const others = this.getOtherLiveMembers().filter((member) => member.address !== exceptAddress);
        const chosen: Member[] = [];
        while (chosen.length < count && others.length > 0) {
            chosen.push(...others.splice(this.chooseRandomIndex(others.length), 1));
        }
        return chosen;
    }

    private relayProbe(fromAddress: string, sequence: number, target: string): void {
        const message = this.createProbe();
        this.relays.set(message.sequence, { requesterAddress: fromAddress, requesterSequence: sequence });
        this.options.functions.send(target, message);
    }

    private handleAcknowledge(sequence: number): void {
        this.pendingProbes.delete(sequence);
        const relay = this.relays.get(sequence);
        this.relays.delete(sequence);
        if (relay !== undefined) {
            this.options.functions.send(relay.requesterAddress, {
                kind: "acknowledge",
                sequence: relay.requesterSequence,
                members: this.choosePiggybackMembers(),
            });
        }
    }

    /** Probes still pending from the last period had a whole period for a direct or indirect acknowledgement. */
    private suspectUnresponsive(): void {
        for (const { targetId } of this.pendingProbes.values()) {
            const record = targetId === undefined ? undefined : this.records.get(targetId);
            if (record?.member.status === "alive") {
                this.merge({ ...record.member, status: "suspect" });
            }
            else if (record?.member.status === "leaving") {
                this.merge({ ...record.member, status: "dead" });
            }
        }
        this.pendingProbes.clear();
        this.relays.clear();
    }

    private expireMembers(): void {
        const now = performance.now();
        const { suspicionMs } = this.options.timing;
        for (const [id, { member, statusSinceMs }] of this.records) {
            if (member.status === "suspect" && now - statusSinceMs >= suspicionMs) {
                this.merge({ ...member, status: "dead" });
            }
            else if (member.status === "dead" && now - statusSinceMs >= suspicionMs * DEAD_RETENTION_SUSPICION_TIMES) {
                this.records.delete(id);
            }
        }
    }

    /** Round robin in shuffled order, so that each member is probed within two rounds (SWIM, section 4.3). */
    private chooseProbeTarget(): Member | undefined {
        for (;;) {
            const id = this.probeOrder.pop();
            if (id === undefined) {
                this.probeOrder = this.createProbeOrder();
                return this.probeOrder.length === 0 ? undefined : this.records.get(this.probeOrder.pop() ?? "")?.member;
            }
            const member = this.records.get(id)?.member;
            if (member !== undefined && member.status !== "dead") {
                return member;
            }
        }
    }

    private createProbeOrder(): string[] {
        const ids = [...this.records.values()].filter(({ member }) => member.status !== "dead").map(({ member }) =>
            member.id
        );
        for (let last = ids.length - 1; last > 0; last -= 1) {
            const swapped = this.chooseRandomIndex(last + 1);
            [ids[last], ids[swapped]] = [ids[swapped] ?? "", ids[last] ?? ""];
        }
        return ids;
    }

    /** After a long network partition each side has declared the other dead; probing the seeds merges them again. */
    private probeMissingSeed(): void {
        const known = new Set(this.getOtherLiveMembers().map((member) => member.address));
        const missing = this.options.seeds.filter((seed) => seed !== this.self.address && !known.has(seed));
        const seed = missing[this.chooseRandomIndex(missing.length)];
        if (seed !== undefined) {
            this.sendProbe(seed, undefined);
        }
    }

    private getOtherLiveMembers(): Member[] {
        return [...this.records.values()].map(({ member }) => member).filter((member) => member.status !== "dead");
    }

    private choosePiggybackMembers(): Member[] {
        return [this.self, ...chooseGossip(this.records.values())];
    }

    private merge(heard: Member): void {
        const record = this.records.get(heard.id);
        if (!isPossibleReport(heard.id === this.self.id ? this.self : record?.member, heard)) {
            return;
        }
        if (heard.id === this.self.id) {
            this.refute(heard);
            return;
        }
        const merged = mergeMember(record, heard, performance.now());
        if (merged === record) {
            return;
        }
        this.records.set(heard.id, merged);
        if (record?.member.status !== merged.member.status) {
            this.options.functions.handleStatus(merged.member);
        }
        if (merged.member.configuration_version > (record?.member.configuration_version ?? 0)) {
            this.options.functions.handleVersion(merged.member);
        }
    }

    private refute(heard: Member): void {
        const isWrong = heard.status === "suspect" || heard.status === "dead" || heard.address !== this.self.address;
        if (isWrong && heard.incarnation >= this.self.incarnation) {
            this.self = { ...this.self, incarnation: heard.incarnation + 1 };
        }
    }

    private chooseRandomIndex(count: number): number {
        return Math.floor(this.options.functions.random() * count);
    }
}
