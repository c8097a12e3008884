import type { LogEntry, Snapshot } from "@crankfork/schemas";
import { expect } from "chai";
import { createLogStorage, type HardState, type LogStorage, type StoredState } from "../src/index.js";
import { type FolderFailure, SteppedFolder } from "./steppedFolder.js";

const createEntry = (index: number, term: number, command: unknown = index): LogEntry => ({
    index,
    term,
    payload: { kind: "command", command },
});
const createSnapshot = (index: number, term: number): Snapshot => ({
    index,
    term,
    replicas: { voters: [], learners: [] },
    state: index,
});

/** More than a segment holds, so that the next write starts another one. */
const LARGE_COMMAND = "x".repeat(1_100_000);

type Operation =
    | { readonly kind: "append"; readonly entries: readonly LogEntry[]; readonly hardState?: HardState; }
    | { readonly kind: "snapshot"; readonly snapshot: Snapshot; readonly tail: readonly LogEntry[]; };

/** Every kind of operation of the storage, in an order in which a replica performs them. */
const operations: readonly Operation[] = [
    {
        kind: "append",
        entries: [1, 2, 3].map((index) => createEntry(index, 1)),
        hardState: { term: 1, voted_for: "a" },
    },
    { kind: "append", entries: [createEntry(4, 1)] },
    // Truncates entries that conflict with a new leader's.
    { kind: "append", entries: [createEntry(3, 2), createEntry(4, 2)], hardState: { term: 2 } },
    // Compacts the own log.
    { kind: "snapshot", snapshot: createSnapshot(2, 1), tail: [createEntry(3, 2), createEntry(4, 2)] },
    { kind: "append", entries: [createEntry(5, 2)] },
    // Installs a leader's snapshot that ends behind the own log.
    { kind: "snapshot", snapshot: createSnapshot(9, 2), tail: [] },
    { kind: "append", entries: [createEntry(10, 2), createEntry(11, 2), createEntry(12, 2)] },
    // Installs a leader's snapshot that the own log contradicts.
    { kind: "snapshot", snapshot: createSnapshot(11, 3), tail: [] },
    { kind: "append", entries: [createEntry(12, 3, LARGE_COMMAND)], hardState: { term: 3 } },
    { kind: "append", entries: [createEntry(13, 3)] },
    // Two snapshots without an append in between.
    { kind: "snapshot", snapshot: createSnapshot(12, 3), tail: [createEntry(13, 3)] },
    { kind: "snapshot", snapshot: createSnapshot(13, 3), tail: [] },
    { kind: "append", entries: [createEntry(14, 3)] },
];

/** What a log must hold, as text that is compared. */
interface LogModel {
    readonly hardState: HardState;
    readonly snapshotIndex: number;
    readonly entries: readonly LogEntry[];
}

function applyOperation(model: LogModel, operation: Operation): LogModel {
    if (operation.kind === "snapshot") {
        return { ...model, snapshotIndex: operation.snapshot.index, entries: operation.tail };
    }
    const first = operation.entries[0]?.index ?? 0;
    return {
        ...model,
        hardState: operation.hardState ?? model.hardState,
        entries: [...model.entries.filter((entry) => entry.index < first), ...operation.entries],
    };
}

async function runOperation(storage: LogStorage, operation: Operation, model: LogModel): Promise<void> {
    if (operation.kind === "snapshot") {
        await storage.writeSnapshot(operation.snapshot, model.hardState, operation.tail);
        return;
    }
    const hardStates = operation.hardState === undefined
        ? []
        : [{ kind: "hard-state" as const, state: operation.hardState }];
    await storage.write([...hardStates, { kind: "append", entries: [...operation.entries] }]);
}

/** Settles once the operation has ended or can no longer end. */
async function waitUntilEnded(folder: SteppedFolder, running: Promise<unknown>): Promise<boolean> {
    let hasEnded: boolean | undefined;
    running.then(() => {
        hasEnded = true;
    }, () => {
        hasEnded = false;
    });
    while (hasEnded === undefined && !folder.hasFailed) {
        await new Promise(setImmediate);
    }
    await new Promise(setImmediate);
    return hasEnded ?? false;
}

function describeModel({ hardState, snapshotIndex, entries }: LogModel): string {
    const positions = entries.map((entry) => `${String(entry.index)}@${String(entry.term)}`).join(" ");
    return `${JSON.stringify(hardState)} snapshot ${String(snapshotIndex)} entries ${positions}`;
}

const describeStored = ({ hardState, snapshot, entries }: StoredState): string =>
    describeModel({ hardState, snapshotIndex: snapshot?.index ?? 0, entries });

async function readStored(folder: SteppedFolder): Promise<StoredState> {
    return await createLogStorage(folder.open()).read();
}

/** Runs the operations until the failure; returns the states that the log may be in: before and after the last one. */
async function runUntilFailure(folder: SteppedFolder): Promise<readonly [LogModel, LogModel] | undefined> {
    let model: LogModel = { hardState: { term: 0 }, snapshotIndex: 0, entries: [] };
    const storage = createLogStorage(folder.open());
    if (!await waitUntilEnded(folder, storage.read())) {
        return [model, model];
    }
    for (const operation of operations) {
        const next = applyOperation(model, operation);
        if (!await waitUntilEnded(folder, runOperation(storage, operation, model))) {
            return [model, next];
        }
        model = next;
    }
    return undefined;
}

interface Row {
    readonly title: string;
    readonly failure: FolderFailure;
    readonly isFileRestored: (place: number) => boolean;
}

const rows: readonly Row[] = [
    { title: "a kill", failure: "kill", isFileRestored: () => false },
    { title: "a full disk", failure: "full disk", isFileRestored: () => false },
    { title: "a power loss that keeps removed files", failure: "power loss", isFileRestored: () => true },
    { title: "a power loss that keeps every other one", failure: "power loss", isFileRestored: (at) => at % 2 === 0 },
    { title: "a power loss that keeps the others", failure: "power loss", isFileRestored: (at) => at % 2 === 1 },
];

/** Guards against the loss of entries that were acknowledged after a crash between a snapshot and its segment. */
describe("entries written after a crash at any step of the storage are there at each later start", () => {
    for (const { title, failure, isFileRestored } of rows) {
        it(title, async () => {
            for (let step = 0;; step += 1) {
                for (let stepOfRead = 0;; stepOfRead += 1) {
                    const folder = new SteppedFolder();
                    folder.failAfter(step, failure);
                    const allowed = await runUntilFailure(folder);
                    if (allowed === undefined) {
                        expect(step).to.be.greaterThan(operations.length);
                        return;
                    }
                    folder.recover(isFileRestored);
                    const context = `failure after step ${String(step)}, then ${String(stepOfRead)} of the next start`;
                    folder.failAfter(stepOfRead, failure);
                    const isReadWhole = await waitUntilEnded(folder, readStored(folder));
                    folder.recover(isFileRestored);
                    await checkStarts(folder, allowed.map(describeModel), context);
                    if (isReadWhole) {
                        break;
                    }
                }
            }
        });
    }
});

async function checkStarts(folder: SteppedFolder, allowed: readonly string[], context: string): Promise<void> {
    const storage = createLogStorage(folder.open());
    const first = await storage.read();
    expect(describeStored(first), context).to.be.oneOf(allowed);
    const last = first.entries.at(-1)?.index ?? first.snapshot?.index ?? 0;
    const appended = createEntry(last + 1, 4);
    await storage.write([{ kind: "append", entries: [appended] }]);
    const expected = describeStored({ ...first, entries: [...first.entries, appended] });
    for (const start of ["the second start", "the third start"]) {
        expect(describeStored(await readStored(folder)), `${context}, ${start}`).to.equal(expected);
    }
}
