/**
 * Arrivals of the policy and load benches, drawn from a seed before a run begins.
 */
import type { PriorityClass } from "@crankfork/schemas";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { type BatchCosts, computeWorkerLimit, type PolicyRequest, type WorkerSettings } from "./worker.js";

/** Something that happens in a run. */
export interface PolicyPlan {
    readonly name: string;
    readonly entries: number;
    readonly lengthMs: number;
    readonly workers: readonly WorkerSettings[];
    readonly costs: BatchCosts;
    /** Offered load over the limit, by class, at a time. */
    readonly computeLoads: (nowMs: number) => Readonly<Record<PriorityClass, number>>;
    /** When workers 0 and 1 and entry 0 die; undefined for never. */
    readonly failureMs: number | undefined;
}

const PROMPT = { least: 16, most: 128 } as const;
const OUTPUT = { least: 16, most: 96 } as const;
const BETWEEN_TOKENS_MS = 34;
/** Arrivals are drawn in steps of this length. */
export const ARRIVAL_STEP_MS = 10;
/** Two large organisations and eight small ones, by their share of requests. */
const organisationShares = [0.3, 0.3, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05];
/** The balancer sends a third of all to one entry, besides its even part of the rest. */
const FAVOURED_SHARE = 0.33;

/**
 * Computes what all workers can do while tokens keep their bound.
 * @param plan - workers and their costs
 * @returns generated tokens a second
 */
export function computeLimit(plan: PolicyPlan): number {
    const promptShare = (PROMPT.least + PROMPT.most) / (OUTPUT.least + OUTPUT.most);
    return plan.workers.reduce(
        (sum, worker) => sum + computeWorkerLimit(worker, plan.costs, BETWEEN_TOKENS_MS, promptShare),
        0,
    );
}

/**
 * Draws the arrivals of a run.
 * @param plan - load and failures
 * @param seed - of all that is drawn
 * @returns requests in the order of their arrival
 */
export function createArrivals(plan: PolicyPlan, seed: number): readonly PolicyRequest[] {
    const draw = createDraw(xoroshiro128plus(seed));
    const limit = computeLimit(plan);
    const requests: PolicyRequest[] = [];
    for (let nowMs = 0; nowMs < plan.lengthMs; nowMs += ARRIVAL_STEP_MS) {
        for (const [priority, load] of Object.entries(plan.computeLoads(nowMs))) {
            const meanOutput = (OUTPUT.least + OUTPUT.most) / 2;
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
 * Makes a function that draws numbers.
 * @param generator - the generator
 * @returns draws a number from 0 up to 1
 */
export function createDraw(generator: RandomGenerator): () => number {
    return () => (generator.next() >>> 0) / 2 ** 32;
}

function createRequest(
    plan: PolicyPlan,
    known: Pick<PolicyRequest, "number" | "arrivedMs" | "priority">,
    draw: () => number,
): PolicyRequest {
    const drawBetween = (least: number, most: number): number => least + Math.floor(draw() * (most - least + 1));
    return {
        ...known,
        entry: chooseEntry(plan, known.arrivedMs, draw),
        organisation: chooseOrganisation(draw),
        promptTokens: drawBetween(PROMPT.least, PROMPT.most),
        outputTokens: drawBetween(OUTPUT.least, OUTPUT.most),
    };
}

/** Once entry 0 is dead the balancer favours the next one. */
function chooseEntry(plan: PolicyPlan, nowMs: number, draw: () => number): number {
    const first = plan.failureMs !== undefined && nowMs >= plan.failureMs ? 1 : 0;
    return draw() < FAVOURED_SHARE ? first : first + Math.floor(draw() * (plan.entries - first));
}

function chooseOrganisation(draw: () => number): string {
    let left = draw();
    const index = organisationShares.findIndex((share) => {
        left -= share;
        return left < 0;
    });
    return `organisation-${String(index === -1 ? 0 : index)}`;
}

/** Names of all organisations. */
export const organisationNames: readonly string[] = organisationShares.map((_, index) =>
    `organisation-${String(index)}`
);
