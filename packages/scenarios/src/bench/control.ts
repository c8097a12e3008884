/**
 * Measures the cost of coordination for a node: with real processes at current cluster sizes, and with the membership
 * library alone up to the cluster sizes expected in two years.
 */
import { Membership } from "@crankfork/coordination";
import type { Member, MembershipMessage } from "@crankfork/schemas";
import FakeTimers from "@sinonjs/fake-timers";
import { readFileSync } from "node:fs";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import * as z from "zod";
import { Cluster, type Entry } from "../harness/cluster.js";
import { ManagedProcess } from "../harness/processes.js";
import { World } from "../harness/world.js";
import type { Bench, BenchRow } from "./row.js";
import { computeQuantiles } from "./row.js";

const processCounts = [3, 5, 7, 9];
const libraryCounts = [20, 80, 320];
const MEASURE_MS = 4_000;
const SIMULATED_SECONDS = 20;
/** Clock ticks per second in /proc/PID/stat on Linux. */
const TICKS_PER_SECOND = 100;
const KIB_PER_MIB = 1_024;
const CONFIRMS = 40;
const statusSchema = z.object({ replica: z.object({ last_index: z.int() }) });
const claimBatches = [1, 16, 64];
const CLAIMS_PER_WORKER = 20;

/** Measures the cost of coordination. */
export const runControlBench: Bench = async ({ seed, repeats }) => {
    const rows: BenchRow[] = [];
    const baselineKib = await measureBaselineKib();
    rows.push(createRow("bare-node-process", "resident-memory", "MiB", baselineKib / KIB_PER_MIB, 1));
    for (const count of processCounts) {
        rows.push(...await measureProcesses(count, baselineKib));
    }
    rows.push(...await measureVoters(repeats));
    for (const count of libraryCounts) {
        rows.push(...await measureLibrary(count, seed));
    }
    return rows;
};

function createRow(scenario: string, metric: string, unit: string, value: number, repeats: number): BenchRow {
    return { scenario, policy: "crankfork", metric, unit, value, repeats };
}

/** Measures the memory of a process that only listens with the same HTTP library. */
async function measureBaselineKib(): Promise<number> {
    const script =
        "import http from 'node:http'; http.createServer(() => {}).listen(0, '127.0.0.1', () => console.log('up'));";
    const bare = ManagedProcess.start("bare", "--input-type=module", ["--eval", script]);
    await bare.waitForLine((line) => line === "up" ? true : undefined);
    const kib = readResidentKib(bare.id);
    await bare.kill();
    return kib;
}

interface ProcessSample {
    readonly processorSeconds: number;
    readonly writtenBytes: number;
}

async function measureProcesses(count: number, baselineKib: number): Promise<readonly BenchRow[]> {
    const cluster = new Cluster();
    try {
        for (let number = 1; number <= count; number += 1) {
            await cluster.startEntry({ name: `entry-${String(number)}`, hasDisk: number <= 3 });
        }
        await cluster.init();
        await cluster.waitUntilReady();
        await waitMs(1_000);
        const entries = [...cluster.entries.values()];
        const before = entries.map(readSample);
        await waitMs(MEASURE_MS);
        const after = entries.map(readSample);
        const seconds = MEASURE_MS / 1_000;
        const shares = after.map((sample, index) =>
            (sample.processorSeconds - (before[index]?.processorSeconds ?? 0)) / seconds
        );
        const rates = after.map((sample, index) =>
            (sample.writtenBytes - (before[index]?.writtenBytes ?? 0)) / seconds
        );
        const addedMib = entries.map((entry) => (readResidentKib(entry.process.id) - baselineKib) / KIB_PER_MIB);
        const scenario = `processes-${String(count)}`;
        return [
            createRow(scenario, "processor-share-mean", "core", computeMean(shares), count),
            createRow(scenario, "processor-share-max", "core", Math.max(...shares), count),
            createRow(scenario, "written-mean", "KB/s", computeMean(rates) / 1_000, count),
            createRow(scenario, "written-max", "KB/s", Math.max(...rates) / 1_000, count),
            createRow(scenario, "added-memory-max", "MiB", Math.max(...addedMib), count),
        ];
    }
    finally {
        await cluster.close();
    }
}

/** Measures commit latency, claims per second by concurrency, and restart time by length of the log. */
async function measureVoters(repeats: number): Promise<readonly BenchRow[]> {
    const world = new World();
    try {
        await world.startService("printer-1", { work_ms: 0 });
        for (const number of [1, 2, 3]) {
            await world.cluster.startEntry({ name: `entry-${String(number)}`, hasDisk: true });
        }
        await world.cluster.init();
        await world.applyIntent({ id: "bench" });
        const confirmMs: number[] = [];
        for (let count = 0; count < CONFIRMS; count += 1) {
            const startedMs = performance.now();
            await world.cluster.confirm(
                "entry-2",
                world.createIntent({ id: `change-${String(count)}`, serviceRepeatable: count % 2 === 0 }),
            );
            confirmMs.push(performance.now() - startedMs);
        }
        await world.applyIntent({ id: "claims" });
        const restarts = await measureRestarts(world, repeats);
        const quantiles = computeQuantiles(confirmMs);
        const rows = (["p50", "p95", "max"] as const).map((name) =>
            createRow("change-in-force-everywhere", `plan-and-confirm-${name}`, "ms", quantiles[name], CONFIRMS)
        );
        for (const batch of claimBatches) {
            rows.push(await measureClaims(world, batch));
        }
        return [...rows, ...restarts, ...await measureRestarts(world, repeats)];
    }
    finally {
        await world.close();
    }
}

async function measureClaims(world: World, batch: number): Promise<BenchRow> {
    const startedMs = performance.now();
    let succeeded = 0;
    const workers = Array.from({ length: batch }, async (_, worker) => {
        for (let count = 0; count < CLAIMS_PER_WORKER; count += 1) {
            const slip = `slip ${String(batch)} ${String(worker)} ${String(count)}`;
            const answer = await world.callService(`entry-${String(worker % 3 + 1)}`, slip, {
                "idempotency-key": slip,
            });
            succeeded += answer.status === 200 ? 1 : 0;
        }
    });
    await Promise.all(workers);
    const perSecond = succeeded / (performance.now() - startedMs) * 1_000;
    return createRow(`claims-at-a-time-${String(batch)}`, "claimed-calls-per-second", "1/s", perSecond, succeeded);
}

async function measureRestarts(world: World, repeats: number): Promise<readonly BenchRow[]> {
    const seconds: number[] = [];
    const { body } = await world.cluster.callOperatorApi("entry-3", "GET", "/v1/status");
    const scenario = `restart-of-a-voter-after-${String(statusSchema.parse(body).replica.last_index)}-entries`;
    for (let repeat = 0; repeat < repeats; repeat += 1) {
        await world.cluster.get("entry-3").process.kill();
        const startedMs = performance.now();
        await world.cluster.restartEntry("entry-3");
        await world.cluster.waitUntilReady();
        seconds.push((performance.now() - startedMs) / 1_000);
    }
    const { p50, max } = computeQuantiles(seconds);
    return [
        createRow(scenario, "ready-again-p50", "s", p50, repeats),
        createRow(scenario, "ready-again-max", "s", max, repeats),
    ];
}

/** Measures the membership library alone, with all nodes in one process on a fake clock. */
async function measureLibrary(count: number, seed: number): Promise<readonly BenchRow[]> {
    const clock = FakeTimers.install({
        toFake: ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "performance", "Date"],
    });
    try {
        const network = new LibraryNetwork(count, seed);
        await clock.tickAsync(15_000);
        network.bytes = 0;
        network.messages = 0;
        const before = process.cpuUsage();
        await clock.tickAsync(SIMULATED_SECONDS * 1_000);
        const { user, system } = process.cpuUsage(before);
        const nodeSeconds = count * SIMULATED_SECONDS;
        const rows = [
            createRow(`library-${String(count)}`, "messages", "1/s a node", network.messages / nodeSeconds, 1),
            createRow(`library-${String(count)}`, "sent", "KB/s a node", network.bytes / nodeSeconds / 1_000, 1),
            createRow(
                `library-${String(count)}`,
                "processor-share",
                "core a node",
                (user + system) / 1e6 / nodeSeconds,
                1,
            ),
        ];
        const propagationMs = await network.measurePropagationMs((ms) => clock.tickAsync(ms));
        network.close();
        return [...rows, createRow(`library-${String(count)}`, "version-known-everywhere", "ms", propagationMs, 1)];
    }
    finally {
        clock.uninstall();
    }
}

/** Defaults of the settings. */
const timing = { probeMs: 500, probeTimeoutMs: 200, suspicionMs: 1_500 };
const LINK_MS = 1;

class LibraryNetwork {
    readonly nodes: Membership[] = [];
    bytes = 0;
    messages = 0;
    private readonly random;

    constructor(count: number, seed: number) {
        this.random = xoroshiro128plus(seed);
        for (let number = 0; number < count; number += 1) {
            this.add(number);
        }
    }

    /** Measures how long a version that one node announces takes to reach all nodes. */
    async measurePropagationMs(advance: (ms: number) => Promise<unknown>): Promise<number> {
        const stepMs = 5;
        this.nodes[0]?.updateSelf({ configuration_version: 1 });
        for (let elapsedMs = 0;; elapsedMs += stepMs) {
            const isKnown = this.nodes.every((node) => node.getMembers()[0]?.configuration_version === 1);
            if (isKnown) {
                return elapsedMs;
            }
            await advance(stepMs);
        }
    }

    close(): void {
        this.nodes.forEach((node) => node.stop());
    }

    private add(number: number): void {
        const address = createAddress(number);
        const self: Member = {
            id: `node-${String(number)}`,
            address,
            failure_domain: `domain-${String(number % 6)}`,
            incarnation: 1,
            status: "alive",
            has_replica: false,
            configuration_version: 0,
            revision: 0,
            in_flight: {},
            demand: {},
        };
        const membership: Membership = new Membership({
            self,
            seeds: [createAddress(0), createAddress(1), createAddress(2)],
            timing,
            functions: {
                send: (to, message) => this.deliver(address, to, message),
                random: () => (this.random.next() >>> 0) / 2 ** 32,
                handleStatus: () => undefined,
                handleFault: (error) => {
                    throw error;
                },
                handleVersion: ({ configuration_version }) => {
                    if (configuration_version > (membership.getMembers()[0]?.configuration_version ?? 0)) {
                        membership.updateSelf({ configuration_version });
                    }
                },
            },
        });
        this.nodes.push(membership);
        membership.start();
    }

    private deliver(from: string, to: string, message: MembershipMessage): void {
        const text = JSON.stringify(message);
        this.bytes += text.length;
        this.messages += 1;
        setTimeout(() => {
            this.nodes[Number(to.split(":")[1]) - 1]?.receive(from, JSON.parse(text) as MembershipMessage);
        }, LINK_MS);
    }
}

function createAddress(number: number): string {
    return `127.0.0.1:${String(number + 1)}`;
}

function readSample(entry: Entry): ProcessSample {
    const stat = readFileSync(`/proc/${String(entry.process.id)}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const [userTicks, systemTicks] = [Number(fields[11]), Number(fields[12])];
    const io = readFileSync(`/proc/${String(entry.process.id)}/io`, "utf8");
    return {
        processorSeconds: (userTicks + systemTicks) / TICKS_PER_SECOND,
        writtenBytes: Number(/wchar: (\d+)/.exec(io)?.[1] ?? 0),
    };
}

function readResidentKib(id: number): number {
    return Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${String(id)}/status`, "utf8"))?.[1] ?? 0);
}

function computeMean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function waitMs(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
}
