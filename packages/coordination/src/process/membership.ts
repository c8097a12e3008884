/**
 * Which instances are there: probes, indirect probes, suspicion before death, and gossip on the same messages.
 *
 * After Das, Gupta and Motivala, "SWIM" (2002), with a leaving state of its own. What a node sends does not grow with
 * the number of nodes: one probe a period, and a bounded list of members on each message.
 */
import type { Member, MembershipMessage } from "@crankfork/schemas";
import { chooseGossip, type MemberRecord, mergeMember } from "./memberRecord.js";

/** Times of the membership protocol, in milliseconds. */
export interface MembershipTiming {
    /** Between two probes. */
    readonly probeMs: number;
    /** How long an answer is waited for before others are asked to probe. */
    readonly probeTimeoutMs: number;
    /** How long a suspect has to refute before it counts as dead. */
    readonly suspicionMs: number;
}

/** What the membership needs from the process around it. */
export interface MembershipFunctions {
    /** Sends a message; it may be lost. */
    readonly send: (address: string, message: MembershipMessage) => void;
    /** A number from 0 up to 1. */
    readonly random: () => number;
    /** Called when the status of another instance changed. */
    readonly handleStatus: (member: Member) => void;
    /** Called when another instance has a newer configuration than was known of it. */
    readonly handleVersion: (member: Member) => void;
}

/** What an instance says of itself, apart from its status. */
export type MemberAttributes = Pick<Member, "configuration_version" | "in_flight" | "demand" | "has_replica">;

/** Everything that a membership is made with. */
export interface MembershipOptions {
    readonly self: Member;
    /** Addresses to find others by. */
    readonly seeds: readonly string[];
    readonly timing: MembershipTiming;
    readonly functions: MembershipFunctions;
}

const INDIRECT_PROBES = 2;
/** Members that are told at once of a new version; each tells as many (Demers et al., "Epidemic Algorithms", 1987). */
const SPREAD_FANOUT = 3;
/** A dead member is forgotten after this many suspicion times. */
const FORGET_AFTER_SUSPICIONS = 200;

interface Relay {
    readonly askerAddress: string;
    /** The asker's own number for its probe. */
    readonly askerSequence: number;
}

interface OpenProbe {
    readonly targetId: string | undefined;
    readonly address: string;
}

/** The members as one instance sees them. */
export class Membership {
    private self: Member;
    private readonly records = new Map<string, MemberRecord>();
    private readonly openProbes = new Map<number, OpenProbe>();
    /** Probes made for another instance, by their own sequence. */
    private readonly relays = new Map<number, Relay>();
    private probeOrder: string[] = [];
    private sequence = 0;
    private timer: NodeJS.Timeout | undefined;

    /**
     * @param options - who it is, whom it may ask, its times, and the process around it
     */
    constructor(private readonly options: MembershipOptions) {
        this.self = options.self;
    }

    /** Starts to probe. */
    start(): void {
        this.timer = setInterval(() => {
            this.runPeriod();
        }, this.options.timing.probeMs);
        this.options.seeds.filter((seed) => seed !== this.self.address).forEach((seed) => {
            this.sendProbe(seed, undefined);
        });
    }

    /** Stops to probe; others will take it for dead unless it said that it leaves. */
    stop(): void {
        clearInterval(this.timer);
    }

    /**
     * Gets all members, the instance itself first.
     * @returns members, dead ones too until they are forgotten
     */
    getMembers(): readonly Member[] {
        return [this.self, ...[...this.records.values()].map((record) => record.member)];
    }

    /**
     * Gets the members that are there: alive, suspected or leaving.
     * @returns members, the instance itself first
     */
    getLiveMembers(): readonly Member[] {
        return this.getMembers().filter((member) => member.status !== "dead");
    }

    /**
     * Says something new of the instance itself. A new version is told to some members at once, since it must be in
     * force everywhere within seconds; all else travels with the next probes.
     * @param facts - what changed
     */
    updateSelf(facts: Partial<MemberAttributes>): void {
        const isNewVersion = (facts.configuration_version ?? 0) > this.self.configuration_version;
        this.self = { ...this.self, ...facts, revision: this.self.revision + 1 };
        if (isNewVersion) {
            this.chooseOthers(SPREAD_FANOUT).forEach((member) => {
                this.options.functions.send(member.address, this.createProbe());
            });
        }
    }

    /** Says that the instance leaves; told at once to some, so that it spreads before the process ends. */
    announceLeaving(): void {
        this.self = { ...this.self, status: "leaving", incarnation: this.self.incarnation + 1 };
        this.getOthersAlive().forEach((member) => {
            this.options.functions.send(member.address, this.createProbe());
        });
    }

    /**
     * Takes a message.
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
                    members: this.chooseMembers(),
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

    private runPeriod(): void {
        this.recordSuspects();
        this.recordDead();
        const target = this.chooseTarget();
        if (target !== undefined) {
            this.sendProbe(target.address, target.id);
        }
        this.probeMissingSeed();
    }

    private sendProbe(address: string, targetId: string | undefined): void {
        const message = this.createProbe();
        this.openProbes.set(message.sequence, { targetId, address });
        this.options.functions.send(address, message);
        if (targetId !== undefined) {
            setTimeout(() => {
                this.askOthers(message.sequence, address);
            }, this.options.timing.probeTimeoutMs);
        }
    }

    private createProbe(): Extract<MembershipMessage, { kind: "probe"; }> {
        this.sequence += 1;
        return { kind: "probe", sequence: this.sequence, members: this.chooseMembers() };
    }

    private askOthers(sequence: number, target: string): void {
        if (!this.openProbes.has(sequence)) {
            return;
        }
        this.chooseOthers(INDIRECT_PROBES, target).forEach((member) => {
            const members = this.chooseMembers();
            this.options.functions.send(member.address, { kind: "probe-for", sequence, target, members });
        });
    }

    private chooseOthers(count: number, exceptAddress = ""): readonly Member[] {
        const others = this.getOthersAlive().filter((member) => member.address !== exceptAddress);
        const chosen: Member[] = [];
        while (chosen.length < count && others.length > 0) {
            chosen.push(...others.splice(this.chooseIndex(others.length), 1));
        }
        return chosen;
    }

    private relayProbe(fromAddress: string, sequence: number, target: string): void {
        const message = this.createProbe();
        this.relays.set(message.sequence, { askerAddress: fromAddress, askerSequence: sequence });
        this.options.functions.send(target, message);
    }

    private handleAcknowledge(sequence: number): void {
        this.openProbes.delete(sequence);
        const relay = this.relays.get(sequence);
        this.relays.delete(sequence);
        if (relay !== undefined) {
            this.options.functions.send(relay.askerAddress, {
                kind: "acknowledge",
                sequence: relay.askerSequence,
                members: this.chooseMembers(),
            });
        }
    }

    /** What is still open from the last period has had a whole period, direct and indirect. */
    private recordSuspects(): void {
        for (const { targetId } of this.openProbes.values()) {
            const record = targetId === undefined ? undefined : this.records.get(targetId);
            if (record?.member.status === "alive") {
                this.merge({ ...record.member, status: "suspect" });
            }
            else if (record?.member.status === "leaving") {
                this.merge({ ...record.member, status: "dead" });
            }
        }
        this.openProbes.clear();
        this.relays.clear();
    }

    private recordDead(): void {
        const now = performance.now();
        const { suspicionMs } = this.options.timing;
        for (const [id, { member, statusSinceMs }] of this.records) {
            if (member.status === "suspect" && now - statusSinceMs >= suspicionMs) {
                this.merge({ ...member, status: "dead" });
            }
            else if (member.status === "dead" && now - statusSinceMs >= suspicionMs * FORGET_AFTER_SUSPICIONS) {
                this.records.delete(id);
            }
        }
    }

    /** Round robin over a shuffled order, so that each member is probed within two rounds (SWIM, section 4.3). */
    private chooseTarget(): Member | undefined {
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
            const drawn = this.chooseIndex(last + 1);
            [ids[last], ids[drawn]] = [ids[drawn] ?? "", ids[last] ?? ""];
        }
        return ids;
    }

    /** After a long cut each side has declared the other dead; the seeds bring them together again. */
    private probeMissingSeed(): void {
        const known = new Set(this.getOthersAlive().map((member) => member.address));
        const missing = this.options.seeds.filter((seed) => seed !== this.self.address && !known.has(seed));
        const seed = missing[this.chooseIndex(missing.length)];
        if (seed !== undefined) {
            this.sendProbe(seed, undefined);
        }
    }

    private getOthersAlive(): Member[] {
        return [...this.records.values()].map(({ member }) => member).filter((member) => member.status !== "dead");
    }

    private chooseMembers(): Member[] {
        return [this.self, ...chooseGossip(this.records.values())];
    }

    private merge(heard: Member): void {
        if (heard.id === this.self.id) {
            this.refute(heard);
            return;
        }
        const record = this.records.get(heard.id);
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

    private chooseIndex(count: number): number {
        return Math.floor(this.options.functions.random() * count);
    }
}
