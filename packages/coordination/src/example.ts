/**
 * A log with two voters in one process: bootstraps the log, adds a voter, proposes commands, restarts a replica and
 * reads the state back.
 */
import type { ReplicaAddress, ReplicaMessage } from "@crankfork/schemas";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { bootstrapSingleVoter, createLogStorage, openDiskFolder, Replica } from "./index.js";

const root = mkdtempSync(join(tmpdir(), "crankfork-example-"));
const running = new Map<string, Replica>();

/** Starts a replica whose state machine sums the proposed numbers. */
async function startAdder(self: ReplicaAddress): Promise<Replica> {
    let sum = 0;
    const replica = await Replica.start({
        self,
        timing: { heartbeatMs: 50, minElectionTimeoutMs: 300 },
        storage: createLogStorage(await openDiskFolder(join(root, self.id))),
        snapshotThreshold: 100,
        functions: {
            send: (to: ReplicaAddress, message: ReplicaMessage) => {
                setImmediate(() => running.get(to.id)?.receive(self, message));
            },
            random: Math.random,
            applyCommand: (command) => {
                sum += Number(command);
                return sum;
            },
            getState: () => sum,
            restoreState: (state) => {
                sum = Number(state);
            },
            handleEvent: () => undefined,
        },
    });
    running.set(self.id, replica);
    return replica;
}

async function waitForLeader(replica: Replica): Promise<void> {
    while (!replica.hasLeaderLease()) {
        await new Promise((resolve) => setTimeout(resolve, 20));
    }
}

const first: ReplicaAddress = { id: "first", address: "first" };
const second: ReplicaAddress = { id: "second", address: "second" };
await bootstrapSingleVoter(createLogStorage(await openDiskFolder(join(root, first.id))), first);
let leader = await startAdder(first);
await waitForLeader(leader);
const follower = await startAdder(second);
await leader.changeReplicas({ voters: [first], learners: [second] });
await leader.changeReplicas({ voters: [first, second], learners: [] });
await leader.propose(40);
console.log("result with two voters:", await leader.propose(2));

leader.stop();
leader = await startAdder(first);
while (!leader.hasLeaderLease() && !follower.hasLeaderLease()) {
    await new Promise((resolve) => setTimeout(resolve, 20));
}
const currentLeader = leader.hasLeaderLease() ? leader : follower;
console.log("result after a restart:", await currentLeader.propose(0));
running.forEach((replica) => {
    replica.stop();
});
rmSync(root, { recursive: true, force: true });
