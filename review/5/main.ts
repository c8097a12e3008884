/**
 * A voter is killed while it takes over the leader's snapshot, and restarted once more later. What it acknowledged in
 * between is gone from its disk.
 */
import { readdirSync, readFileSync, watch, writeFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as wait } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { Fleet, type FleetInstance } from "../../platform/dist/tests/fleetHarness.js";

const RULE_BROKEN = 1;
const COULD_NOT_RUN = 2;
/** Ends well before the 120 s that a script may take. */
const MAX_MS = 100_000;
/** More than the log entries between two snapshots. */
const CHANGES_WHILE_AWAY = 170;
const PARALLEL_CHANGES = 8;
const RETURN_MS = 4_000;
/** `catch_up_s` and an election. */
const CATCH_UP_MS = 5_000;
/** `recovery_s` of the deployments' sheets. */
const RECOVERY_MS = 12_000;

const hasTrouble = process.env.TROUBLE !== "0";
const startMs = performance.now();
const lines: string[] = [];

function record(line: string): void {
    lines.push(`${String(Math.round(performance.now() - startMs)).padStart(6)} ms  ${line}`);
    writeFileSync(process.argv[2] ?? "record.txt", `${lines.join("\n")}\n`);
}

function createDocument(version: number): object {
    return {
        version,
        routes: [{
            name: "r",
            host: "h.example",
            path_prefix: "/print/",
            route_kind: "unsafe",
            timeout_ms: 3_000 + version,
            service: "printer",
            max_attempts: 1,
        }],
        services: [{ name: "printer", health_check_path: "/health" }],
        tenants: [{ name: "t", api_keys: ["key-1"] }],
    };
}

/** Sends the changes after `from`, some at a time; returns the newest version, all of them acknowledged. */
async function sendChanges(fleet: Fleet, from: number, count: number): Promise<number> {
    const last = from + count;
    for (let version = from + 1; version <= last; version += PARALLEL_CHANGES) {
        const group = Array.from({ length: Math.min(PARALLEL_CHANGES, last - version + 1) }, (_, at) => version + at);
        await Promise.all(group.map((one) => fleet.confirmDocument(createDocument(one))));
    }
    record(`operator: versions ${String(from + 1)} to ${String(last)} acknowledged`);
    return last;
}

async function findLeader(fleet: Fleet): Promise<FleetInstance> {
    for (;;) {
        for (const voter of fleet.voters) {
            const answer = await askAlone(fleet, voter);
            if (answer) {
                return voter;
            }
        }
        await wait(100);
    }
}

/** Whether a voter answers the operator's read itself, which only the leader does. */
async function askAlone(fleet: Fleet, { host }: FleetInstance): Promise<boolean> {
    const origin = fleet.operatorOrigins.find((one) => one.includes(`//${host}:`)) ?? "";
    try {
        const response = await fetch(`${origin}/configuration`, {
            redirect: "manual",
            signal: AbortSignal.timeout(1_000),
        });
        await response.arrayBuffer();
        return response.status === 200;
    }
    catch {
        return false;
    }
}

function getDataFolder(voter: FleetInstance): string {
    return (voter as unknown as { readonly dataFolder: string; }).dataFolder;
}

/** Kills a voter as soon as its snapshot file is replaced. */
async function killAtSnapshot(voter: FleetInstance): Promise<boolean> {
    const folder = getDataFolder(voter);
    return await new Promise<boolean>((resolve) => {
        const watcher = watch(folder, (_event, name) => {
            if (name === "snapshot.json") {
                voter.signal("SIGKILL");
                end(true);
            }
        });
        const timer = setTimeout(() => {
            end(false);
        }, RETURN_MS);
        function end(isKilled: boolean): void {
            clearTimeout(timer);
            watcher.close();
            resolve(isKilled);
        }
        voter.start();
    });
}

/** Whether the kill came before the voter had written the log that follows the snapshot; else it is tried again. */
function wasInTime(voter: FleetInstance): boolean {
    const folder = getDataFolder(voter);
    const snapshot = readFileSync(join(folder, "snapshot.json"), "utf8");
    const index = /"index":(\d+)/.exec(snapshot)?.[1] ?? "";
    return !readdirSync(folder).filter((name) => name.startsWith("log-")).some((name) =>
        readFileSync(join(folder, name), "utf8").includes(`"kind":"reset","index":${index},`)
    );
}

/** Keeps a voter away for more changes than the leader's log holds, and lets it return. */
async function returnLate(fleet: Fleet, voter: FleetInstance, from: number): Promise<number> {
    let newest = from;
    for (;;) {
        record(`kill ${voter.host}`);
        await voter.kill();
        newest = await sendChanges(fleet, newest, CHANGES_WHILE_AWAY);
        if (!hasTrouble) {
            voter.start();
            await wait(CATCH_UP_MS);
            record(`${voter.host} is back`);
            return newest;
        }
        const isKilled = await killAtSnapshot(voter);
        await voter.kill();
        const isHit = isKilled && wasInTime(voter);
        record(`${voter.host} returned and was killed as its snapshot came${isHit ? "" : "; too late, again"}`);
        if (isHit) {
            voter.start();
            await wait(CATCH_UP_MS);
            record(`${voter.host} is back`);
            return newest;
        }
        if (performance.now() - startMs > MAX_MS / 2) {
            throw new Error("no kill came in time");
        }
        voter.start();
        await wait(1_000);
    }
}

async function run(fleet: Fleet): Promise<number> {
    await fleet.confirmDocument(createDocument(1));
    record("operator: version 1 acknowledged");
    const leader = await findLeader(fleet);
    const [late, other] = fleet.voters.filter((voter) => voter !== leader);
    if (late === undefined || other === undefined) {
        return COULD_NOT_RUN;
    }
    record(`leader ${leader.host}; late voter ${late.host}; third voter ${other.host}`);
    let newest = await returnLate(fleet, late, 1);
    record(`kill ${other.host}`);
    await other.kill();
    newest = await sendChanges(fleet, newest, 1);
    record(`kill ${late.host} and start it again`);
    await late.kill();
    late.start();
    await wait(CATCH_UP_MS);
    record(`final fault: ${leader.host} loses its disk, the others are killed; all start again`);
    await Promise.all([leader.loseDisk(), late.kill()]);
    fleet.voters.forEach((voter) => {
        voter.start();
    });
    await wait(RECOVERY_MS);
    const { version } = await fleet.readDocument();
    record(`operator: newest acknowledged version ${String(newest)}, read back ${String(version)}`);
    return version < newest ? RULE_BROKEN : 0;
}

const timer = setTimeout(() => {
    record("gave up: out of time");
    process.exit(COULD_NOT_RUN);
}, MAX_MS);
let code = COULD_NOT_RUN;
const root = fileURLToPath(new URL("../../", import.meta.url));
const fleet = await Fleet.open(3, 1, {
    script: join(root, "target/crankfork.cjs"),
    flags: ["--max-old-space-size=200"],
});
try {
    record(hasTrouble ? "with the disruption" : "without the disruption");
    code = await run(fleet);
}
catch (error) {
    record(`could not run: ${String(error)}`);
}
finally {
    await fleet.close();
    clearTimeout(timer);
}
record(`exit ${String(code)}`);
process.exit(code);
