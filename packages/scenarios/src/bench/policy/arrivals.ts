/**
 * Arrivals of the policy and load benches, generated from a seed before a run starts.
 */
import type { PriorityClass } from "@crankfork/schemas";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { type BatchCosts, computeWorkerLimit, type PolicyRequest, type WorkerSettings } from "./worker.js";

/** Load, workers and failures of a run. */
export interface PolicyPlan {
    readonly name: string;
    readonly entries: number;
    readonly durationMs: number;
    readonly workers: readonly WorkerSettings[];
    readonly costs: BatchCosts;
    /** Computes the offered load by priority class at a time, relative to the limit. */
    readonly computeLoads: (nowMs: number) => Readonly<Record<PriorityClass, number>>;
    /** Time at which workers 0 and 1 and entry 0 fail; undefined for never. */
    readonly failureMs: number | undefined;
}

const PROMPT = { min: 16, max: 128 } as const;
const OUTPUT = { min: 16, max: 96 } as const;
const BETWEEN_TOKENS_MS = 34;
/** Interval for which arrivals are generated at once. */
export const ARRIVAL_STEP_MS = 10;
/** Two large organisations and eight small ones, by their share of requests. */
const organisationShares = [0.3, 0.3, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05];
/** Share of the requests that the load balancer sends to one entry, in addition to its even share of the rest. */
const FAVOURED_SHARE = 0.33;

/**
 * Computes the throughput of all workers at which inter-token latency stays within its bound.
 * @param plan - workers and their costs
 * @returns generated tokens per second
 */
export function computeLimit(plan: PolicyPlan): number {
    const promptShare = (PROMPT.min + PROMPT.max) / (OUTPUT.min + OUTPUT.max);
    return plan.workers.reduce(
        (sum, worker) => sum + computeWorkerLimit(worker, plan.costs, BETWEEN_TOKENS_MS, promptShare),
        0,
    );
}

/**
 * Generates the arrivals of a run.
 * @param plan - load and failures
 * @param seed - seed of all random numbers
 * @returns requests in the order of their arrival
 */
export function createArrivals(plan: PolicyPlan, seed: number): readonly PolicyRequest[] {
    const draw = createDraw(xoroshiro128plus(seed));
    const limit = computeLimit(plan);
    const requests: PolicyRequest[] = [];
    for (let nowMs = 0; nowMs < plan.durationMs; nowMs += ARRIVAL_STEP_MS) {
        for (const [priority, load] of Object.entries(plan.computeLoads(nowMs))) {
            const meanOutput = (OUTPUT.min + OUTPUT.max) / 2;
            const expected = load * limit / meanOutput * ARRIVAL_STEP_MS / 1_000;
            const count = Math.floor(expected) + (draw() < expected % 1 ? 1 : 0);
            for (let one = 0; one < count; one += 1) {
                const number = requests.length;
                requests.push(
                    createRequest(plan, { number, arrivedMs: nowMs, priority: priority as PriorityClass }, draw),
                );
            }
        }
    }
    return requests;
}

/**
 * Creates a source of uniform random numbers.
 * @param generator - the generator
 * @returns function that returns numbers from 0 (inclusive) to 1 (exclusive)
 */
export function createDraw(generator: RandomGenerator): () => number {
    return () => (generator.next() >>> 0) / 2 ** 32;
}

function createRequest(
    plan: PolicyPlan,
    fields: Pick<PolicyRequest, "number" | "arrivedMs" | "priority">,
    draw: () => number,
): PolicyRequest {
    const drawBetween = (min: number, max: number): number => min + Math.floor(draw() * (max - min + 1));
    return {
        ...fields,
        entry: chooseEntry(plan, fields.arrivedMs, draw),
        organisation: chooseOrganisation(draw),
        promptTokens: drawBetween(PROMPT.min, PROMPT.max),
        outputTokens: drawBetween(OUTPUT.min, OUTPUT.max),
    };
}

/** Chooses an entry; the load balancer favours entry 0, and entry 1 after the failure. */
function chooseEntry(plan: PolicyPlan, nowMs: number, draw: () => number): number {
    const first = plan.failureMs !== undefined && nowMs >= plan.failureMs ? 1 : 0;
    return draw() < FAVOURED_SHARE ? first : first + Math.floor(draw() * (plan.entries - first));
}

function chooseOrganisation(draw: () => number): string {
    let remaining = draw();
    const index = organisationShares.findIndex((share) => {
        remaining -= share;
        return remaining < 0;
    });
    return `organisation-${String(index === -1 ? 0 : index)}`;
}

/** Names of all organisations. */
export const organisationNames: readonly string[] = organisationShares.map((_, index) =>
    `organisation-${String(index)}`
);
