/**
 * The log on disk: segments of checksummed lines, and one snapshot.
 *
 * One line holds all records that were synced together. Only the very last line may fail its checksum, as a torn write;
 * anywhere else the disk has lost acknowledged data, and the replica must not start.
 */
import { type LogEntry, logEntrySchema, type Snapshot, snapshotSchema } from "@crankfork/schemas";
import crc32 from "crc-32";
import * as z from "zod";
import type { Folder } from "./folder.js";
import { isIndex } from "./messageCheck.js";

const MAX_SEGMENT_BYTES = 1_048_576;
const SNAPSHOT_FILE = "snapshot.json";
const CHECKSUM_DIGITS = 8;
const segmentPattern = /^log-(\d{8})\.jsonl$/;

const hardStateSchema = z.object({ term: z.int(), voted_for: z.string().optional() });

const storageRecordSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("hard-state"), state: hardStateSchema }),
    z.object({ kind: z.literal("append"), entries: z.array(logEntrySchema) }),
    /** First record of a segment that follows a snapshot: discards the entries of older segments. */
    z.object({ kind: z.literal("reset"), index: z.int(), term: z.int() }),
]);

/** The current term, and the vote cast in it. */
export type HardState = z.infer<typeof hardStateSchema>;
/** One record of a segment. */
export type StorageRecord = z.infer<typeof storageRecordSchema>;

/** The persistent state of a replica, as read on start. */
export interface StoredState {
    readonly hardState: HardState;
    readonly snapshot: Snapshot | undefined;
    /** The entries after the snapshot, without a gap. */
    readonly entries: readonly LogEntry[];
    /** Set if this read completed a snapshot that a crash had interrupted. */
    readonly recovery?: SnapshotRecovery | undefined;
}

/** What completing an interrupted snapshot did to the log. */
export interface SnapshotRecovery {
    readonly snapshotIndex: number;
    /** Entries after the snapshot's index that were discarded because the log does not contain the snapshot's entry. */
    readonly discardedEntries: number;
}

/** Durable storage of a log. Writes are durable once their promise resolves; callers must not overlap them. */
export interface LogStorage {
    readonly read: () => Promise<StoredState>;
    readonly write: (records: readonly StorageRecord[]) => Promise<void>;
    readonly writeSnapshot: (snapshot: Snapshot, hardState: HardState, tail: readonly LogEntry[]) => Promise<void>;
}

/** A log file lost or changed data that had been acknowledged. */
export class CorruptLogError extends Error {
    override readonly name = "CorruptLogError";

    /**
     * @param file - the file
     * @param line - the line, counted from 1
     * @param reason - what is wrong with the line
     */
    constructor(
        readonly file: string,
        readonly line: number,
        reason: string = "checksum mismatch before the end of the log",
    ) {
        super(`${file}:${String(line)}: ${reason}; replace this voter, do not start it`);
    }
}

/** Entries to be written do not follow the last entry of the log. Nothing was written. */
export class LogGapError extends Error {
    override readonly name = "LogGapError";

    /**
     * @param index - index of the entry that does not follow
     * @param lastIndex - index of the entry before it
     */
    constructor(readonly index: number, readonly lastIndex: number) {
        super(`entry ${String(index)} does not follow entry ${String(lastIndex)} of the log`);
    }
}

/**
 * Opens the log in a folder.
 * @param folder - the folder
 * @returns functions that read and write the log; `read` comes before the first write
 */
export function createLogStorage(folder: Folder): LogStorage {
    const segment: OpenSegment = { number: 0, bytes: 0, baseIndex: 0, lastIndex: 0 };
    return {
        read: () => readStoredState(folder, segment),
        write: async (records) => {
            if (segment.bytes > MAX_SEGMENT_BYTES) {
                segment.number += 1;
                segment.bytes = 0;
            }
            await appendLine(folder, segment, records);
        },
        writeSnapshot: async (snapshot, hardState, tail) => {
            await folder.replace(SNAPSHOT_FILE, formatLine(snapshot));
            await startSegmentAfter(folder, segment, snapshot, hardState, tail);
        },
    };
}

interface OpenSegment {
    number: number;
    bytes: number;
    /** Index of the snapshot that the log follows. */
    baseIndex: number;
    /** Index of the last entry, or `baseIndex` if there is none. */
    lastIndex: number;
}

function formatSegmentName(number: number): string {
    return `log-${String(number).padStart(CHECKSUM_DIGITS, "0")}.jsonl`;
}

function formatLine(value: unknown): Buffer {
    const text = JSON.stringify(value);
    return Buffer.from(`${formatChecksum(text)} ${text}\n`);
}

function formatChecksum(text: string): string {
    return (crc32.str(text) >>> 0).toString(16).padStart(CHECKSUM_DIGITS, "0");
}

/** Parses a line without its terminator; undefined if its checksum does not match. */
function parseLine(line: string): unknown {
    const text = line.slice(CHECKSUM_DIGITS + 1);
    return line.slice(0, CHECKSUM_DIGITS) === formatChecksum(text) ? JSON.parse(text) : undefined;
}

async function appendLine(folder: Folder, segment: OpenSegment, records: readonly StorageRecord[]): Promise<void> {
    const position = { ...segment };
    records.forEach((record) => {
        advancePosition(position, record);
    });
    const line = formatLine(records);
    segment.bytes += line.length;
    await folder.append(formatSegmentName(segment.number), line);
    segment.baseIndex = position.baseIndex;
    segment.lastIndex = position.lastIndex;
}

/** Starts the segment that follows a snapshot, and removes the segments before it. */
async function startSegmentAfter(
    folder: Folder,
    segment: OpenSegment,
    snapshot: Snapshot,
    hardState: HardState,
    tail: readonly LogEntry[],
): Promise<void> {
    segment.number += 1;
    segment.bytes = 0;
    await appendLine(folder, segment, [
        { kind: "reset", index: snapshot.index, term: snapshot.term },
        { kind: "hard-state", state: hardState },
        { kind: "append", entries: [...tail] },
    ]);
    await removeSegmentsBefore(folder, segment.number);
}

/**
 * Moves the end of the log past a record.
 * @throws LogGapError if entries neither follow the end of the log nor replace its last entries
 */
function advancePosition(position: Pick<OpenSegment, "baseIndex" | "lastIndex">, record: StorageRecord): void {
    switch (record.kind) {
        case "hard-state":
            return;
        case "reset":
            position.baseIndex = record.index;
            position.lastIndex = record.index;
            return;
        case "append": {
            const first = record.entries[0];
            if (first === undefined) {
                return;
            }
            if (first.index <= position.baseIndex || first.index > position.lastIndex + 1) {
                throw new LogGapError(first.index, position.lastIndex);
            }
            for (const [at, { index }] of record.entries.entries()) {
                if (index !== first.index + at) {
                    throw new LogGapError(index, first.index + at - 1);
                }
            }
            position.lastIndex = first.index + record.entries.length - 1;
            return;
        }
    }
}

async function listSegments(folder: Folder): Promise<readonly number[]> {
    const names = await folder.list();
    const numbers = names.flatMap((name) => segmentPattern.exec(name)?.[1] ?? []);
    return numbers.map(Number).sort((left, right) => left - right);
}

async function removeSegmentsBefore(folder: Folder, number: number): Promise<void> {
    for (const old of await listSegments(folder)) {
        if (old < number) {
            await folder.remove(formatSegmentName(old));
        }
    }
}

async function readStoredState(folder: Folder, open: OpenSegment): Promise<StoredState> {
    const snapshot = await readSnapshot(folder);
    const segments = await listSegments(folder);
    const lines: SegmentLine[] = [];
    for (const number of segments) {
        const read = await readSegment(folder, formatSegmentName(number), number === segments.at(-1));
        read.forEach((line) => lines.push(line));
    }
    const { hardState, entries, baseIndex } = replayLines(lines, snapshot);
    open.number = (segments.at(-1) ?? 0) + 1;
    open.bytes = 0;
    if (snapshot === undefined || baseIndex === snapshot.index) {
        open.baseIndex = baseIndex ?? 0;
        open.lastIndex = entries.at(-1)?.index ?? open.baseIndex;
        return { hardState, snapshot, entries };
    }
    // A crash came between the snapshot and the segment that follows it. Without that segment, entries appended from now
    // on would follow those of the older segments.
    const tail = getEntriesAfter(snapshot, entries);
    await startSegmentAfter(folder, open, snapshot, hardState, tail);
    const discardedEntries = entries.filter((entry) => entry.index > snapshot.index).length - tail.length;
    return { hardState, snapshot, entries: tail, recovery: { snapshotIndex: snapshot.index, discardedEntries } };
}

interface SegmentLine {
    readonly file: string;
    /** Number in the file, counted from 1. */
    readonly number: number;
    readonly records: readonly StorageRecord[];
}

interface Replay {
    readonly hardState: HardState;
    readonly entries: readonly LogEntry[];
    /** Index of the last reset; undefined if the entries begin the log. */
    readonly baseIndex: number | undefined;
}

/**
 * Replays the segments. Entries before the last reset are skipped: segments that were removed may be back after a power
 * loss, some without the others.
 */
function replayLines(lines: readonly SegmentLine[], snapshot: Snapshot | undefined): Replay {
    const lastReset = lines.findLastIndex((line) => line.records.some((record) => record.kind === "reset"));
    const position = { baseIndex: 0, lastIndex: 0 };
    let hardState: HardState = { term: 0 };
    let entries: LogEntry[] = [];
    let baseIndex: number | undefined;
    for (const [at, line] of lines.entries()) {
        for (const record of line.records) {
            if (record.kind === "hard-state") {
                hardState = record.state;
            }
            else if (at < lastReset) {
                continue;
            }
            else if (record.kind === "reset") {
                baseIndex = record.index;
                assertSnapshotCovers(snapshot, baseIndex, line);
                advancePosition(position, record);
                entries = [];
            }
            else {
                if (snapshot !== undefined && startsAfterSnapshot(record.entries, position, snapshot)) {
                    advancePosition(position, { kind: "reset", index: snapshot.index, term: snapshot.term });
                    entries = [];
                }
                replayAppend(position, record, line);
                const firstIndex = record.entries[0]?.index ?? Number.POSITIVE_INFINITY;
                entries = [...entries.filter((entry) => entry.index < firstIndex), ...record.entries];
            }
        }
    }
    return { hardState, entries, baseIndex };
}

/** Earlier versions appended right after a snapshot whose segment was missing, so that these entries follow a gap. */
function startsAfterSnapshot(
    entries: readonly LogEntry[],
    position: Pick<OpenSegment, "lastIndex">,
    snapshot: Snapshot,
): boolean {
    return entries[0]?.index === snapshot.index + 1 && position.lastIndex < snapshot.index;
}

function assertSnapshotCovers(snapshot: Snapshot | undefined, index: number, line: SegmentLine): void {
    if (snapshot === undefined || snapshot.index < index) {
        const reason = `the log follows a snapshot up to entry ${String(index)}, which is missing`;
        throw new CorruptLogError(line.file, line.number, reason);
    }
}

function replayAppend(
    position: Pick<OpenSegment, "baseIndex" | "lastIndex">,
    record: StorageRecord,
    line: SegmentLine,
): void {
    try {
        advancePosition(position, record);
    }
    catch (error) {
        throw error instanceof LogGapError ? new CorruptLogError(line.file, line.number, error.message) : error;
    }
}

async function readSnapshot(folder: Folder): Promise<Snapshot | undefined> {
    const content = await folder.read(SNAPSHOT_FILE);
    if (content === undefined) {
        return undefined;
    }
    const value = parseLine(content.toString("utf8").trimEnd());
    if (value === undefined) {
        throw new CorruptLogError(SNAPSHOT_FILE, 1);
    }
    const snapshot = parseStored(snapshotSchema, value, SNAPSHOT_FILE, 1);
    // Earlier versions adopted any index from a message; entries after it could not be read, and no other replica has it.
    if (!isIndex(snapshot.index)) {
        throw new CorruptLogError(SNAPSHOT_FILE, 1, `no log reaches entry ${String(snapshot.index)} of the snapshot`);
    }
    return snapshot;
}

/**
 * Parses a value of a file whose checksum matches.
 * @throws CorruptLogError if a term or an index is no integer that can be counted on
 */
function parseStored<Value>(schema: z.ZodType<Value>, value: unknown, file: string, line: number): Value {
    const parsed = schema.safeParse(value);
    if (parsed.success) {
        return parsed.data;
    }
    const position = parsed.error.issues.find(({ path }) => path.at(-1) === "index" || path.at(-1) === "term");
    throw position === undefined
        ? parsed.error
        : new CorruptLogError(file, line, `${position.path.join(".")} is out of range: ${position.message}`);
}

/** Reads a segment. The last one is rewritten: its end may be torn, or may have been read before it was synced. */
async function readSegment(folder: Folder, name: string, isLast: boolean): Promise<readonly SegmentLine[]> {
    const content = await folder.read(name) ?? Buffer.alloc(0);
    const lines = content.toString("utf8").split("\n");
    // The line terminator is part of the synced write; text after the last one is a torn write.
    const tornText = lines.pop() ?? "";
    const values = lines.map(parseLine);
    const firstInvalid = values.indexOf(undefined);
    const isTornLine = tornText === "" && firstInvalid === lines.length - 1;
    if (firstInvalid !== -1 && !(isLast && isTornLine)) {
        throw new CorruptLogError(name, firstInvalid + 1);
    }
    if (tornText !== "" && !isLast) {
        throw new CorruptLogError(name, lines.length + 1);
    }
    const validLines = firstInvalid === -1 ? lines : lines.slice(0, firstInvalid);
    if (isLast) {
        await folder.replace(name, Buffer.from(validLines.map((line) => `${line}\n`).join("")));
    }
    return values.slice(0, validLines.length).map((value, at) => ({
        file: name,
        number: at + 1,
        records: parseStored(z.array(storageRecordSchema), value, name, at + 1),
    }));
}

function getEntriesAfter(snapshot: Snapshot, entries: readonly LogEntry[]): readonly LogEntry[] {
    const isContiguous = entries[0]?.index === snapshot.index + 1
        || entries.some((entry) => entry.index === snapshot.index && entry.term === snapshot.term);
    return isContiguous ? entries.filter((entry) => entry.index > snapshot.index) : [];
}
