/**
 * Measures how long latencies take to return within their bounds after a failure.
 */
import * as z from "zod";
import { startStandIn } from "../harness/processes.js";
import { LAYERS, MODEL, World } from "../harness/world.js";
import { LoadGenerator } from "./loadGenerator.js";
import type { Bench, BenchRow } from "./row.js";
import { computeQuantiles } from "./row.js";

const bounds = { firstTokenMs: 1_200, tokenIntervalMs: 340 };
const CALLERS = 12;
const WARM_UP_MS = 700;
const OBSERVATION_MS = 3_500;
const FAILURE_DOMAINS = 3;
const engineSettings = { batch_ms: 4, slots: 32 };

const statusSchema = z.object({ replica: z.object({ role: z.string() }).optional() });

interface RecoveryScenario {
    readonly name: string;
    readonly entries: number;
    readonly disks: number;
    /** Injects the failure; returns a function that repairs it. */
    readonly injectFailure: (world: World) => Promise<() => Promise<void>>;
}

const scenarios: readonly RecoveryScenario[] = [
    { name: "stage", entries: 3, disks: 3, injectFailure: (world) => killEngine(world, "engine-1") },
    {
        name: "entry",
        entries: 3,
        disks: 3,
        injectFailure: async (world) => killEntries(world, await findFollowers(world, 1)),
    },
    {
        name: "leader",
        entries: 3,
        disks: 3,
        injectFailure: async (world) => killEntries(world, [await findLeader(world)]),
    },
    {
        name: "failure-domain",
        entries: 9,
        disks: 5,
        injectFailure: async (world) => {
            const domain = world.cluster.get(await findLeader(world)).options.failureDomain;
            const names = [...world.cluster.entries.values()].filter((entry) => entry.options.failureDomain === domain);
            return killEntries(world, names.map((entry) => entry.options.name));
        },
    },
    {
        name: "leader-and-second",
        entries: 5,
        disks: 5,
        injectFailure: async (world) => killEntries(world, [await findLeader(world), ...await findFollowers(world, 1)]),
    },
];

/** Measures recovery times. */
export const runRecoveryBench: Bench = async ({ repeats }) => {
    const rows: BenchRow[] = [];
    for (const scenario of scenarios) {
        rows.push(...await measureScenario(scenario, repeats));
    }
    return rows;
};

async function measureScenario(scenario: RecoveryScenario, repeats: number): Promise<readonly BenchRow[]> {
    const world = new World();
    try {
        await startWorld(world, scenario);
        const recoverySeconds: number[] = [];
        const leaderSeconds: number[] = [];
        const sums = { incorrect: 0, overlong: 0, effects: 0, finished: 0 };
        for (let repeat = 0; repeat < repeats; repeat += 1) {
            const loadGenerator = new LoadGenerator(world, bounds);
            const { recoveryMs, leaderMs } = await measureOnce(world, scenario, loadGenerator);
            recoverySeconds.push(recoveryMs / 1_000);
            leaderSeconds.push(leaderMs / 1_000);
            const counts = loadGenerator.getCounts();
            sums.incorrect += counts.incorrect;
            sums.overlong += counts.overlong;
            sums.finished += counts.finished;
            sums.effects += await loadGenerator.countDuplicateSlips();
        }
        const { p50, p95, max } = computeQuantiles(recoverySeconds);
        const row = (metric: string, unit: string, value: number): BenchRow => ({
            scenario: scenario.name,
            policy: "crankfork",
            metric,
            unit,
            value,
            repeats,
        });
        return [
            row("back-within-bounds-p50", "s", p50),
            row("back-within-bounds-p95", "s", p95),
            row("back-within-bounds-max", "s", max),
            row("leader-there-again-max", "s", Math.max(...leaderSeconds)),
            row("answers-finished", "count", sums.finished),
            row("answers-broken", "count", sums.incorrect),
            row("answers-doubled", "count", sums.overlong),
            row("effects-above-one", "count", sums.effects),
        ];
    }
    finally {
        await world.close();
    }
}

interface RecoveryTimes {
    readonly recoveryMs: number;
    /** Time until a running replica reports that it is the leader; near 0 if the leader was not killed. */
    readonly leaderMs: number;
}

async function measureOnce(
    world: World,
    scenario: RecoveryScenario,
    loadGenerator: LoadGenerator,
): Promise<RecoveryTimes> {
    loadGenerator.start(CALLERS);
    await waitMs(WARM_UP_MS);
    const failedMs = performance.now();
    const repair = await scenario.injectFailure(world);
    await world.cluster.waitUntil("a leader", async () => await findLeader(world) !== "");
    const leaderMs = performance.now() - failedMs;
    await waitMs(OBSERVATION_MS);
    const recoveryMs = loadGenerator.getRecoveryMs(failedMs);
    await loadGenerator.stop();
    await repair();
    await world.cluster.waitUntilReady();
    await world.cluster.waitUntilLoaded(world.engines.size);
    return { recoveryMs, leaderMs };
}

async function startWorld(world: World, scenario: RecoveryScenario): Promise<void> {
    for (let number = 1; number <= 4; number += 1) {
        await world.startEngine(`engine-${String(number)}`, engineSettings);
    }
    await world.startService("printer-1", { work_ms: 2 });
    for (let number = 1; number <= scenario.entries; number += 1) {
        await world.cluster.startEntry({
            name: `entry-${String(number)}`,
            hasDisk: number <= scenario.disks,
            failureDomain: `domain-${String(number % FAILURE_DOMAINS)}`,
        });
    }
    await world.cluster.init();
    await world.applyIntent({ id: "bench" });
}

async function killEngine(world: World, name: string): Promise<() => Promise<void>> {
    const engine = world.engines.get(name);
    await engine?.process.kill();
    const port = Number(engine?.address.split(":")[1]);
    return async () => {
        const settings = { name, port, model_layers: { [MODEL]: LAYERS }, ...engineSettings };
        world.engines.set(name, await startStandIn("engine", settings));
    };
}

async function killEntries(world: World, names: readonly string[]): Promise<() => Promise<void>> {
    await Promise.all(names.map((name) => world.cluster.get(name).process.kill()));
    return async () => {
        await Promise.all(names.map((name) => world.cluster.restartEntry(name)));
    };
}

async function findLeader(world: World): Promise<string> {
    const roles = await readRoles(world);
    return roles.find(({ role }) => role === "leader")?.name ?? "";
}

async function findFollowers(world: World, count: number): Promise<readonly string[]> {
    const roles = await readRoles(world);
    return roles.filter(({ role }) => role === "follower").slice(0, count).map(({ name }) => name);
}

function readRoles(world: World): Promise<readonly { readonly name: string; readonly role: string | undefined; }[]> {
    const runningEntries = [...world.cluster.entries].filter(([, entry]) => entry.process.isRunning);
    return Promise.all(runningEntries.map(async ([name]) => {
        const { body } = await world.cluster.callOperatorApi(name, "GET", "/v1/status");
        return { name, role: statusSchema.parse(body).replica?.role };
    }));
}

function waitMs(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
}
