/** Guards against exceptions in a replica that end its process: they are faults of that replica. */
import FakeTimers from "@sinonjs/fake-timers";
import { expect } from "chai";
import { bootstrapLog, createLogStorage, Membership, Replica, type ReplicaEvent } from "../src/index.js";
import { MemoryFolder } from "./memoryFolder.js";
import type { InstalledClock } from "./simulation.js";

const [self, ...others] = ["a", "b", "c"].map((id) => ({ id, address: id })) as [
    { id: string; address: string; },
    ...{ id: string; address: string; }[],
];

const failOnce = (): () => void => {
    let hasFailed = false;
    return () => {
        if (!hasFailed) {
            hasFailed = true;
            throw new Error("injected");
        }
    };
};

const rows: readonly {
    readonly title: string;
    readonly voters: readonly { id: string; address: string; }[];
    /** The function that fails. */
    readonly failing: "send" | "snapshot" | "role";
}[] = [
    { title: "a send in the timer", voters: [self, ...others], failing: "send" },
    { title: "a snapshot that is due after a sync", voters: [self], failing: "snapshot" },
    { title: "the event of a new role", voters: [self], failing: "role" },
];

describe("an exception stops a replica with a fault", () => {
    let clock: InstalledClock;

    beforeEach(() => {
        clock = FakeTimers.install({ toFake: ["setTimeout", "setInterval", "clearInterval", "performance"] });
    });

    afterEach(() => {
        clock.uninstall();
    });

    for (const { title, voters, failing } of rows) {
        it(title, async () => {
            const storage = createLogStorage(new MemoryFolder().open());
            await bootstrapLog(storage, voters);
            const fail = failOnce();
            const events: ReplicaEvent[] = [];
            let sent = 0;
            const replica = await Replica.start({
                self,
                timing: { heartbeatMs: 50, minElectionTimeoutMs: 300 },
                storage,
                snapshotThreshold: 2,
                functions: {
                    send: () => {
                        sent += 1;
                        if (failing === "send") {
                            fail();
                        }
                    },
                    random: () => 0,
                    applyCommand: () => undefined,
                    getState: () => {
                        if (failing === "snapshot") {
                            fail();
                        }
                        return [];
                    },
                    restoreState: () => undefined,
                    handleEvent: (event) => {
                        events.push(event);
                        if (failing === "role" && event.kind === "role") {
                            fail();
                        }
                    },
                },
            });
            await clock.tickAsync(2_000);
            const proposal = replica.propose("command");
            await clock.tickAsync(2_000);
            const sentAtFault = sent;
            await clock.tickAsync(5_000);
            const faults = events.flatMap((event) => event.kind === "fault" ? [String(event.error)] : []);
            expect(faults).to.deep.equal(["Error: injected"]);
            expect(sent).to.equal(sentAtFault);
            expect(await proposal).to.have.property("kind").that.is.oneOf(["unknown", "not-leader"]);
        });
    }
});

describe("an exception in a protocol period of the membership", () => {
    let clock: InstalledClock;

    beforeEach(() => {
        clock = FakeTimers.install({ toFake: ["setTimeout", "setInterval", "clearInterval", "performance"] });
    });

    afterEach(() => {
        clock.uninstall();
    });

    it("is reported, and the next period runs", async () => {
        const fail = failOnce();
        const faults: string[] = [];
        let sent = 0;
        const member = { failure_domain: "d", incarnation: 1, status: "alive" as const, has_replica: true };
        const state = { configuration_version: 0, revision: 0, in_flight: {}, demand: {} };
        const membership = new Membership({
            self: { ...self, ...member, ...state },
            seeds: [],
            timing: { probeMs: 100, probeTimeoutMs: 50, suspicionMs: 1_000 },
            functions: {
                send: () => {
                    sent += 1;
                    fail();
                },
                random: () => 0,
                handleStatus: () => undefined,
                handleVersion: () => undefined,
                handleFault: (error) => faults.push(String(error)),
            },
        });
        membership.start();
        const message = {
            kind: "acknowledge" as const,
            sequence: 0,
            members: others.map((one) => ({ ...one, ...member, ...state })),
        };
        membership.receive("b", message);
        await clock.tickAsync(1_000);
        membership.stop();
        expect(faults).to.deep.equal(["Error: injected"]);
        expect(sent).to.be.above(3);
    });
});
