/**
 * Plays a day of a deployment with the users' bench: FLEETBENCH names the bench, then come site, day and its options.
 * With --losses it prints where the day's worth is lost.
 */
import { spawnSync } from "node:child_process";
import { printLosses } from "./losses.mjs";

const bench = process.env.FLEETBENCH;
const words = process.argv.slice(2);
const isLosses = words.includes("--losses");
const [site, day, ...options] = words.filter((word) => word !== "--losses");
if (bench === undefined || site === undefined || day === undefined) {
    console.error("usage: FLEETBENCH=PROGRAM npm run play -- [--losses] SITE DAY [--log NAME,...|all] [--seed N]");
    process.exit(2);
}
if (isLosses) {
    process.exit(printLosses(bench, site, day, options));
}
const played = spawnSync(bench, ["run", site, day, "--why", `play of ${day}`, ...options], { stdio: "inherit" });
process.exit(played.status ?? 1);
