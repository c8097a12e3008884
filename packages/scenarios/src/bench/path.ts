/**
 * Measures the overhead of the data path: requests through one entry, compared with direct calls to the same stand-ins.
 */
import { createAgent, createEngineClient, type EngineClient, tokenizePrompt } from "@crankfork/daemon";
import { streamCompletion } from "../harness/caller.js";
import { LAYERS, MODEL, ORGANISATION, World } from "../harness/world.js";
import type { Bench, BenchRow } from "./row.js";
import { computeQuantiles } from "./row.js";

const TOKENS = 32;
const PROMPT = "explain the posted rate board to a traveller at the counter of the ferry terminal";
const concurrencies = [1, 8, 32];
const REQUESTS_PER_WORKER = 12;
const engineSettings = { batch_ms: 2, token_layer_ms: 0, slots: 256 };

interface RequestTimes {
    readonly firstTokenMs: number;
    readonly durationMs: number;
}

interface LoadResult {
    readonly times: readonly RequestTimes[];
    readonly elapsedMs: number;
}

/** Measures the overhead of the data path. */
export const runPathBench: Bench = async ({ repeats }) => {
    const world = new World();
    const agent = createAgent();
    try {
        await world.startEngine("engine-1", engineSettings);
        await world.startEngine("engine-2", engineSettings);
        await world.cluster.startEntry({ name: "entry-1", hasDisk: true, sections: { instance: { alone: true } } });
        await world.applyIntent({ id: "bench", slots: engineSettings.slots });
        const engines = [...world.engines].map(([name, { address }]) =>
            createEngineClient({
                handleCancelFailure: () => undefined,
                handleLimitNotice: () => undefined,
                agent,
                name,
                address,
                timeoutMs: 5_000,
                statusTimeoutMs: 1_000,
                handleStrayAnswer: () => undefined,
            })
        );
        const rows: BenchRow[] = [];
        for (const concurrency of concurrencies) {
            rows.push(...await measureConcurrency(world, engines, concurrency, repeats));
        }
        return rows;
    }
    finally {
        await agent.destroy();
        await world.close();
    }
};

async function measureConcurrency(
    world: World,
    engines: readonly EngineClient[],
    concurrency: number,
    repeats: number,
): Promise<readonly BenchRow[]> {
    const direct: LoadResult[] = [];
    const routed: LoadResult[] = [];
    await runLoad(concurrency, () => runDirect(engines));
    await runLoad(concurrency, () => runRouted(world));
    for (let repeat = 0; repeat < repeats; repeat += 1) {
        direct.push(await runLoad(concurrency, () => runDirect(engines)));
        routed.push(await runLoad(concurrency, () => runRouted(world)));
    }
    return createRows(`concurrency-${String(concurrency)}`, direct, routed, repeats);
}

async function runLoad(concurrency: number, run: () => Promise<RequestTimes>): Promise<LoadResult> {
    const startedMs = performance.now();
    const workers = Array.from({ length: concurrency }, async () => {
        const times: RequestTimes[] = [];
        for (let count = 0; count < REQUESTS_PER_WORKER; count += 1) {
            times.push(await run());
        }
        return times;
    });
    const times = (await Promise.all(workers)).flat();
    return { times, elapsedMs: performance.now() - startedMs };
}

async function runRouted(world: World): Promise<RequestTimes> {
    const result = await streamCompletion({
        address: world.cluster.get("entry-1").addresses.callers,
        organisation: ORGANISATION,
        priority: "interactive",
        model: MODEL,
        prompt: PROMPT,
        maxTokens: TOKENS,
    });
    if (result.errorId !== undefined || result.tokens !== TOKENS) {
        throw new Error(`a bench request ended with ${result.errorId ?? "too few tokens"}`);
    }
    return { firstTokenMs: result.firstTokenMs ?? 0, durationMs: result.durationMs };
}

let directRuns = 0;

/** Sends the steps of a request directly to the engines, as an entry would. */
async function runDirect(engines: readonly EngineClient[]): Promise<RequestTimes> {
    const startedMs = performance.now();
    directRuns += 1;
    const run = `direct-${String(directRuns)}`;
    const { signal } = new AbortController();
    let inputs = tokenizePrompt(PROMPT);
    let position = 0;
    let firstTokenMs = 0;
    for (let count = 1; count <= TOKENS; count += 1) {
        const token = await runThroughEngines(engines, { run, position, inputs, signal });
        position += inputs.length;
        inputs = [token];
        firstTokenMs = count === 1 ? performance.now() - startedMs : firstTokenMs;
    }
    engines.forEach((engine) => engine.cancelRun(run));
    return { firstTokenMs, durationMs: performance.now() - startedMs };
}

interface DirectStep {
    readonly run: string;
    readonly position: number;
    readonly inputs: readonly number[];
    readonly signal: AbortSignal;
}

async function runThroughEngines(engines: readonly EngineClient[], step: DirectStep): Promise<number> {
    let { inputs } = step;
    const layersPerEngine = LAYERS / engines.length;
    for (const [index, engine] of engines.entries()) {
        const { result } = await engine.runStep({
            run: step.run,
            epoch: 0,
            position: step.position,
            model: MODEL,
            version: "v1",
            first_layer: index * layersPerEngine,
            end_layer: (index + 1) * layersPerEngine,
            priority: "interactive",
            inputs: [...inputs],
        }, step.signal);
        if (result.kind === "token") {
            return result.token;
        }
        if (result.kind === "refused") {
            throw new Error(`an engine refused a step: ${result.reason}`);
        }
        inputs = result.outputs;
    }
    throw new Error("the last engine returned no token");
}

function createRows(
    scenario: string,
    direct: readonly LoadResult[],
    routed: readonly LoadResult[],
    repeats: number,
): readonly BenchRow[] {
    const [directFigures, routedFigures] = [computeFigures(direct), computeFigures(routed)];
    const row = (policy: string, metric: string, unit: string, value: number): BenchRow => ({
        scenario,
        policy,
        metric,
        unit,
        value,
        repeats,
    });
    return [
        row("direct", "requests-per-second", "1/s", directFigures.requestsPerSecond),
        row("crankfork", "requests-per-second", "1/s", routedFigures.requestsPerSecond),
        row("crankfork", "tokens-per-second", "1/s", routedFigures.requestsPerSecond * TOKENS),
        row(
            "crankfork",
            "throughput-over-direct",
            "ratio",
            routedFigures.requestsPerSecond / directFigures.requestsPerSecond,
        ),
        ...(["p50", "p95", "p99"] as const).flatMap((name) => [
            row(
                "crankfork",
                `added-first-token-${name}`,
                "ms",
                routedFigures.firstToken[name] - directFigures.firstToken[name],
            ),
            row(
                "crankfork",
                `duration-over-direct-${name}`,
                "ratio",
                routedFigures.duration[name] / directFigures.duration[name],
            ),
        ]),
    ];
}

function computeFigures(results: readonly LoadResult[]): {
    requestsPerSecond: number;
    firstToken: ReturnType<typeof computeQuantiles>;
    duration: ReturnType<typeof computeQuantiles>;
} {
    const times = results.flatMap((result) => result.times);
    const elapsedMs = results.reduce((sum, result) => sum + result.elapsedMs, 0);
    return {
        requestsPerSecond: times.length / elapsedMs * 1_000,
        firstToken: computeQuantiles(times.map((one) => one.firstTokenMs)),
        duration: computeQuantiles(times.map((one) => one.durationMs)),
    };
}
