/**
 * The event log of the process: one line of key=value pairs per event. Event names are listed in docs/EVENTS.md.
 */
import bunyan from "bunyan";
import { stringify } from "logfmt/lib/stringify.js";
import { createWriteStream } from "node:fs";
import { formatHybridTime, type HybridClock } from "./hybridClock.js";

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

/**
 * Opens the log.
 * @param options - instance name, minimum level, file and clock
 * @returns the log
 */
export function openEventLog(options: EventLogOptions): EventLog {
    const output = options.file === undefined ? process.stdout : createWriteStream(options.file, { flags: "a" });
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
    };
}

function formatEvent(raw: RawRecord, options: EventLogOptions): string {
    const present = Object.entries(raw.fields).filter(([, value]) => value !== undefined && value !== "");
    return stringify({
        time: raw.time.toISOString(),
        clock: formatHybridTime(options.clock.get()),
        level: bunyan.nameFromLevel[raw.level] ?? String(raw.level),
        instance: options.instance,
        event: raw.msg,
        ...Object.fromEntries(present),
    });
}
