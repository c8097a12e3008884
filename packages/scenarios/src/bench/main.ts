/**
 * `npm run bench -- NAME [--seed N] [--repeats N] [--json FILE]`.
 */
import cac from "cac";
import { runControlBench } from "./control.js";
import { runLoadBench } from "./load.js";
import { runPathBench } from "./path.js";
import { runPolicyBench } from "./policy/bench.js";
import { runRecoveryBench } from "./recovery.js";
import { type Bench, writeRows } from "./row.js";
import { runStepsBench } from "./steps.js";

const benches = new Map<string, Bench>([
    ["path", runPathBench],
    ["steps", runStepsBench],
    ["recovery", runRecoveryBench],
    ["control", runControlBench],
    ["policy", runPolicyBench],
    ["load", runLoadBench],
]);

interface MainOptions {
    readonly seed: number;
    readonly repeats: number;
    readonly json?: string;
}

const cli = cac("bench");
cli.command("<name>", [...benches.keys()].join(" | "))
    .option("--seed <number>", "seed of all random numbers", { default: 1 })
    .option("--repeats <number>", "number of repetitions of each measurement", { default: 5 })
    .option("--json <file>", "write rows as JSON")
    .action(async (name: string, options: MainOptions) => {
        const bench = benches.get(name);
        if (bench === undefined) {
            process.stderr.write(`bench: found ${name}; expected ${[...benches.keys()].join(", ")}\n`);
            process.exit(2);
        }
        writeRows(await bench({ seed: options.seed, repeats: options.repeats }), options.json);
        process.exit(0);
    });
cli.help();
cli.parse();
