/**
 * Says where a day's worth is lost: plays it, and counts the requests that were not answered as their contract asks, by
 * second and by cause, from the log lines of the entries.
 */
import { spawnSync } from "node:child_process";

/** Seconds of a row. */
const ROW_S = 2;
/** A play prints some ten megabytes. */
const MOST_OUTPUT_BYTES = 512 * 1_024 * 1_024;

/**
 * Plays a day and prints the table.
 * @param bench - the bench's program
 * @param site - path of the site file
 * @param day - name of the day, or path of an own one
 * @param options - more options of the bench
 * @returns the bench's exit status
 */
export function printLosses(bench, site, day, options) {
    const args = ["run", site, day, "--log", "all", "--why", `losses of ${day}`, ...options];
    const played = spawnSync(bench, args, { encoding: "utf8", maxBuffer: MOST_OUTPUT_BYTES });
    console.log(played.stdout);
    // What the programs write comes on the bench's standard error.
    printTable(played.stderr.split("\n").filter((line) => line.includes(" event=request ")).map(readLine));
    return played.status ?? 1;
}

/** Reads the fields of a line; its first word is the time of day in seconds. */
function readLine(line) {
    const fields = Object.fromEntries(
        [...line.matchAll(/(\w+)=("[^"]*"|\S+)/g)].map(([, name, value]) => [name, value.replaceAll('"', "")]),
    );
    return { ...fields, atS: Number(line.trim().split(/\s+/)[0]) };
}

/** Names why a request missed its contract; undefined for what an upstream answered itself. */
function findCause(request) {
    if (request.outcome === "answered") {
        const tries = (request.tries ?? "").split(" ");
        const isMoved = tries.length > 1 ? "moved" : "not moved";
        return request.first_ms === undefined ? "late, whole" : `late or paused, ${isMoved}`;
    }
    return request.outcome === "handed-on" ? "failure handed on" : `${request.outcome}: ${request.refusal ?? ""}`;
}

function printTable(requests) {
    const causes = [...new Set(requests.map(findCause))].sort();
    const rows = new Map();
    requests.forEach((request) => {
        const second = Math.floor((request.atS - Number(request.ms ?? 0) / 1_000) / ROW_S) * ROW_S;
        const row = rows.get(second) ?? new Map();
        const cause = findCause(request);
        row.set(cause, (row.get(cause) ?? 0) + 1);
        rows.set(second, row);
    });
    console.log("requests that missed their contract, by the second in which they came and by cause");
    causes.forEach((cause, at) => console.log(`${String(at + 1).padStart(4)}: ${cause}`));
    console.log(["second", ...causes.map((_, at) => String(at + 1))].map((word) => word.padStart(7)).join(""));
    [...rows].sort(([left], [right]) => left - right).forEach(([second, row]) => {
        const cells = [String(second), ...causes.map((cause) => String(row.get(cause) ?? 0))];
        console.log(cells.map((word) => word.padStart(7)).join(""));
    });
}
