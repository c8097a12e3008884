/**
 * The event log of the process: one line of key=value pairs per event. Event names are listed in docs/EVENTS.md.
 */
import bunyan from "bunyan";
import { stringify } from "logfmt/lib/stringify.js";
import { closeSync, createWriteStream, openSync, writeSync } from "node:fs";
import { formatHybridTime, type HybridClock } from "./hybridClock.js";
import { LOG_WRITE, recordTaskFailure } from "./taskFailures.js";

/** Fields of an event. */
export type EventFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Severity of an event. */
export type EventLevel = "debug" | "info" | "warn" | "error";

/** Writes events. */
export interface EventLog {
    /**
     * Writes one event.
     * @param level - its severity
     * @param event - its name
     * @param fields - its fields; undefined ones are omitted
     */
    readonly record: (level: EventLevel, event: string, fields?: EventFields) => void;
}

/** A log that can write the last event of a process. */
export interface LastLineLog extends EventLog {
    /**
     * Writes one event of level error synchronously, so that the process may exit right after it.
     * @param event - its name
     * @param fields - its fields
     */
    readonly recordLast: (event: string, fields: EventFields) => void;
}

/** Options of the log. */
export interface EventLogOptions {
    readonly instance: string;
    readonly level: EventLevel;
    /** The file to append to; standard output if undefined. */
    readonly file: string | undefined;
    readonly clock: HybridClock;
}

interface RawRecord {
    readonly time: Date;
    readonly level: number;
    readonly msg: string;
    readonly fields: EventFields;
}

const STANDARD_OUTPUT = 1;
/** Time for the reader of a full pipe to make room for the last line. */
const MAX_LAST_WRITE_MS = 500;
const LAST_WRITE_RETRY_MS = 5;

/**
 * Opens the log.
 * @param options - instance name, minimum level, file and clock
 * @returns the log
 */
export function openEventLog(options: EventLogOptions): LastLineLog {
    const output = options.file === undefined ? process.stdout : createWriteStream(options.file, { flags: "a" });
    // A full disk, or a reader that has closed its pipe, costs lines of the log only.
    output.on("error", (error) => {
        recordTaskFailure(LOG_WRITE, error);
    });
    const write = (raw: RawRecord): void => {
        output.write(`${formatEvent(raw, options)}\n`);
    };
    const logger = bunyan.createLogger({
        name: "crankforkd",
        level: options.level,
        streams: [{ type: "raw", level: options.level, stream: { write } as unknown as NodeJS.WritableStream }],
    });
    return {
        record: (level, event, fields = {}) => {
            logger[level]({ fields }, event);
        },
        recordLast: (event, fields) => {
            const raw = { time: new Date(), level: bunyan.ERROR, msg: event, fields };
            // What the stream has not written yet may be part of a line.
            const separator = output.writableLength > 0 ? "\n" : "";
            writeLast(`${separator}${formatEvent(raw, options)}\n`, options.file);
        },
    };
}

/** A line that can't be written must not keep the process from its exit. */
function writeLast(text: string, file: string | undefined): void {
    try {
        const target = file === undefined ? STANDARD_OUTPUT : openSync(file, "a");
        writeFully(target, Buffer.from(text));
        if (file !== undefined) {
            closeSync(target);
        }
    }
    catch {
        process.stderr.write(text);
    }
}

/** A pipe takes as much as it has room for. */
function writeFully(target: number, bytes: Buffer): void {
    const untilMs = performance.now() + MAX_LAST_WRITE_MS;
    let written = 0;
    while (written < bytes.length) {
        try {
            written += writeSync(target, bytes, written);
        }
        catch (error) {
            if ((error as NodeJS.ErrnoException).code !== "EAGAIN" || performance.now() > untilMs) {
                throw error;
            }
            Atomics.wait(
                new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT)),
                0,
                0,
                LAST_WRITE_RETRY_MS,
            );
        }
    }
}

function formatEvent(raw: RawRecord, options: EventLogOptions): string {
    const present = Object.entries(raw.fields).filter(([, value]) => value !== undefined && value !== "")
        .map(([name, value]) => [name, typeof value === "string" ? escapeUnprintable(value) : value] as const);
    return stringify({
        time: raw.time.toISOString(),
        clock: formatHybridTime(options.clock.get()),
        level: bunyan.nameFromLevel[raw.level] ?? String(raw.level),
        instance: escapeUnprintable(options.instance),
        event: raw.msg,
        ...Object.fromEntries(present),
    });
}

/** Escapes what ends a line for some readers, controls a terminal, or has no encoding. */
function escapeUnprintable(text: string): string {
    return text.replace(/[\p{Cc}\p{Zl}\p{Zp}\p{Cs}]/gu, formatEscape);
}

function formatEscape(character: string): string {
    switch (character) {
        case "\r":
            return "\\r";
        case "\n":
            return "\\n";
        default:
            return `\\u${character.charCodeAt(0).toString(16).padStart(4, "0")}`;
    }
}
