import type { LogEntry, Snapshot } from "@crankfork/schemas";
import { expect } from "chai";
import crc32 from "crc-32";
import { CorruptLogError, createLogStorage, LogGapError, type StorageRecord } from "../src/index.js";
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

    it("an append that does not follow the log is refused, and nothing is written", async () => {
        const folder = new MemoryFolder();
        await writeThreeEntries(folder);
        const storage = createLogStorage(folder.open());
        await storage.read();
        for (const entries of [[createEntry(5)], [createEntry(4), createEntry(6)], [createEntry(4), createEntry(4)]]) {
            const error: unknown = await storage.write([{ kind: "append", entries }]).catch((one: unknown) => one);
            expect(error).to.be.instanceOf(LogGapError);
        }
        await storage.write([{ kind: "append", entries: [createEntry(4)] }]);
        const stored = await createLogStorage(folder.open()).read();
        expect(stored.entries.map((entry) => entry.index)).to.deep.equal([1, 2, 3, 4]);
    });
});

const append = (...indexes: readonly number[]): StorageRecord => ({
    kind: "append",
    entries: indexes.map((index) => createEntry(index)),
});
const reset = (index: number): StorageRecord => ({ kind: "reset", index, term: 1 });

interface GapRow {
    readonly title: string;
    readonly snapshotIndex: number;
    readonly lines: readonly (readonly StorageRecord[])[];
    /** Line that is reported as corrupt, or the entries and how many were discarded. */
    readonly expected: number | { readonly indexes: readonly number[]; readonly discarded: number | undefined; };
}

const gapRows: readonly GapRow[] = [
    {
        title: "entries after the reset that follows the snapshot",
        snapshotIndex: 2,
        lines: [[append(1, 2)], [reset(2), append(3)], [append(4)]],
        expected: { indexes: [3, 4], discarded: undefined },
    },
    {
        title: "removed entries, some of which are back, before the reset",
        snapshotIndex: 7,
        lines: [[append(1, 2)], [append(6)], [reset(7)], [append(8)]],
        expected: { indexes: [8], discarded: undefined },
    },
    {
        title: "an earlier version's entries right after a snapshot without a reset",
        snapshotIndex: 7,
        lines: [[append(1, 2)], [append(8)], [append(9)]],
        expected: { indexes: [8, 9], discarded: 0 },
    },
    {
        title: "a snapshot that the log contradicts, and no reset",
        snapshotIndex: 2,
        lines: [[{ kind: "append", entries: [1, 2, 3].map((index) => createEntry(index, 5)) }]],
        expected: { indexes: [], discarded: 1 },
    },
    { title: "a gap that no snapshot fills", snapshotIndex: 2, lines: [[append(1, 2)], [append(4)]], expected: 2 },
    { title: "a gap after the reset", snapshotIndex: 2, lines: [[reset(2), append(3)], [append(5)]], expected: 2 },
    { title: "no beginning", snapshotIndex: 0, lines: [[append(4)]], expected: 1 },
    { title: "a reset to a later snapshot", snapshotIndex: 2, lines: [[append(1, 2, 3)], [reset(3)]], expected: 2 },
    { title: "a reset without a snapshot", snapshotIndex: 0, lines: [[reset(3), append(4)]], expected: 1 },
];

describe("a gap in the log is an error with its line, unless a snapshot covers it", () => {
    for (const { title, snapshotIndex, lines, expected } of gapRows) {
        it(title, async () => {
            const folder = new MemoryFolder();
            if (snapshotIndex > 0) {
                folder.corrupt("snapshot.json", () => formatLine({ ...snapshot, index: snapshotIndex }));
            }
            folder.corrupt("log-00000001.jsonl", () => Buffer.concat(lines.map(formatLine)));
            const read = createLogStorage(folder.open()).read();
            if (typeof expected === "number") {
                const error: unknown = await read.catch((one: unknown) => one);
                expect(error).to.be.instanceOf(CorruptLogError).and.have.property("line", expected);
                return;
            }
            const { entries, recovery } = await read;
            expect([entries.map((entry) => entry.index), recovery?.discardedEntries])
                .to.deep.equal([expected.indexes, expected.discarded]);
        });
    }
});

const farRows: readonly {
    readonly title: string;
    readonly snapshot?: { readonly index: number; readonly term: number; };
    readonly line: readonly unknown[];
    readonly message: string;
}[] = [
    {
        title: "a snapshot",
        snapshot: { index: Number.MAX_SAFE_INTEGER - 8, term: 1 },
        line: [reset(Number.MAX_SAFE_INTEGER - 8)],
        message: "snapshot.json:1: no log reaches entry 9007199254740983 of the snapshot",
    },
    {
        title: "a snapshot that was taken beyond the safe integers",
        snapshot: { index: 2 ** 53, term: 1 },
        line: [{ kind: "reset", index: 2 ** 53, term: 1 }],
        message: "snapshot.json:1: index is out of range",
    },
    {
        title: "an entry beyond the safe integers",
        line: [{ kind: "append", entries: [{ ...createEntry(1), index: 2 ** 53 }] }],
        message: "log-00000001.jsonl:1: 0.entries.0.index is out of range",
    },
    {
        title: "a term beyond the safe integers",
        line: [{ kind: "hard-state", state: { term: 2 ** 53 } }],
        message: "log-00000001.jsonl:1: 0.state.term is out of range",
    },
];

describe("a position that no log reaches, as earlier versions adopted it, is an error that says so", () => {
    for (const { title, snapshot: position, line, message } of farRows) {
        it(title, async () => {
            const folder = new MemoryFolder();
            if (position !== undefined) {
                folder.corrupt("snapshot.json", () => formatLine({ ...snapshot, ...position }));
            }
            folder.corrupt("log-00000001.jsonl", () => formatLine(line));
            const error: unknown = await createLogStorage(folder.open()).read().catch((one: unknown) => one);
            expect(error).to.be.instanceOf(CorruptLogError);
            expect((error as CorruptLogError).message).to.include(message).and.include("replace this voter");
        });
    }
});

function formatLine(value: unknown): Buffer {
    const text = JSON.stringify(value);
    return Buffer.from(`${(crc32.str(text) >>> 0).toString(16).padStart(8, "0")} ${text}\n`);
}
