/**
 * The record of a case: what was sent, answered and run, a line each with its time, and the verdict.
 */
import { appendFileSync, writeFileSync } from "node:fs";

/** Exit codes of a case. */
export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;

/** Set where the case runs without its disruption. */
export const isCalm = process.env.TROUBLE === "0";

/** Writes the `record.txt` of a case. */
export class CaseRecord {
    private readonly startMs = performance.now();

    constructor(private readonly file: string) {
        writeFileSync(file, `started ${new Date().toISOString()}, disruption ${isCalm ? "left out" : "played"}\n`);
    }

    /** Time since the start, in milliseconds. */
    get nowMs(): number {
        return performance.now() - this.startMs;
    }

    /** Writes a line. */
    write(text: string): void {
        appendFileSync(this.file, `${this.nowMs.toFixed(0).padStart(6)} ms  ${text}\n`);
    }
}

/** Waits. */
export function waitMs(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Polls until a condition holds; throws after the limit. */
export async function waitUntil(
    what: string,
    condition: () => boolean | Promise<boolean>,
    limitMs = 30_000,
): Promise<void> {
    const endMs = performance.now() + limitMs;
    while (!await condition()) {
        if (performance.now() > endMs) {
            throw new Error(`not seen within ${String(limitMs)} ms: ${what}`);
        }
        await waitMs(25);
    }
}
