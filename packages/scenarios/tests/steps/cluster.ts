import { expect } from "chai";
import { rmSync } from "node:fs";
import { requestJson } from "../../src/harness/cluster.js";
import type { StepRegistry } from "../../src/harness/gherkin.js";
import type { World } from "../../src/harness/world.js";

/** Steps that start, pause, kill and stop processes. */
export function defineClusterSteps(steps: StepRegistry<World>): void {
    steps.define(
        "a standalone entry with {int} engines and {int} printer(s)",
        async (world, engines: number, printers: number) => {
            await startStandIns(world, engines, printers);
            await world.cluster.startEntry({
                name: "entry-1",
                hasDisk: true,
                sections: {
                    instance: { alone: true },
                    timing: { upstream_timeout: "700ms", upstream_poll: "100ms" },
                    limits: { body: "4KiB" },
                },
            });
            await world.applyIntent({ id: "first" });
        },
    );

    steps.define(
        "{int} entries with {int} engines and {int} printer(s)",
        async (world, entries: number, engines: number, printers: number) => {
            await startStandIns(world, engines, printers);
            await startEntries(world, entries, entries);
            await world.cluster.init();
            await world.applyIntent({ id: "first" });
        },
    );

    steps.define(
        "{int} entries, {int} of them with disks, and {int} engines",
        async (world, entries: number, disks: number, engines: number) => {
            await startStandIns(world, engines, 0);
            await startEntries(world, entries, disks);
            await world.cluster.init();
            await world.applyIntent({ id: "first" });
        },
    );

    steps.define(
        "{int} entries with {int} engines that don't check fences",
        async (world, entries: number, engines: number) => {
            for (let number = 1; number <= engines; number += 1) {
                await world.startEngine(`engine-${String(number)}`, { checks_fence: false });
            }
            await startEntries(world, entries, entries);
            await world.cluster.init();
            await world.applyIntent({ id: "first", checksFence: false });
        },
    );

    steps.define("{int} entries with 0 engines and 1 slow printer", async (world, entries: number) => {
        await world.startService("printer-1", { work_ms: 300 });
        await startEntries(world, entries, entries);
        await world.cluster.init();
        await world.applyIntent({ id: "first" });
    });

    steps.define(
        "{int} entries with 2 engines behind links of {int} ms and {int} ms",
        async (world, entries: number, first: number, second: number) => {
            await world.startEngine("engine-1", { link_ms: first });
            await world.startEngine("engine-2", { link_ms: second });
            await startEntries(world, entries, entries);
            await world.cluster.init();
            await world.applyIntent({ id: "first" });
        },
    );

    steps.define(
        "{int} entries with 2 slow engines with {int} slot(s) each",
        async (world, entries: number, slots: number) => {
            await world.startEngine("engine-1", { slots, batch_ms: 20 });
            await world.startEngine("engine-2", { slots, batch_ms: 20 });
            await startEntries(world, entries, entries);
            await world.cluster.init();
            await world.applyIntent({ id: "first", slots });
        },
    );

    steps.define("{word} loses its disk", async (world, name: string) => {
        const entry = world.cluster.get(name);
        await entry.process.kill();
        rmSync(entry.dataFolder, { recursive: true });
    });

    steps.define("all engines are killed", async (world) => {
        await Promise.all([...world.engines.values()].map((engine) => engine.process.kill()));
    });

    steps.define("{word} sees all engines as unreachable", async (world, entry: string) => {
        await world.cluster.waitUntil("all engines to be unreachable", async () => {
            const { body } = await world.cluster.callOperatorApi(entry, "GET", "/v1/upstreams");
            const rows = (body as { upstreams: { kind: string; state: string; }[]; }).upstreams;
            return rows.every((row) => row.kind !== "engine" || row.state === "unreachable");
        });
    });

    steps.define("{word} is draining and takes no more requests", async (world, name: string) => {
        await world.cluster.callOperatorApi(name, "POST", "/v1/drain");
        const { callers } = world.cluster.get(name).addresses;
        await world.cluster.waitUntil("requests to be refused", async () => {
            const { status } = await requestJson(callers, "POST", "/v1/completions", "{}");
            return status === 503;
        });
    });

    steps.define("the model is repeatable", () => undefined);

    steps.define("the model is not repeatable", async (world) => {
        await world.applyIntent({ id: "once", modelRepeatable: false });
    });

    steps.define("{word} is killed", async (world, name: string) => {
        await getProcess(world, name).kill();
    });

    steps.define("{word} is paused", (world, name: string) => {
        getProcess(world, name).signal("SIGSTOP");
    });

    steps.define("{word} resumes", (world, name: string) => {
        getProcess(world, name).signal("SIGCONT");
    });

    steps.define("{word} starts again", async (world, name: string) => {
        await world.cluster.restartEntry(name);
    });

    steps.define("all entries start again", async (world) => {
        await Promise.all([...world.cluster.entries.keys()].map((name) => world.cluster.restartEntry(name)));
    });

    steps.define("all entries are killed at once", async (world) => {
        await Promise.all([...world.cluster.entries.values()].map((entry) => entry.process.kill()));
    });

    steps.define("all entries are ready", async (world) => {
        await world.cluster.waitUntilReady();
    });

    steps.define("{word} is asked to stop and ends with code {int}", async (world, name: string, code: number) => {
        const { process } = world.cluster.get(name);
        process.signal("SIGTERM");
        expect(await process.waitForExit()).to.equal(code);
    });

    steps.define("{word} reports that it is leaving", async (world, name: string) => {
        await world.setFaults(name, { leaving: true });
    });

    steps.define("every entry sees that {word} is leaving", async (world, upstream: string) => {
        for (const name of world.cluster.entries.keys()) {
            await world.cluster.waitUntil(`${name} to know`, async () => {
                const { body } = await world.cluster.callOperatorApi(name, "GET", "/v1/upstreams");
                const rows = (body as { upstreams: { name: string; state: string; }[]; }).upstreams;
                return rows.some((row) => row.name === upstream && row.state === "leaving");
            });
        }
    });
}

/** Gets the process of a stand-in or an entry by its name. */
export function getProcess(
    world: World,
    name: string,
): { kill: () => Promise<void>; signal: (signal: NodeJS.Signals) => void; } {
    const standIn = world.engines.get(name) ?? world.services.get(name);
    return standIn?.process ?? world.cluster.get(name).process;
}

async function startStandIns(world: World, engines: number, printers: number): Promise<void> {
    const numbers = (count: number): string[] => Array.from({ length: count }, (_, index) => String(index + 1));
    await Promise.all([
        ...numbers(engines).map((number) => world.startEngine(`engine-${number}`)),
        ...numbers(printers).map((number) => world.startService(`printer-${number}`)),
    ]);
}

async function startEntries(world: World, entries: number, disks: number): Promise<void> {
    for (let number = 1; number <= entries; number += 1) {
        await world.cluster.startEntry({
            name: `entry-${String(number)}`,
            hasDisk: number <= disks,
            sections: { timing: { upstream_poll: "100ms", drain_notice: "300ms" } },
        });
    }
}
