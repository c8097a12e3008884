/**
 * A core machine is replaced as planned, the new one first. While the old one is still among the voters, two other
 * machines lose their disks, which is as many as `tolerance` permits. There is never a leader again.
 */
import { LinkProxy } from "@crankfork/scenarios/dist/src/soak/linkProxy.js";
import { writeFileSync } from "node:fs";
import { readFile, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { setTimeout as wait } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { Fleet, type FleetInstance } from "../../platform/dist/tests/fleetHarness.js";
import { getProxyHost } from "../../platform/dist/tests/proxyHost.js";

const RULE_BROKEN = 1;
const COULD_NOT_RUN = 2;
const MAX_MS = 115_000;
const VOTERS = 5;
/** `catch_up_s` is 4: after it the new machine no longer counts as lost, nor does the one that it replaces. */
const CATCH_UP_MS = 6_000;
/** Time from the end of the replaced machine to the loss of the disks. */
const PAUSE_MS = 1_000;
/** `recovery_s`. */
const RECOVERY_MS = 12_000;
/** The operator asks again and again for much longer than `contact_ms`. */
const READ_MS = 30_000;
const TRAFFIC_MS = 5_000;
const REQUEST_INTERVAL_MS = 100;
const SERVED_SHARE = 0.25;

const hasTrouble = process.env.TROUBLE !== "0";
/** For comparison: the same loss of disks without a replacement before it. */
const hasReplacement = process.env.REPLACEMENT !== "0";
/** For comparison: the machine is gone without notice, and the core is cut in two before the disks are lost. */
const isCut = process.env.CUT === "1";
/** The longest cut of the core that the site file names. */
const CUT_MS = 5_500;
/** Time from the loss of the machine to the start of its successor, to the cut and to the loss of the disks. */
const SUCCESSOR_MS = 1_000;
const CUT_START_MS = 2_000;
const LOSS_MS = 8_300;
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
            host: "printer.example",
            path_prefix: "/print/",
            route_kind: "unsafe",
            timeout_ms: 3_000,
            service: "printer",
            max_attempts: 1,
        }],
        services: [{ name: "printer", health_check_path: "/health" }],
        tenants: [{ name: "t", api_keys: ["key-1"] }],
    };
}

async function confirm(fleet: Fleet, version: number): Promise<void> {
    await fleet.confirmDocument(createDocument(version));
    record(`operator: version ${String(version)} acknowledged`);
}

async function findLeader(fleet: Fleet): Promise<FleetInstance> {
    for (;;) {
        for (const voter of fleet.voters) {
            if (await isLeader(fleet, voter)) {
                return voter;
            }
        }
        await wait(100);
    }
}

/** Whether a voter answers the operator's read itself, which only the leader does. */
async function isLeader(fleet: Fleet, { host }: FleetInstance): Promise<boolean> {
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

/** Adds a machine with an empty disk and an address of its own, after the first start of the system. */
async function addVoter(fleet: Fleet): Promise<FleetInstance> {
    const host = fleet.voters[0]?.host ?? "";
    const newHost = host.replace(/\d+$/, "200");
    const harness = fleet as unknown as {
        addInstance(role: "voter", host: string, voters: number): Promise<void>;
    };
    await harness.addInstance("voter", newHost, VOTERS);
    const added = fleet.voters.at(-1);
    if (added === undefined) {
        throw new Error("no voter was added");
    }
    const { settingsFile } = added as unknown as { readonly settingsFile: string; };
    const settings = await readFile(settingsFile, "utf8");
    await writeFile(settingsFile, settings.replace("founding = true", "founding = false"));
    if (isCut) {
        await openProxy(fleet, added);
    }
    added.start();
    return added;
}

/** Opens the proxy of a machine that was not there when the fleet was opened. */
async function openProxy({ links }: Fleet, { host }: FleetInstance): Promise<void> {
    const internals = links as unknown as {
        readonly peersPort: number;
        readonly proxies: Map<string, LinkProxy>;
        get(from: string, to: string): never;
    };
    const port = String(internals.peersPort);
    internals.proxies.set(
        host,
        await LinkProxy.open({
            target: `${host}:${port}`,
            listenOn: `${getProxyHost(host)}:${port}`,
            getLinks: (caller) => ({
                toTarget: internals.get(caller, host),
                fromTarget: internals.get(host, caller),
            }),
        }),
    );
}

/** The machine is gone, its successor comes, and the core is cut in two halves without a majority of voters. */
async function replaceBesideCut(fleet: Fleet, leader: FleetInstance, old: FleetInstance): Promise<void> {
    const goneMs = performance.now();
    const waitUntilMs = (ms: number): Promise<void> => wait(Math.max(0, goneMs + ms - performance.now()));
    await old.kill();
    fleet.voters.splice(fleet.voters.indexOf(old), 1);
    record(`${old.host} is gone for good`);
    await waitUntilMs(SUCCESSOR_MS);
    const added = await addVoter(fleet);
    record(`${added.host} is added with an empty disk`);
    await waitUntilMs(CUT_START_MS);
    const rest = fleet.voters.filter((voter) => voter !== leader && voter !== added).map(({ host }) => host);
    const half = [leader.host, rest[0] ?? ""];
    const others = [...rest.slice(1), added.host];
    fleet.links.setState(half, others, { kind: "held" });
    fleet.links.setState(others, half, { kind: "held" });
    record(`the core is cut in two: ${half.join(", ")} / ${others.join(", ")}`);
    await wait(CUT_MS);
    fleet.links.heal();
    record("the cut ends");
    await waitUntilMs(LOSS_MS);
}

async function countServed(fleet: Fleet): Promise<number> {
    const [entry] = fleet.entries;
    let sent = 0;
    let served = 0;
    for (const endMs = performance.now() + TRAFFIC_MS; entry !== undefined && performance.now() < endMs;) {
        sent += 1;
        served += (await fleet.call(entry, "printer.example"))?.status === 200 ? 1 : 0;
        await wait(REQUEST_INTERVAL_MS);
    }
    record(`callers: ${String(sent)} sent, ${String(served)} served`);
    return served / sent;
}

async function readBack(fleet: Fleet): Promise<number | undefined> {
    for (const endMs = performance.now() + READ_MS; performance.now() < endMs;) {
        const answer = await fleet.requestFromVoters("GET", "/configuration");
        if (answer?.status === 200) {
            return (JSON.parse(answer.body) as { readonly version: number; }).version;
        }
        await wait(250);
    }
    return undefined;
}

async function run(fleet: Fleet): Promise<number> {
    await confirm(fleet, 1);
    const [entry] = fleet.entries;
    if (entry === undefined) {
        return COULD_NOT_RUN;
    }
    await fleet.waitForRoute(entry, "printer.example");
    const leader = await findLeader(fleet);
    const [old, other] = fleet.voters.filter((voter) => voter !== leader);
    if (old === undefined || other === undefined) {
        return COULD_NOT_RUN;
    }
    await countServed(fleet);
    if (isCut) {
        await replaceBesideCut(fleet, leader, old);
    }
    else if (hasReplacement) {
        const added = await addVoter(fleet);
        record(`planned work: ${added.host} is added with an empty disk`);
        await wait(CATCH_UP_MS);
        record(`planned work: SIGTERM to ${old.host}, which ${added.host} replaces`);
        old.signal("SIGTERM");
        await old.waitForExit();
        fleet.voters.splice(fleet.voters.indexOf(old), 1);
        record(`${old.host} has ended, and does not come back`);
    }
    if (!isCut) {
        await wait(PAUSE_MS);
    }
    await confirm(fleet, 2);
    if (hasTrouble) {
        await Promise.all([leader.loseDisk(), other.loseDisk()]);
        record(`final fault: ${leader.host} and ${other.host} lose their disks`);
        leader.start();
        other.start();
        record("both start again");
    }
    await wait(RECOVERY_MS);
    const share = await countServed(fleet);
    const version = await readBack(fleet);
    record(`operator: version 2 acknowledged, read back ${version === undefined ? "none" : String(version)}`);
    return version === 2 && share >= SERVED_SHARE ? 0 : RULE_BROKEN;
}

const timer = setTimeout(() => {
    record("gave up: out of time");
    process.exit(COULD_NOT_RUN);
}, MAX_MS);
let code = COULD_NOT_RUN;
const root = fileURLToPath(new URL("../../", import.meta.url));
const program = { script: join(root, "target/crankfork.cjs"), flags: ["--max-old-space-size=200"] };
const fleet = await Fleet.open(VOTERS, 1, program, undefined, isCut);
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
