/**
 * One run of the policy bench: entries and workers as functions, on a paused clock.
 */
import FakeTimers from "@sinonjs/fake-timers";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { ARRIVAL_STEP_MS, computeLimit, createArrivals, createDraw, type PolicyPlan } from "./arrivals.js";
import { PolicyEntry, type PolicySettings, type RequestOutcome } from "./entry.js";
import { type PolicyRequest, PolicyWorker } from "./worker.js";

/** One request and how it ended. */
export interface PolicySample {
    readonly request: PolicyRequest;
    readonly outcome: RequestOutcome;
}

/** A finished run. */
export interface PolicyRun {
    readonly samples: readonly PolicySample[];
    /** Generated tokens a second that all workers can do within the bound. */
    readonly limit: number;
}

const GOSSIP_MS = 500;
/** What is still under way is let end, so that no policy is spared its queue. */
const LET_END_MS = 20_000;
/** Draws of the policies differ from those of the arrivals. */
const POLICY_SEED = 7_919;

/**
 * Runs a plan under a policy.
 * @param plan - load and failures
 * @param policy - what entries decide by
 * @param seed - of all that is drawn
 * @returns every request that arrived, and how it ended
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
        const world = {
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
        this.entries = Array.from({ length: plan.entries }, (_, number) => new PolicyEntry(number, policy, world));
    }

    async run(advance: (ms: number) => Promise<unknown>): Promise<PolicyRun> {
        const gossipTimer = setInterval(() => {
            this.spreadGossip();
        }, GOSSIP_MS);
        for (let nowMs = 0; nowMs < this.plan.lengthMs; nowMs += ARRIVAL_STEP_MS) {
            if (this.plan.failureMs === nowMs) {
                this.fail();
            }
            this.sendArrivals(nowMs);
            await advance(ARRIVAL_STEP_MS);
        }
        await advance(LET_END_MS);
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

    private fail(): void {
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
