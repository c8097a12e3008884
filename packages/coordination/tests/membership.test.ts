import { type Member, type MembershipMessage, membershipMessageSchema } from "@crankfork/schemas";
import FakeTimers from "@sinonjs/fake-timers";
import { expect } from "chai";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { Membership } from "../src/index.js";
import type { InstalledClock } from "./simulation.js";

const timing = { probeMs: 300, probeTimeoutMs: 150, suspicionMs: 1_500 };
const createAddress = (number: number): string => `127.0.0.1:${String(9_000 + number)}`;

/** Members connected by a simulated network whose links can be cut. */
class Network {
    readonly nodes: Membership[] = [];
    readonly stopped = new Set<string>();
    readonly disconnectedLinks = new Set<string>();
    sent = 0;
    private readonly random = xoroshiro128plus(7);

    constructor(count: number) {
        for (let number = 0; number < count; number += 1) {
            this.add(number, 1);
        }
    }

    add(number: number, incarnation: number): void {
        const address = createAddress(number);
        const membership = new Membership({
            self: {
                id: `n${String(number)}`,
                address,
                failure_domain: "local",
                incarnation,
                status: "alive",
                has_replica: false,
                configuration_version: 0,
                revision: 0,
                in_flight: {},
                demand: {},
            },
            seeds: [createAddress(0), createAddress(1)],
            timing,
            functions: {
                send: (to, message) => this.deliver(address, to, message),
                random: () => (this.random.next() >>> 0) / 2 ** 32,
                handleStatus: () => undefined,
                handleVersion: () => undefined,
                handleFault: (error) => {
                    throw error;
                },
            },
        });
        this.nodes[number] = membership;
        membership.start();
    }

    stop(number: number): void {
        this.nodes[number]!.stop();
        this.stopped.add(createAddress(number));
    }

    disconnect(left: number, right: number): void {
        this.disconnectedLinks.add(`${createAddress(left)} ${createAddress(right)}`);
        this.disconnectedLinks.add(`${createAddress(right)} ${createAddress(left)}`);
    }

    getStatus(number: number, seenBy: number): Member["status"] | undefined {
        return this.nodes[seenBy]!.getMembers().find((member) => member.id === `n${String(number)}`)?.status;
    }

    close(): void {
        this.nodes.forEach((node) => node.stop());
    }

    private deliver(from: string, to: string, message: MembershipMessage): void {
        this.sent += 1;
        const text = JSON.stringify(message);
        setTimeout(() => {
            if (!this.stopped.has(to) && !this.stopped.has(from) && !this.disconnectedLinks.has(`${from} ${to}`)) {
                this.nodes[Number(to.slice(-4)) - 9_000]!.receive(from, JSON.parse(text) as MembershipMessage);
            }
        }, 1);
    }
}

describe("membership by probes, indirect probes, suspicion and refutation", () => {
    let clock: InstalledClock;
    let network: Network;

    beforeEach(async () => {
        clock = FakeTimers.install({
            toFake: ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "performance"],
        });
        network = new Network(9);
        await clock.tickAsync(5_000);
    });

    afterEach(() => {
        network.close();
        clock.uninstall();
    });

    it("nine instances with two seeds discover each other", () => {
        for (const node of network.nodes) {
            expect(node.getLiveMembers()).to.have.length(9);
        }
    });

    it("a crashed member is declared dead by all others within 8 s", async () => {
        network.stop(4);
        await clock.tickAsync(8_000);
        const seen = network.nodes.flatMap((_, by) => by === 4 ? [] : [network.getStatus(4, by)]);
        expect(new Set(seen)).to.deep.equal(new Set(["dead"]));
    });

    it("two members whose link is cut stay alive to each other through indirect probes", async () => {
        network.disconnect(2, 3);
        await clock.tickAsync(20_000);
        expect([network.getStatus(3, 2), network.getStatus(2, 3)]).to.deep.equal(["alive", "alive"]);
    });

    it("a member that is wrongly suspected refutes with a higher incarnation", async () => {
        const suspect = { ...network.nodes[5]!.getMembers()[0]!, status: "suspect" as const };
        network.nodes[1]!.receive(createAddress(2), { kind: "probe", sequence: 1, members: [suspect] });
        expect(network.getStatus(5, 1)).to.equal("suspect");
        await clock.tickAsync(1_400);
        expect(network.getStatus(5, 1)).to.equal("alive");
    });

    it("leaving reaches all members within 3 s, and prevails over stale reports that the member is alive", async () => {
        network.nodes[6]!.announceLeaving();
        await clock.tickAsync(3_000);
        const seen = network.nodes.map((_, by) => network.getStatus(6, by));
        expect(new Set(seen)).to.deep.equal(new Set(["leaving"]));
        const stale = { ...network.nodes[6]!.getMembers()[0]!, status: "alive" as const };
        network.nodes[1]!.receive(createAddress(2), { kind: "probe", sequence: 1, members: [stale] });
        expect(network.getStatus(6, 1)).to.equal("leaving");
    });

    it("a dead member that restarts is alive again", async () => {
        network.stop(4);
        await clock.tickAsync(8_000);
        network.stopped.clear();
        network.add(4, 2);
        await clock.tickAsync(5_000);
        expect(network.nodes.map((_, by) => network.getStatus(4, by))).to.deep.equal(Array(9).fill("alive"));
    });

    it("the two sides of a long network partition merge again", async () => {
        for (const left of [0, 1, 2, 3]) {
            for (const right of [4, 5, 6, 7, 8]) {
                network.disconnect(left, right);
            }
        }
        await clock.tickAsync(20_000);
        expect(network.getStatus(0, 8)).to.equal("dead");
        network.disconnectedLinks.clear();
        await clock.tickAsync(10_000);
        for (const node of network.nodes) {
            expect(node.getLiveMembers()).to.have.length(9);
        }
    });

    it("a new configuration version reaches all members within 3 s", async () => {
        network.nodes[3]!.updateSelf({ configuration_version: 12 });
        await clock.tickAsync(3_000);
        for (const node of network.nodes) {
            expect(node.getMembers().find((member) => member.id === "n3")?.configuration_version).to.equal(12);
        }
    });
});

describe("a report of an instance that is far ahead is ignored", () => {
    const FAR = Number.MAX_SAFE_INTEGER;
    const rows: readonly { readonly title: string; readonly report: Partial<Member>; }[] = [
        { title: "it is suspected", report: { status: "suspect", incarnation: FAR } },
        { title: "it is dead", report: { status: "dead", incarnation: FAR } },
        { title: "it is leaving", report: { status: "leaving", incarnation: FAR } },
        { title: "it is alive at another address", report: { address: createAddress(7), incarnation: FAR } },
        { title: "it has another configuration", report: { configuration_version: 9, revision: FAR } },
    ];
    for (const { title, report } of rows) {
        it(title, async () => {
            const clock = FakeTimers.install();
            const network = new Network(3);
            try {
                await clock.tickAsync(5_000);
                const members = network.nodes[1]!.getMembers().slice(0, 1).map((self) => ({ ...self, ...report }));
                network.nodes.forEach((node) => {
                    node.receive(createAddress(2), { kind: "acknowledge", sequence: 0, members });
                });
                await clock.tickAsync(5_000);
                network.nodes[1]!.updateSelf({ configuration_version: 1 });
                await clock.tickAsync(5_000);
                for (const node of network.nodes) {
                    const sent = membershipMessageSchema.parse({
                        kind: "acknowledge",
                        sequence: 0,
                        members: node.getMembers(),
                    });
                    expect(sent.members.find(({ id }) => id === "n1")).to.include({
                        status: "alive",
                        address: createAddress(1),
                        configuration_version: 1,
                    });
                }
            }
            finally {
                network.close();
                clock.uninstall();
            }
        });
    }
});

describe("the load per node does not grow with the number of nodes", () => {
    let clock: InstalledClock;

    beforeEach(() => {
        clock = FakeTimers.install({
            toFake: ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "performance"],
        });
    });

    afterEach(() => {
        clock.uninstall();
    });

    it("messages per node and second, 9 nodes against 90", async () => {
        const rates: number[] = [];
        for (const count of [9, 90]) {
            const network = new Network(count);
            await clock.tickAsync(10_000);
            network.sent = 0;
            await clock.tickAsync(10_000);
            rates.push(network.sent / count / 10);
            network.close();
        }
        expect(rates[1]).to.be.below(rates[0]! * 1.2);
    });
});
