/**
 * A run of the policy bench, which simulates entries and workers on a fake clock.
 */
import FakeTimers from "@sinonjs/fake-timers";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { ARRIVAL_STEP_MS, computeLimit, createArrivals, createDraw, type PolicyPlan } from "./arrivals.js";
import { PolicyEntry, type PolicySettings, type RequestOutcome } from "./entry.js";
import { type PolicyRequest, PolicyWorker } from "./worker.js";

/** A request and its outcome. */
export interface PolicySample {
    readonly request: PolicyRequest;
    readonly outcome: RequestOutcome;
}

/** A finished run. */
export interface PolicyRun {
    readonly samples: readonly PolicySample[];
    /** Throughput of all workers within the latency bound, in generated tokens per second. */
    readonly limit: number;
}

const GOSSIP_INTERVAL_MS = 500;
/** Time for pending requests to finish, so that requests which a policy left in its queue are counted, too. */
const DRAIN_MS = 20_000;
/** Offset of the seed, so that policies and arrivals use different random numbers. */
const POLICY_SEED = 7_919;

/**
 * Runs a plan under a policy.
 * @param plan - load and failures
 * @param policy - policy of the entries
 * @param seed - seed of all random numbers
 * @returns every request with its outcome
 */
export async function runPolicy(plan: PolicyPlan, policy: PolicySettings, seed: number): Promise<PolicyRun> {
    const clock = FakeTimers.install({
        toFake: ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "performance"],
    });
    try {
        return await new PolicyRunner(plan, policy, seed).run((ms) => clock.tickAsync(ms));
    }
    finally {
        clock.uninstall();
    }
}

class PolicyRunner {
    private readonly workers: readonly PolicyWorker[];
    private readonly entries: readonly PolicyEntry[];
    private readonly arrivals: PolicyRequest[];
    private readonly samples: PolicySample[] = [];
    private gossip: readonly ReadonlyMap<string, number>[] = [];
    private demands: readonly number[] = [];

    constructor(private readonly plan: PolicyPlan, policy: PolicySettings, seed: number) {
        this.arrivals = [...createArrivals(plan, seed)];
        this.workers = plan.workers.map((settings) => new PolicyWorker(settings, plan.costs));
        const environment = {
            workers: this.workers,
            random: createDraw(xoroshiro128plus(seed + POLICY_SEED)),
            countEntries: () => this.entries.filter((entry) => !entry.isDead).length,
            countOthers: (entry: number, worker: string) =>
                computeSumOfOthers(this.gossip, entry, (counts) => counts.get(worker) ?? 0),
            countOthersDemand: (entry: number) => computeSumOfOthers(this.demands, entry, (demand) => demand),
            record: (request: PolicyRequest, outcome: RequestOutcome) => {
                this.samples.push({ request, outcome });
            },
        };
        this.entries = Array.from(
            { length: plan.entries },
            (_, number) => new PolicyEntry(number, policy, environment),
        );
    }

    async run(advance: (ms: number) => Promise<unknown>): Promise<PolicyRun> {
        const gossipTimer = setInterval(() => {
            this.spreadGossip();
        }, GOSSIP_INTERVAL_MS);
        for (let nowMs = 0; nowMs < this.plan.durationMs; nowMs += ARRIVAL_STEP_MS) {
            if (this.plan.failureMs === nowMs) {
                this.injectFailure();
            }
            this.sendArrivals(nowMs);
            await advance(ARRIVAL_STEP_MS);
        }
        await advance(DRAIN_MS);
        clearInterval(gossipTimer);
        this.workers.forEach((worker) => {
            worker.stop();
        });
        return { samples: this.samples, limit: computeLimit(this.plan) };
    }

    private sendArrivals(nowMs: number): void {
        while (this.arrivals[0] !== undefined && this.arrivals[0].arrivedMs <= nowMs) {
            const request = this.arrivals.shift();
            if (request !== undefined) {
                void this.entries[request.entry]?.handle(request);
            }
        }
    }

    private spreadGossip(): void {
        this.gossip = this.entries.map((entry) => entry.isDead ? new Map<string, number>() : entry.getInFlight());
        this.demands = this.entries.map((entry) => entry.isDead ? 0 : entry.demand);
        this.entries.forEach((entry) => {
            entry.refresh();
        });
    }

    private injectFailure(): void {
        this.workers.slice(0, 2).forEach((worker) => {
            worker.kill();
        });
        this.entries.slice(0, 1).forEach((entry) => {
            entry.isDead = true;
        });
    }
}

function computeSumOfOthers<Value>(values: readonly Value[], except: number, get: (value: Value) => number): number {
    return values.reduce((sum, value, index) => index === except ? sum : sum + get(value), 0);
}
