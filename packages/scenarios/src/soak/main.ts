/**
 * `npm run soak -- [--seeds N] [--from SEED] [--seconds N] [--entries N] [--callers N]`.
 */
import cac from "cac";
import { runSoak } from "./soakRun.js";

interface MainOptions {
    readonly seeds: number;
    readonly from?: number;
    readonly seconds: number;
    readonly entries: number;
    readonly callers: number;
}

/** Returns a new first seed for each invocation; seeds are printed with the results, so that a failure can be reproduced. */
function createSeed(): number {
    return Date.now() % 1_000_000;
}

const cli = cac("soak");
cli.command("", "run the soak test with a number of seeds and print invariant violations")
    .option("--seeds <number>", "number of seeds", { default: 5 })
    .option("--from <seed>", "first seed; by default taken from the clock")
    .option("--seconds <number>", "duration of a run in seconds", { default: 6 })
    .option("--entries <number>", "number of entries, each with a disk", { default: 3 })
    .option("--callers <number>", "number of concurrent callers", { default: 8 })
    .action(async (options: MainOptions) => {
        const first = options.from ?? createSeed();
        let failed = 0;
        for (let seed = first; seed < first + options.seeds; seed += 1) {
            const { entries, callers } = options;
            const result = await runSoak({ seed, durationMs: options.seconds * 1_000, entries, callers });
            failed += result.violations.length === 0 ? 0 : 1;
            process.stdout.write(
                `seed ${String(seed)}: ${String(result.faults.length)} faults, ${String(result.served)} of ${
                    String(result.requested)
                } served, ${result.violations.length === 0 ? "no violations" : result.violations.join("; ")}\n`,
            );
        }
        process.stdout.write(`${String(options.seeds - failed)} passed, ${String(failed)} failed\n`);
        process.exit(failed === 0 ? 0 : 1);
    });
cli.help();
cli.parse();
