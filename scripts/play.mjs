/**
 * Plays a day of a deployment with the users' bench: FLEETBENCH names the bench, then come site, day and its options.
 */
import { spawnSync } from "node:child_process";

const bench = process.env.FLEETBENCH;
const [site, day, ...options] = process.argv.slice(2);
if (bench === undefined || site === undefined || day === undefined) {
    console.error("usage: FLEETBENCH=PROGRAM npm run play -- SITE DAY [--log NAME,...|all] [--seed N]");
    process.exit(2);
}
const played = spawnSync(bench, ["run", site, day, "--why", `play of ${day}`, ...options], { stdio: "inherit" });
process.exit(played.status ?? 1);
