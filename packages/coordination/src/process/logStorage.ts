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
    readonly entries: readonly LogEntry[];
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
     */
    constructor(readonly file: string, readonly line: number) {
        super(
            `${file}:${String(line)}: checksum mismatch before the end of the log; replace this voter, do not start it`,
        );
    }
}

/**
 * Opens the log in a folder.
 * @param folder - the folder
 * @returns functions that read and write the log
 */
export function createLogStorage(folder: Folder): LogStorage {
    const segment = { number: 0, bytes: 0 };
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
            segment.number += 1;
            segment.bytes = 0;
            await appendLine(folder, segment, [
                { kind: "reset", index: snapshot.index, term: snapshot.term },
                { kind: "hard-state", state: hardState },
                { kind: "append", entries: [...tail] },
            ]);
            await removeSegmentsBefore(folder, segment.number);
        },
    };
}

interface OpenSegment {
    number: number;
    bytes: number;
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
    const line = formatLine(records);
    segment.bytes += line.length;
    await folder.append(formatSegmentName(segment.number), line);
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
    const state: ReplayState = { hardState: { term: 0 }, entries: [] };
    const segments = await listSegments(folder);
    for (const number of segments) {
        const records = await readSegment(folder, formatSegmentName(number), number === segments.at(-1));
        records.forEach((record) => {
            replayRecord(state, record);
        });
    }
    open.number = (segments.at(-1) ?? 0) + 1;
    open.bytes = 0;
    return { hardState: state.hardState, snapshot, entries: getEntriesAfter(snapshot, state.entries) };
}

interface ReplayState {
    hardState: HardState;
    entries: LogEntry[];
}

function replayRecord(state: ReplayState, record: StorageRecord): void {
    switch (record.kind) {
        case "hard-state":
            state.hardState = record.state;
            return;
        case "reset":
            state.entries = [];
            return;
        case "append": {
            const first = record.entries[0];
            if (first !== undefined) {
                state.entries = state.entries.filter((entry) => entry.index < first.index);
                state.entries.push(...record.entries);
            }
            return;
        }
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
    return snapshotSchema.parse(value);
}

/** Reads a segment. The last one is rewritten: its end may be torn, or may have been read before it was synced. */
async function readSegment(folder: Folder, name: string, isLast: boolean): Promise<readonly StorageRecord[]> {
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
    return values.slice(0, validLines.length).flatMap((value) => z.array(storageRecordSchema).parse(value));
}

function getEntriesAfter(snapshot: Snapshot | undefined, entries: readonly LogEntry[]): readonly LogEntry[] {
    if (snapshot === undefined) {
        return entries;
    }
    const first = entries[0];
    const isContiguous = first === undefined || first.index === snapshot.index + 1
        || entries.some((entry) => entry.index === snapshot.index && entry.term === snapshot.term);
    return isContiguous ? entries.filter((entry) => entry.index > snapshot.index) : [];
}
