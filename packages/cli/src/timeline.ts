/**
 * Merges the logs of several processes into one timeline in causal order.
 */
import { readFileSync } from "node:fs";
import { createRequire } from "node:module";

const logfmt = createRequire(import.meta.url)("logfmt") as { parse: (line: string) => Record<string, unknown>; };

/** One logged event. */
export interface TimelineEvent {
    /** Hybrid logical time, as `milliseconds.counter`. */
    readonly clock: string;
    readonly instance: string;
    readonly event: string;
    readonly fields: Readonly<Record<string, string>>;
}

/** Selects events; omitted fields match all events. */
export interface TimelineFilter {
    readonly request?: string;
    readonly version?: string;
    readonly instance?: string;
    readonly step?: string;
}

const standardFields = new Set(["time", "clock", "level", "instance", "event"]);

/**
 * Reads logs and merges them.
 * @param files - log files of one or more processes
 * @param filter - events to keep
 * @returns the events, ordered by hybrid logical time
 */
export function readTimeline(files: readonly string[], filter: TimelineFilter): readonly TimelineEvent[] {
    return files
        .flatMap((file) => readFileSync(file, "utf8").split("\n"))
        .flatMap((line) => parseEvent(line) ?? [])
        .filter((event) => matchesFilter(event, filter))
        .sort(compareEvents);
}

/**
 * Formats events as text, one per line.
 * @param events - the events
 * @returns the text, with times in milliseconds since the first event
 */
export function formatTimeline(events: readonly TimelineEvent[]): string {
    const start = Number(events[0]?.clock.split(".")[0] ?? 0);
    const width = Math.max(0, ...events.map((event) => event.instance.length));
    return events.map((event) => {
        const offset = String(Number(event.clock.split(".")[0]) - start).padStart(7);
        const fields = Object.entries(event.fields).map(([key, value]) => `${key}=${value}`).join(" ");
        return `${offset} ms  ${event.instance.padEnd(width)}  ${event.event} ${fields}`.trimEnd();
    }).join("\n");
}

/**
 * Parses one line of a log.
 * @param line - the line
 * @returns the event, or undefined if the line contains none
 */
export function parseEvent(line: string): TimelineEvent | undefined {
    if (!line.includes("clock=")) {
        return undefined;
    }
    const values = Object.entries(logfmt.parse(line)).map(([key, value]) => [key, String(value)] as const);
    const fields = new Map(values);
    const clock = /(?:^| )clock=(\S+)/.exec(line)?.[1];
    const instance = fields.get("instance");
    const event = fields.get("event");
    if (clock === undefined || instance === undefined || event === undefined) {
        return undefined;
    }
    return { clock, instance, event, fields: Object.fromEntries(values.filter(([key]) => !standardFields.has(key))) };
}

function matchesFilter(event: TimelineEvent, filter: TimelineFilter): boolean {
    const { request, version, instance, step } = filter;
    return (request === undefined || event.fields.request === request)
        && (version === undefined || event.fields.version === version)
        && (instance === undefined || event.instance === instance || event.fields.peer === instance)
        && (step === undefined || event.fields.step === step);
}

function compareEvents(left: TimelineEvent, right: TimelineEvent): number {
    const [leftMs = "", leftCounter = ""] = left.clock.split(".");
    const [rightMs = "", rightCounter = ""] = right.clock.split(".");
    return Number(leftMs) - Number(rightMs) || Number(leftCounter) - Number(rightCounter);
}
