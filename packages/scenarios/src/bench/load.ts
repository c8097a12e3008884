/**
 * Validates the simulation of the policy bench: the same arrivals are run through it and through real processes.
 */
import { defaultLatencyBounds } from "@crankfork/schemas";
import { streamCompletion } from "../harness/caller.js";
import { createOrganisation } from "../harness/cluster.js";
import { MODEL, World } from "../harness/world.js";
import { computeLimit, createArrivals, organisationNames, type PolicyPlan } from "./policy/arrivals.js";
import { computeFigures, createRows, ownPolicy } from "./policy/bench.js";
import type { RequestOutcome } from "./policy/entry.js";
import { type PolicyRun, type PolicySample, runPolicy } from "./policy/run.js";
import type { PolicyRequest } from "./policy/worker.js";
import type { Bench, BenchRow } from "./row.js";

const LAYERS = 3;
const ENTRIES = 3;
const loads = [0.5, 1, 2];
const DURATION_MS = 12_000;
const TOKEN_LAYER_MS = 0.3;
const BATCH_MS = 6;

/** Four engines that each hold the complete model: as many as one machine can run beside entries and callers. */
const workers = [2, 1.5, 1, 1].map((speed, number) => ({ name: `engine-${String(number + 1)}`, speed, slots: 8 }));
const tokenMs = TOKEN_LAYER_MS * LAYERS;
/** Round trip of a step between entry and engine on loopback, as in the bench `steps` with one step per call. */
const ROUND_TRIP_MS = 3;
const costs = { baseMs: BATCH_MS, requestMs: tokenMs, promptTokenMs: tokenMs, roundTripMs: ROUND_TRIP_MS };

/** Measures load with real processes and with the simulation. */
export const runLoadBench: Bench = async ({ seed, repeats }) => {
    const rows: BenchRow[] = [];
    for (const load of loads) {
        const plan: PolicyPlan = {
            name: `load-${String(load)}`,
            entries: ENTRIES,
            durationMs: DURATION_MS,
            workers,
            costs,
            computeLoads: () => ({ urgent: 0.1 * load, interactive: 0.7 * load, narrative: 0.2 * load }),
            failureMs: undefined,
        };
        const fakes = [];
        const processes = [];
        for (let offset = 0; offset < repeats; offset += 1) {
            fakes.push(computeFigures(plan, await runPolicy(plan, ownPolicy, seed + offset)));
            processes.push(computeFigures(plan, await runProcesses(plan, seed + offset)));
        }
        rows.push(...createRows(plan.name, "crankfork-fakes", fakes));
        rows.push(...createRows(plan.name, "crankfork-processes", processes));
    }
    return rows;
};

async function runProcesses(plan: PolicyPlan, seed: number): Promise<PolicyRun> {
    const world = new World();
    try {
        await startWorld(world, plan);
        const startedMs = performance.now();
        const samples = await Promise.all(
            createArrivals(plan, seed).map((request) => sendRequest(world, request, startedMs)),
        );
        return { samples, limit: computeLimit(plan) };
    }
    finally {
        await world.close();
    }
}

async function startWorld(world: World, plan: PolicyPlan): Promise<void> {
    for (const { name, speed, slots } of plan.workers) {
        await world.startEngine(name, {
            model_layers: { [MODEL]: LAYERS },
            speed,
            slots,
            batch_ms: BATCH_MS,
            token_layer_ms: TOKEN_LAYER_MS,
            prefix_tokens: 0,
        });
    }
    for (let number = 1; number <= plan.entries; number += 1) {
        await world.cluster.startEntry({ name: `entry-${String(number)}`, hasDisk: true });
    }
    await world.cluster.init();
    await world.cluster.confirm("entry-1", {
        id: "load",
        organisations: organisationNames.map((name) => createOrganisation(name)),
        models: [{ name: MODEL, layers: LAYERS }],
        upstreams: plan.workers.map(({ name, speed, slots }) => ({
            name,
            kind: "engine",
            address: world.engines.get(name)?.address,
            memory_layers: LAYERS,
            speed,
            slots,
        })),
    });
    await world.cluster.waitUntilReady();
    await world.cluster.waitUntilLoaded(plan.workers.length);
}

async function sendRequest(world: World, request: PolicyRequest, startedMs: number): Promise<PolicySample> {
    await new Promise((resolve) => setTimeout(resolve, request.arrivedMs - (performance.now() - startedMs)));
    const result = await streamCompletion({
        address: world.cluster.get(`entry-${String(request.entry + 1)}`).addresses.callers,
        organisation: request.organisation,
        priority: request.priority,
        model: MODEL,
        prompt: Array.from({ length: request.promptTokens }, (_, word) => `w${String(word)}r${String(request.number)}`)
            .join(" "),
        maxTokens: request.outputTokens,
    });
    const meanTokenIntervalMs = result.tokenIntervalsMs.reduce((sum, intervalMs) => sum + intervalMs, 0)
        / Math.max(1, result.tokenIntervalsMs.length);
    const kind: RequestOutcome["kind"] = result.errorId === undefined
        ? "finished"
        : result.outcome === "not-run"
        ? "refused"
        : "lost";
    const firstTokenMs = result.firstTokenMs ?? defaultLatencyBounds[request.priority].first_token_ms * 2;
    return { request, outcome: { kind, firstTokenMs, meanTokenIntervalMs, endedMs: performance.now() - startedMs } };
}
