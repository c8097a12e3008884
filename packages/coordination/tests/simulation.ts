import type { ReplicaAddress, ReplicaMessage } from "@crankfork/schemas";
import type FakeTimers from "@sinonjs/fake-timers";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { bootstrapSingleVoter, createLogStorage, Replica } from "../src/index.js";
import { MemoryFolder } from "./memoryFolder.js";

/** The paused clock. */
export type InstalledClock = ReturnType<typeof FakeTimers.install>;

/** What became of a proposal, as its proposer knows it. */
export interface ProposalRecord {
    readonly value: number;
    kind: "open" | "applied" | "not-leader" | "unknown";
    index: number | undefined;
}

interface Node {
    readonly address: ReplicaAddress;
    readonly folder: MemoryFolder;
    replica: Replica | undefined;
    applied: { index: number; value: number; }[];
    /** Bumped by each start, so that late work of an earlier one is dropped. */
    life: number;
    /** While frozen it neither sends nor receives; what comes waits. */
    isFrozen: boolean;
    inbox: (() => void)[];
}

const LEASE_CHECK_MS = 7;
const timing = { heartbeatMs: 50, minElectionTimeoutMs: 300 };

/** Replicas over a network and disks that fail, on a paused clock. Small on purpose: it holds no policy. */
export class Simulation {
    readonly nodes: Node[] = [];
    readonly proposals: ProposalRecord[] = [];
    readonly violations: string[] = [];
    private readonly leaders = new Map<number, string>();
    private readonly appliedValues = new Map<number, number>();
    private readonly cuts = new Set<string>();
    private next = 0;
    lossShare = 0;
    doubleShare = 0;
    mostDelayMs = 20;

    constructor(private readonly clock: InstalledClock, private readonly random: RandomGenerator, count: number) {
        for (let number = 0; number < count; number += 1) {
            const id = `r${String(number)}`;
            this.nodes.push({
                address: { id, address: id },
                folder: new MemoryFolder(() => this.draw() * 8),
                replica: undefined,
                applied: [],
                life: 0,
                isFrozen: false,
                inbox: [],
            });
        }
    }

    /** A number from 0 up to 1. */
    draw(): number {
        return (this.random.next() >>> 0) / 2 ** 32;
    }

    async start(): Promise<void> {
        setInterval(() => {
            if (this.countLeases() > 1) {
                this.violations.push("two replicas hold a lease at the same time");
            }
        }, LEASE_CHECK_MS);
        const [first] = this.nodes;
        await this.settle(bootstrapSingleVoter(createLogStorage(first!.folder.open()), first!.address));
        for (let number = 0; number < this.nodes.length; number += 1) {
            await this.startNode(number);
        }
        await this.clock.tickAsync(2_000);
        for (const node of this.nodes.slice(1)) {
            await this.addVoter(node.address);
        }
    }

    async startNode(number: number): Promise<void> {
        const node = this.nodes[number]!;
        node.life += 1;
        node.applied = [];
        node.isFrozen = false;
        node.inbox = [];
        const { life } = node;
        node.replica = await this.settle(Replica.start({
            self: node.address,
            timing,
            storage: createLogStorage(node.folder.open()),
            snapshotThreshold: 20,
            functions: {
                send: (to, message) => {
                    if (node.life === life) {
                        this.send(node, to, message);
                    }
                },
                random: () => this.draw(),
                applyCommand: (command, index) => this.apply(node, command as number, index),
                getState: () => [...node.applied],
                restoreState: (state) => {
                    node.applied = [...state as Node["applied"]];
                },
                handleEvent: (event) => {
                    if (event.kind === "role" && event.role === "leader") {
                        this.recordLeader(event.term, node.address.id);
                    }
                    if (event.kind === "fault") {
                        this.violations.push(`fault at ${node.address.id}: ${String(event.error)}`);
                    }
                },
            },
        }));
    }

    crash(number: number): void {
        const node = this.nodes[number]!;
        node.replica?.stop();
        node.replica = undefined;
        node.life += 1;
        node.folder.crash(this.draw());
    }

    freeze(number: number): void {
        this.nodes[number]!.isFrozen = true;
    }

    wake(number: number): void {
        const node = this.nodes[number]!;
        node.isFrozen = false;
        node.inbox.splice(0).forEach((deliver) => {
            deliver();
        });
    }

    cut(left: number, right: number): void {
        this.cuts.add(`${String(left)}-${String(right)}`);
        this.cuts.add(`${String(right)}-${String(left)}`);
    }

    heal(): void {
        this.cuts.clear();
        this.lossShare = 0;
        this.doubleShare = 0;
    }

    isolate(number: number): void {
        this.nodes.forEach((_, other) => {
            this.cut(number, other);
        });
    }

    /** Proposes to every replica; those that don't lead say so. */
    proposeEverywhere(): void {
        this.nodes.forEach((_, number) => {
            this.propose(number);
        });
    }

    private propose(number: number): void {
        const node = this.nodes[number];
        if (node?.replica === undefined || node.isFrozen) {
            return;
        }
        this.next += 1;
        const record: ProposalRecord = { value: this.next, kind: "open", index: undefined };
        this.proposals.push(record);
        void node.replica.propose(record.value).then((result) => {
            record.kind = result.kind;
            record.index = result.kind === "applied" ? result.index : undefined;
        });
    }

    getLeader(): Node | undefined {
        return this.nodes.find((node) => node.replica?.hasLeaderLease() === true);
    }

    /** Replicas that think they lead. */
    getLeaderNumbers(): readonly number[] {
        return this.nodes.flatMap((node, number) => node.replica?.getStatus().role === "leader" ? [number] : []);
    }

    /** Replicas that hold their lease at this moment: never more than one. A frozen one does nothing with its lease. */
    private countLeases(): number {
        return this.nodes.filter((node) => !node.isFrozen && node.replica?.hasLeaderLease() === true).length;
    }

    /** Awaits a promise that needs the paused clock to move. */
    async settle<Value>(promise: Promise<Value>): Promise<Value> {
        const end = { isReached: false };
        void promise.finally(() => {
            end.isReached = true;
        }).catch(() => undefined);
        for (let round = 0; round < 500 && !end.isReached; round += 1) {
            await this.clock.tickAsync(5);
        }
        return await promise;
    }

    async addVoter(address: ReplicaAddress): Promise<void> {
        for (let attempt = 0; attempt < 200; attempt += 1) {
            const replica = this.getLeader()?.replica;
            const present = replica?.getStatus().replicas;
            if (replica !== undefined && present !== undefined) {
                if (present.voters.some((voter) => voter.id === address.id)) {
                    return;
                }
                const isLearner = present.learners.some((one) => one.id === address.id);
                void replica.changeReplicas(
                    isLearner
                        ? {
                            voters: [...present.voters, address],
                            learners: present.learners.filter((one) => one.id !== address.id),
                        }
                        : { voters: present.voters, learners: [...present.learners, address] },
                );
            }
            await this.clock.tickAsync(50);
        }
        throw new Error(`${address.id} did not become a voter`);
    }

    private send(from: Node, to: ReplicaAddress, message: ReplicaMessage): void {
        if (from.isFrozen) {
            return;
        }
        const copies = this.draw() < this.doubleShare ? 2 : 1;
        for (let copy = 0; copy < copies; copy += 1) {
            if (this.draw() >= this.lossShare) {
                const text = JSON.stringify(message);
                setTimeout(() => {
                    this.deliver(from.address, to, text);
                }, this.draw() * this.mostDelayMs);
            }
        }
    }

    private deliver(from: ReplicaAddress, to: ReplicaAddress, text: string): void {
        const node = this.nodes.find((one) => one.address.id === to.id);
        const isCut = this.cuts.has(`${from.id.slice(1)}-${to.id.slice(1)}`);
        if (node?.replica === undefined || isCut) {
            return;
        }
        const { life } = node;
        const deliver = (): void => {
            if (node.life === life) {
                node.replica?.receive(from, JSON.parse(text) as ReplicaMessage);
            }
        };
        if (node.isFrozen) {
            node.inbox.push(deliver);
        }
        else {
            deliver();
        }
    }

    private apply(node: Node, value: number, index: number): number {
        const earlier = this.appliedValues.get(index);
        if (earlier !== undefined && earlier !== value) {
            this.violations.push(`entry ${String(index)} was ${String(earlier)} and is ${String(value)}`);
        }
        this.appliedValues.set(index, value);
        node.applied.push({ index, value });
        return value;
    }

    private recordLeader(term: number, id: string): void {
        const earlier = this.leaders.get(term);
        if (earlier !== undefined && earlier !== id) {
            this.violations.push(`term ${String(term)} has two leaders, ${earlier} and ${id}`);
        }
        this.leaders.set(term, id);
    }
}
