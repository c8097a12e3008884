/**
 * Installs and builds whatever a fresh clone lacks, so that `npm test` and `npm run demo` need nothing before them.
 */
import { spawnSync } from "node:child_process";
import { existsSync } from "node:fs";

const steps = [];
if (!existsSync("node_modules/typescript")) {
    steps.push(["npm", ["ci", "--no-fund", "--no-audit"]]);
}
steps.push(["npx", ["--no-install", "tsc", "-b"]]);

for (const [command, commandArguments] of steps) {
    const done = spawnSync(command, commandArguments, { stdio: "inherit" });
    if (done.status !== 0) {
        console.error(`${command} ${commandArguments.join(" ")} failed with exit code ${done.status}`);
        process.exit(done.status ?? 1);
    }
}
