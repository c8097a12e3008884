import { bootstrapLog, createAnswerForReplacedReplica, createLogStorage, Replica } from "@crankfork/coordination";
import { MemoryFolder } from "@crankfork/coordination/dist/tests/memoryFolder.js";
import type { ReplicaAddress, ReplicaMessage } from "@crankfork/schemas";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { FleetReplicaHost } from "../src/process/voter/fleetProposal.js";
import { VoterGroup } from "../src/process/voter/voterGroup.js";
import type { InstalledClock } from "./installedClock.js";

/** A machine with a disk, at an address that it keeps. */
export interface SimulatedMachine {
    readonly address: string;
    readonly folder: MemoryFolder;
    /** Identity of the disk. */
    self: ReplicaAddress;
    hasCluster: boolean;
    startedMs: number;
    replica: Replica | undefined;
    group: VoterGroup | undefined;
    /** Incremented by each start and end, so that delayed callbacks of an earlier incarnation are dropped. */
    incarnation: number;
    values: number[];
}

const timing = { heartbeatMs: 120, minElectionTimeoutMs: 600 };
const SNAPSHOT_THRESHOLD = 20;
const MAX_DELAY_MS = 15;
const MAX_SYNC_MS = 10;
/** Machines that the settings name when they are written. */
const SEEDS = 3;
const LEASE_CHECK_MS = 7;
const CONFIRM_ATTEMPT_MS = 50;
const STEP_MS = 5;

/** Voters on a fake clock, with the log, the choice of the voters and the disks of real ones. */
export class VoterSimulation {
    readonly machines: SimulatedMachine[] = [];
    readonly violations: string[] = [];
    readonly acknowledged: number[] = [];
    private readonly cutLinks = new Set<string>();
    private lastValue = 0;
    private diskCount = 0;

    /**
     * @param clock - the fake clock
     * @param random - source of all delays and choices
     * @param toleratedLosses - losses that the set has to bear
     */
    constructor(
        private readonly clock: InstalledClock,
        private readonly random: RandomGenerator,
        private readonly toleratedLosses: number,
    ) {}

    /** A random number in [0, 1). */
    drawRandom(): number {
        return (this.random.next() >>> 0) / 2 ** 32;
    }

    /** One of some choices. */
    choose<Value>(choices: readonly Value[]): Value {
        return choices[Math.floor(this.drawRandom() * choices.length)]!;
    }

    /** Founds the cluster with as many voters as the losses need. */
    async start(): Promise<void> {
        setInterval(() => {
            if (this.machines.filter((machine) => machine.replica?.hasLeaderLease() === true).length > 1) {
                this.violations.push("two replicas hold the leader lease");
            }
        }, LEASE_CHECK_MS);
        const founders = Array.from({ length: 2 * this.toleratedLosses + 1 }, () => this.createMachine());
        const voters = founders.map((machine) => machine.self);
        for (const machine of founders) {
            machine.hasCluster = true;
            await this.runUntilSettled(bootstrapLog(createLogStorage(machine.folder.open()), voters));
            await this.startMachine(machine);
        }
        await this.confirm();
    }

    /** Adds a machine with an empty disk. */
    async addMachine(): Promise<SimulatedMachine> {
        const machine = this.createMachine();
        await this.startMachine(machine);
        return machine;
    }

    async startMachine(machine: SimulatedMachine): Promise<void> {
        machine.incarnation += 1;
        machine.values = [];
        machine.startedMs = performance.now();
        const { incarnation } = machine;
        const seeds = this.listRunning().slice(0, SEEDS).map(({ address }) => address);
        const replica = await this.runUntilSettled(Replica.start({
            self: machine.self,
            timing,
            storage: createLogStorage(machine.folder.open()),
            snapshotThreshold: SNAPSHOT_THRESHOLD,
            functions: {
                send: (to, message) => {
                    if (machine.incarnation === incarnation && machine.hasCluster) {
                        this.send(machine, to, message);
                    }
                },
                random: () => this.drawRandom(),
                applyCommand: (command) => machine.values.push(command as number),
                getState: () => [...machine.values],
                restoreState: (state) => {
                    machine.values = [...state as number[]];
                },
                handleEvent: (event) => {
                    if (event.kind === "fault" || event.kind === "acknowledged-entries-lost") {
                        this.violations.push(`${machine.self.id}: ${JSON.stringify(event)}`);
                    }
                },
            },
        }));
        machine.replica = replica;
        const host = {
            self: machine.self,
            replica,
            get cluster(): string | undefined {
                return machine.hasCluster ? "c" : undefined;
            },
        };
        machine.group = new VoterGroup({
            host: host as unknown as FleetReplicaHost,
            peers: {
                call: (address, method, parameters) => this.call(machine, address, method, parameters),
                send: () => undefined,
            },
            log: { record: () => undefined },
            getNowMs: () => performance.now(),
            getSeeds: () => seeds,
            toleratedLosses: this.toleratedLosses,
        });
        machine.group.start();
    }

    /** Ends a process without notice. */
    kill(machine: SimulatedMachine): void {
        machine.group?.stop();
        machine.replica?.stop();
        machine.group = undefined;
        machine.replica = undefined;
        machine.incarnation += 1;
        machine.folder.crash(this.drawRandom());
    }

    /** Ends a process as planned. */
    async terminate(machine: SimulatedMachine): Promise<void> {
        await this.runUntilSettled(machine.group!.leave());
        this.kill(machine);
    }

    /** Ends a process whose disk is lost with it. */
    loseDisk(machine: SimulatedMachine): void {
        this.kill(machine);
        machine.folder.clear();
        machine.self = this.createIdentity(machine.address);
        machine.hasCluster = false;
    }

    /** Cuts two groups of machines from each other, until {@link heal}. */
    cut(left: readonly SimulatedMachine[], right: readonly SimulatedMachine[]): void {
        left.forEach((one) => {
            right.forEach((other) => {
                this.cutLinks.add(`${one.address}-${other.address}`).add(`${other.address}-${one.address}`);
            });
        });
    }

    heal(): void {
        this.cutLinks.clear();
    }

    async wait(ms: number): Promise<void> {
        await this.clock.tickAsync(ms);
    }

    /** The machines whose process runs. */
    listRunning(): readonly SimulatedMachine[] {
        return this.machines.filter((machine) => machine.replica !== undefined);
    }

    getLeader(): SimulatedMachine | undefined {
        return this.machines.find((machine) => machine.replica?.hasLeaderLease() === true);
    }

    /**
     * Has a value acknowledged.
     * @param limitMs - time after which it gives up
     * @returns whether it was acknowledged
     */
    async confirm(limitMs: number = 15_000): Promise<boolean> {
        this.lastValue += 1;
        const value = this.lastValue;
        const outcome = { isApplied: false };
        for (const endMs = performance.now() + limitMs; !outcome.isApplied && performance.now() < endMs;) {
            void this.propose(value).then((isConfirmed) => {
                outcome.isApplied ||= isConfirmed;
            });
            await this.waitUntil(() => outcome.isApplied, CONFIRM_ATTEMPT_MS);
        }
        if (outcome.isApplied) {
            this.acknowledged.push(value);
        }
        return outcome.isApplied;
    }

    private async propose(value: number): Promise<boolean> {
        const { replica, group } = this.getLeader() ?? {};
        const result = await replica?.propose(value);
        return result?.kind === "applied" && await group?.awaitReplacements() === true;
    }

    private async waitUntil(isReached: () => boolean, limitMs: number): Promise<void> {
        for (const endMs = performance.now() + limitMs; !isReached() && performance.now() < endMs;) {
            await this.wait(STEP_MS);
        }
    }

    private createMachine(): SimulatedMachine {
        const address = `m${String(this.machines.length)}`;
        const machine: SimulatedMachine = {
            address,
            folder: new MemoryFolder(() => this.drawRandom() * MAX_SYNC_MS),
            self: this.createIdentity(address),
            hasCluster: false,
            startedMs: 0,
            replica: undefined,
            group: undefined,
            incarnation: 0,
            values: [],
        };
        this.machines.push(machine);
        return machine;
    }

    private createIdentity(address: string): ReplicaAddress {
        this.diskCount += 1;
        return { id: `${address}.${String(this.diskCount)}`, address };
    }

    private async runUntilSettled<Value>(promise: Promise<Value>): Promise<Value> {
        const outcome = { isSettled: false };
        void promise.finally(() => {
            outcome.isSettled = true;
        }).catch(() => undefined);
        await this.waitUntil(() => outcome.isSettled, Number.POSITIVE_INFINITY);
        return await promise;
    }

    private isCut(from: string, to: string): boolean {
        return this.cutLinks.has(`${from}-${to}`);
    }

    private send(from: SimulatedMachine, to: ReplicaAddress, message: ReplicaMessage): void {
        const { self } = from;
        const text = JSON.stringify(message);
        setTimeout(() => {
            this.deliver(self, to, JSON.parse(text) as ReplicaMessage);
        }, this.drawRandom() * MAX_DELAY_MS);
    }

    private deliver(from: ReplicaAddress, to: ReplicaAddress, message: ReplicaMessage): void {
        const machine = this.machines.find(({ address }) => address === to.address);
        if (machine?.replica === undefined || this.isCut(from.address, to.address)) {
            return;
        }
        if (machine.self.id === to.id) {
            machine.hasCluster = true;
            machine.replica.receive(from, message);
        }
        else if (message.kind === "pre-vote") {
            const answer = createAnswerForReplacedReplica(message, performance.now() - machine.startedMs);
            this.send({ ...machine, self: to }, from, answer);
        }
    }

    private async call(from: SimulatedMachine, address: string, method: string, parameters: object): Promise<unknown> {
        const { replica } = parameters as { readonly replica: ReplicaAddress; };
        await new Promise((resolve) => setTimeout(resolve, this.drawRandom() * MAX_DELAY_MS));
        const group = this.machines.find((machine) => machine.address === address)?.group;
        if (group === undefined || this.isCut(from.address, address)) {
            throw new Error("ECONNREFUSED");
        }
        if (method === "leave") {
            return group.handleLeaveRequest(replica);
        }
        const leader = group.handleJoinRequest(replica);
        return leader === undefined ? {} : { leader };
    }
}
