/**
 * Result rows of all benches, quantiles of samples, and the output of rows.
 */
import { formatTable } from "@crankfork/cli";
import { build } from "hdr-histogram-js";
import { writeFileSync } from "node:fs";

/** One measured value. */
export interface BenchRow {
    readonly scenario: string;
    readonly policy: string;
    readonly metric: string;
    readonly unit: string;
    readonly value: number;
    readonly repeats: number;
}

/** Options of a bench. */
export interface BenchOptions {
    readonly seed: number;
    readonly repeats: number;
}

/** Function that runs a bench. */
export type Bench = (options: BenchOptions) => Promise<readonly BenchRow[]>;

/** Quantiles of samples. */
export interface Quantiles {
    readonly p50: number;
    readonly p95: number;
    readonly p99: number;
    readonly max: number;
}

/** Samples are recorded in thousandths, since the histogram accepts only integers. */
const SCALE = 1_000;

/**
 * Computes quantiles.
 * @param samples - samples in any unit; negative ones count as 0
 * @returns quantiles in that unit; 0 if there are no samples
 */
export function computeQuantiles(samples: readonly number[]): Quantiles {
    const histogram = build({ numberOfSignificantValueDigits: 3 });
    samples.forEach((sample) => histogram.recordValue(Math.max(0, Math.round(sample * SCALE))));
    const at = (percentile: number): number => histogram.getValueAtPercentile(percentile) / SCALE;
    return { p50: at(50), p95: at(95), p99: at(99), max: samples.length === 0 ? 0 : Math.max(...samples) };
}

/**
 * Prints rows as a table, or writes them as JSON.
 * @param rows - the rows
 * @param file - file for JSON; if undefined, a table is written to standard output
 */
export function writeRows(rows: readonly BenchRow[], file: string | undefined): void {
    if (file !== undefined) {
        writeFileSync(file, `${JSON.stringify(rows, undefined, 4)}\n`);
        return;
    }
    const head = ["SCENARIO", "POLICY", "METRIC", "UNIT", "VALUE", "REPEATS"];
    const lines = rows.map((row) => [
        row.scenario,
        row.policy,
        row.metric,
        row.unit,
        String(Number(row.value.toPrecision(4))),
        String(row.repeats),
    ]);
    process.stdout.write(`${formatTable({ head, rows: lines })}\n`);
}
