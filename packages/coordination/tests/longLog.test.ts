import type { LogEntry } from "@crankfork/schemas";
import { expect } from "chai";
import { createLogStorage } from "../src/index.js";
import { GroupCommitQueue } from "../src/process/groupCommitQueue.js";
import { ReplicaLog } from "../src/version/replicaLog.js";
import { MemoryFolder } from "./memoryFolder.js";

/** More than a call can have arguments. */
const COUNT = 200_000;
const entries: readonly LogEntry[] = Array.from({ length: COUNT }, (_, at) => ({
    index: at + 1,
    term: 1,
    payload: { kind: "none" },
}));

describe("the number of entries written or read at once does not end a replica", () => {
    it("in memory", () => {
        const log = new ReplicaLog();
        log.append(entries);
        expect(log.last.index).to.equal(COUNT);
    });

    it("on disk, from many records that wait together", async () => {
        const storage = createLogStorage(new MemoryFolder(() => 0).open());
        const faults: unknown[] = [];
        const queue = new GroupCommitQueue({ storage, handleFault: (error) => faults.push(error) });
        queue.write([{ kind: "hard-state", state: { term: 1 } }]);
        queue.write(entries.map((entry) => ({ kind: "append", entries: [entry] })));
        await queue.waitForPendingWrites();
        expect(faults).to.deep.equal([]);
    });
});
