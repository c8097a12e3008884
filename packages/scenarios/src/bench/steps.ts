/**
 * Measures steps per second on one event loop by the number of steps per call, and the processor time of a step.
 */
import { createAgent, createEngineClient, type EngineClient } from "@crankfork/daemon";
import { requestJson } from "../harness/cluster.js";
import { startStandIn } from "../harness/processes.js";
import { LAYERS, MODEL } from "../harness/world.js";
import type { Bench, BenchRow } from "./row.js";

const batchSizes = [1, 8, 32, 128];
const MEASURE_MS = 1_500;

/** Measures steps per second. */
export const runStepsBench: Bench = async ({ repeats }) => {
    const settings = {
        name: "engine",
        model_layers: { [MODEL]: LAYERS },
        batch_ms: 0,
        token_layer_ms: 0,
        slots: 1_000,
    };
    const standIn = await startStandIn("engine", settings);
    const agent = createAgent();
    try {
        const holds = [{ model: MODEL, version: "v1", first_layer: 0, end_layer: 1 }];
        const order = { fence: { term: 1, index: 1 }, life_ms: 1_000, holds };
        await requestJson(standIn.address, "POST", "/v1/orders", JSON.stringify(order));
        await new Promise((resolve) => setTimeout(resolve, 200));
        const engine = createEngineClient({
            handleCancelFailure: () => undefined,
            handleLimitNotice: () => undefined,
            agent,
            name: "engine",
            address: standIn.address,
            timeoutMs: 5_000,
            statusTimeoutMs: 1_000,
            handleStrayAnswer: () => undefined,
        });
        const rows: BenchRow[] = [];
        for (const size of batchSizes) {
            rows.push(...await measureSize(engine, size, repeats));
        }
        return rows;
    }
    finally {
        await agent.destroy();
        await standIn.process.kill();
    }
};

async function measureSize(engine: EngineClient, size: number, repeats: number): Promise<readonly BenchRow[]> {
    let steps = 0;
    let elapsedMs = 0;
    const cpuBefore = process.cpuUsage();
    for (let repeat = 0; repeat < repeats; repeat += 1) {
        const startedMs = performance.now();
        for (let position = 0; performance.now() - startedMs < MEASURE_MS; position += 1) {
            await Promise.all(
                Array.from(
                    { length: size },
                    (_, number) => runStep(engine, `${String(size)}-${String(repeat)}-${String(number)}`, position),
                ),
            );
            steps += size;
        }
        elapsedMs += performance.now() - startedMs;
    }
    const { user, system } = process.cpuUsage(cpuBefore);
    const scenario = `steps-a-call-${String(size)}`;
    return [
        {
            scenario,
            policy: "crankfork",
            metric: "steps-per-second",
            unit: "1/s",
            value: steps / elapsedMs * 1_000,
            repeats,
        },
        {
            scenario,
            policy: "crankfork",
            metric: "processor-time-a-step",
            unit: "us",
            value: (user + system) / steps,
            repeats,
        },
    ];
}

async function runStep(engine: EngineClient, run: string, position: number): Promise<void> {
    const { result } = await engine.runStep({
        run,
        epoch: 0,
        position,
        model: MODEL,
        version: "v1",
        first_layer: 0,
        end_layer: 1,
        priority: "interactive",
        inputs: [position],
    }, new AbortController().signal);
    if (result.kind === "refused") {
        throw new Error(`the engine refused a step: ${result.reason}`);
    }
}
