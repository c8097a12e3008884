/**
 * The log on disk: segments of checksummed lines, and one snapshot.
 *
 * One line holds everything that was synced together. A line that does not check is a torn write only where it is
 * the very last one; anywhere else the disk has lost something that was acknowledged, and the replica must not start.
 */
import { type LogEntry, logEntrySchema, type Snapshot, snapshotSchema } from "@crankfork/schemas";
import crc32 from "crc-32";
import * as z from "zod";
import type { Folder } from "./folder.js";

const SEGMENT_BYTES = 1_048_576;
const SNAPSHOT_FILE = "snapshot.json";
const CHECKSUM_DIGITS = 8;
const segmentPattern = /^log-(\d{8})\.jsonl$/;

const hardStateSchema = z.object({ term: z.int(), voted_for: z.string().optional() });

const storageRecordSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("hard-state"), state: hardStateSchema }),
    z.object({ kind: z.literal("append"), entries: z.array(logEntrySchema) }),
    /** Starts a segment: nothing from older segments counts. */
    z.object({ kind: z.literal("reset"), index: z.int(), term: z.int() }),
]);

/** The term, and the vote given in it. */
export type HardState = z.infer<typeof hardStateSchema>;
/** One thing to be kept. */
export type StorageRecord = z.infer<typeof storageRecordSchema>;

/** What a replica finds on its disk. */
export interface StoredState {
    readonly hardState: HardState;
    readonly snapshot: Snapshot | undefined;
    readonly entries: readonly LogEntry[];
}

/** Where a replica keeps its log. Writes last once their promise resolves, and are made one after another. */
export interface LogStorage {
    readonly read: () => Promise<StoredState>;
    readonly write: (records: readonly StorageRecord[]) => Promise<void>;
    readonly writeSnapshot: (snapshot: Snapshot, hardState: HardState, tail: readonly LogEntry[]) => Promise<void>;
}

/** A file of the log does not hold what was acknowledged. */
export class CorruptLogError extends Error {
    override readonly name = "CorruptLogError";

    /**
     * @param file - the file
     * @param line - the line, counted from 1
     */
    constructor(readonly file: string, readonly line: number) {
        super(`${file}:${String(line)} fails its checksum inside the log; replace this voter, do not start it`);
    }
}

/**
 * Opens the log that is kept in a folder.
 * @param folder - the folder
 * @returns functions that read and write the log
 */
export function createLogStorage(folder: Folder): LogStorage {
    const segment = { number: 0, bytes: 0 };
    return {
        read: () => readStored(folder, segment),
        write: async (records) => {
            if (segment.bytes > SEGMENT_BYTES) {
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

/** Parses a line without its end; undefined where it does not check. */
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

async function readStored(folder: Folder, open: OpenSegment): Promise<StoredState> {
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

/** Reads a segment. The last one is written anew: its end may be torn, or may have been read before it was synced. */
async function readSegment(folder: Folder, name: string, isLast: boolean): Promise<readonly StorageRecord[]> {
    const content = await folder.read(name) ?? Buffer.alloc(0);
    const lines = content.toString("utf8").split("\n");
    // The end of line is part of what was synced; text behind the last one was torn.
    const torn = lines.pop() ?? "";
    const values = lines.map(parseLine);
    const firstBad = values.indexOf(undefined);
    const isTornLine = torn === "" && firstBad === lines.length - 1;
    if (firstBad !== -1 && !(isLast && isTornLine)) {
        throw new CorruptLogError(name, firstBad + 1);
    }
    if (torn !== "" && !isLast) {
        throw new CorruptLogError(name, lines.length + 1);
    }
    const whole = firstBad === -1 ? lines : lines.slice(0, firstBad);
    if (isLast) {
        await folder.replace(name, Buffer.from(whole.map((line) => `${line}\n`).join("")));
    }
    return values.slice(0, whole.length).flatMap((value) => z.array(storageRecordSchema).parse(value));
}

function getEntriesAfter(snapshot: Snapshot | undefined, entries: readonly LogEntry[]): readonly LogEntry[] {
    if (snapshot === undefined) {
        return entries;
    }
    const first = entries[0];
    const joins = first === undefined || first.index === snapshot.index + 1
        || entries.some((entry) => entry.index === snapshot.index && entry.term === snapshot.term);
    return joins ? entries.filter((entry) => entry.index > snapshot.index) : [];
}
