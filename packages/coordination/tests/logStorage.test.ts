import type { LogEntry, Snapshot } from "@crankfork/schemas";
import { expect } from "chai";
import { CorruptLogError, createLogStorage } from "../src/index.js";
import { MemoryFolder } from "./memoryFolder.js";

const createEntry = (index: number, term = 1): LogEntry => ({
    index,
    term,
    payload: { kind: "command", command: index },
});
const snapshot: Snapshot = { index: 2, term: 1, replicas: { voters: [], learners: [] }, state: "two" };

async function writeThreeEntries(folder: MemoryFolder): Promise<void> {
    const storage = createLogStorage(folder.open());
    await storage.read();
    for (const index of [1, 2, 3]) {
        await storage.write([{ kind: "hard-state", state: { term: 1, voted_for: "a" } }, {
            kind: "append",
            entries: [createEntry(index)],
        }]);
    }
}

interface Row {
    readonly title: string;
    readonly change: (content: Buffer) => Buffer;
    readonly indexes: readonly number[] | "corrupt";
}

const truncate = (bytes: number) => (content: Buffer): Buffer => content.subarray(0, content.length - bytes);
const flipBit = (at: (content: Buffer) => number) => (content: Buffer): Buffer => {
    const changed = Buffer.from(content);
    const offset = at(content);
    changed[offset] = (changed[offset] ?? 0) ^ 1;
    return changed;
};

const rows: readonly Row[] = [
    { title: "an untouched log", change: (content) => content, indexes: [1, 2, 3] },
    { title: "a torn last line", change: truncate(10), indexes: [1, 2] },
    { title: "a last line without its terminator", change: truncate(1), indexes: [1, 2] },
    {
        title: "a last line with a checksum mismatch",
        change: flipBit((content) => content.length - 5),
        indexes: [1, 2],
    },
    { title: "a first line with a checksum mismatch", change: flipBit(() => 20), indexes: "corrupt" },
    {
        title: "a line in the middle with a checksum mismatch",
        change: flipBit((content) => content.indexOf("\n") + 20),
        indexes: "corrupt",
    },
];

describe("the log on disk truncates a torn tail, and fails to open if acknowledged data is lost", () => {
    for (const { title, change, indexes } of rows) {
        it(title, async () => {
            const folder = new MemoryFolder();
            await writeThreeEntries(folder);
            folder.corrupt("log-00000001.jsonl", change);
            const read = createLogStorage(folder.open()).read();
            if (indexes === "corrupt") {
                expect(await read.catch((error: unknown) => error)).to.be.instanceOf(CorruptLogError);
            }
            else {
                expect((await read).entries.map((entry) => entry.index)).to.deep.equal(indexes);
            }
        });
    }

    it("a torn tail stays truncated when the log is read again after further writes", async () => {
        const folder = new MemoryFolder();
        await writeThreeEntries(folder);
        folder.corrupt("log-00000001.jsonl", truncate(10));
        const storage = createLogStorage(folder.open());
        await storage.read();
        await storage.write([{ kind: "append", entries: [createEntry(3, 2)] }]);
        const stored = await createLogStorage(folder.open()).read();
        expect(stored.entries.map((entry) => entry.term)).to.deep.equal([1, 1, 2]);
        expect(stored.hardState).to.deep.equal({ term: 1, voted_for: "a" });
    });

    it("an append truncates existing entries from its index on", async () => {
        const folder = new MemoryFolder();
        await writeThreeEntries(folder);
        const storage = createLogStorage(folder.open());
        await storage.read();
        await storage.write([{ kind: "append", entries: [createEntry(2, 5)] }]);
        const stored = await createLogStorage(folder.open()).read();
        expect(stored.entries.map((entry) => entry.term)).to.deep.equal([1, 5]);
    });

    it("a snapshot replaces the entries that it covers", async () => {
        const folder = new MemoryFolder();
        await writeThreeEntries(folder);
        const storage = createLogStorage(folder.open());
        await storage.read();
        await storage.writeSnapshot(snapshot, { term: 7 }, [createEntry(3)]);
        const stored = await createLogStorage(folder.open()).read();
        expect([stored.snapshot?.state, stored.hardState.term, stored.entries.map((entry) => entry.index)])
            .to.deep.equal(["two", 7, [3]]);
    });

    it("a snapshot whose new segment was never written leaves the old entries readable", async () => {
        const folder = new MemoryFolder();
        await writeThreeEntries(folder);
        const opened = folder.open();
        const storage = createLogStorage({ ...opened, append: () => new Promise(() => undefined) });
        await storage.read();
        void storage.writeSnapshot(snapshot, { term: 7 }, [createEntry(3)]);
        await new Promise(setImmediate);
        const stored = await createLogStorage(folder.open()).read();
        expect([stored.snapshot?.index, stored.hardState.term, stored.entries.map((entry) => entry.index)])
            .to.deep.equal([2, 1, [3]]);
    });
});
