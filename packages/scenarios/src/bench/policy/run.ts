/**
 * One run of the policy bench: entries, workers and arrivals on a paused clock.
 */
import type { PriorityClass } from "@crankfork/schemas";
import FakeTimers from "@sinonjs/fake-timers";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { PolicyEntry, type PolicySettings, type RequestOutcome } from "./entry.js";
import { computeWorkerLimit, type PolicyRequest, PolicyWorker, type WorkerSettings } from "./worker.js";

/** Something that happens in a run. */
export interface PolicyPlan {
    readonly name: string;
    readonly entries: number;
    readonly lengthMs: number;
    /** Offered load over the limit, by class, at a time. */
    readonly computeLoads: (nowMs: number) => Readonly<Record<PriorityClass, number>>;
    /** When workers 0 and 1 and entry 0 die; undefined for never. */
    readonly failureMs: number | undefined;
}

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

const PROMPT = { least: 16, most: 128 } as const;
const OUTPUT = { least: 16, most: 96 } as const;
const BETWEEN_TOKENS_MS = 34;
const GOSSIP_MS = 500;
const ARRIVAL_STEP_MS = 10;
/** Two large organisations and eight small ones, by their share of requests. */
const organisationShares = [0.3, 0.3, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05];
/** The balancer sends a third of all to one entry. */
const FAVOURED_SHARE = 0.33;

/** Forty workers of three speeds. */
export const workerSettings: readonly WorkerSettings[] = Array.from({ length: 40 }, (_, number) => ({
    name: `worker-${String(number)}`,
    speed: [2, 1.5, 1, 1][number % 4] ?? 1,
    slots: 16,
}));

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
    private readonly random: RandomGenerator;
    private readonly workers = workerSettings.map((settings) => new PolicyWorker(settings));
    private readonly entries: PolicyEntry[];
    private readonly samples: PolicySample[] = [];
    private gossip: ReadonlyMap<string, number>[] = [];
    private demands: number[] = [];
    private arrived = 0;
    private readonly limit: number;

    constructor(private readonly plan: PolicyPlan, policy: PolicySettings, seed: number) {
        this.random = xoroshiro128plus(seed);
        const promptShare = (PROMPT.least + PROMPT.most) / (OUTPUT.least + OUTPUT.most);
        this.limit = workerSettings.reduce(
            (sum, one) => sum + computeWorkerLimit(one, BETWEEN_TOKENS_MS, promptShare),
            0,
        );
        const world = {
            workers: this.workers,
            random: () => this.draw(),
            countEntries: () => this.entries.filter((entry) => !entry.isDead).length,
            countOthersDemand: (entry: number) =>
                this.demands.reduce((sum, demand, number) => number === entry ? sum : sum + demand, 0),
            countOthers: (entry: number, worker: string) => this.countOthers(entry, worker),
            record: (request: PolicyRequest, outcome: RequestOutcome) => {
                this.samples.push({ request, outcome });
            },
        };
        this.entries = Array.from({ length: plan.entries }, (_, number) => new PolicyEntry(number, policy, world));
    }

    async run(advance: (ms: number) => Promise<unknown>): Promise<PolicyRun> {
        const gossipTimer = setInterval(() => {
            this.gossip = this.entries.map((entry) => entry.isDead ? new Map<string, number>() : entry.getInFlight());
            this.demands = this.entries.map((entry) => entry.isDead ? 0 : entry.demand);
            this.entries.forEach((entry) => {
                entry.refresh();
            });
        }, GOSSIP_MS);
        for (let nowMs = 0; nowMs < this.plan.lengthMs; nowMs += ARRIVAL_STEP_MS) {
            if (this.plan.failureMs === nowMs) {
                this.workers.slice(0, 2).forEach((worker) => {
                    worker.kill();
                });
                this.entries.slice(0, 1).forEach((entry) => {
                    entry.isDead = true;
                });
            }
            this.createArrivals(nowMs);
            await advance(ARRIVAL_STEP_MS);
        }
        // What is still under way is let end, so that no policy is spared its queue.
        await advance(20_000);
        clearInterval(gossipTimer);
        this.workers.forEach((worker) => {
            worker.stop();
        });
        return { samples: this.samples, limit: this.limit };
    }

    private createArrivals(nowMs: number): void {
        const meanOutput = (OUTPUT.least + OUTPUT.most) / 2;
        for (const [priority, load] of Object.entries(this.plan.computeLoads(nowMs))) {
            const expected = load * this.limit / meanOutput * ARRIVAL_STEP_MS / 1_000;
            const count = Math.floor(expected) + (this.draw() < expected % 1 ? 1 : 0);
            for (let one = 0; one < count; one += 1) {
                this.sendRequest(priority as PriorityClass);
            }
        }
    }

    private sendRequest(priority: PriorityClass): void {
        const entry = this.chooseEntry();
        this.arrived += 1;
        const request: PolicyRequest = {
            number: this.arrived,
            organisation: this.chooseOrganisation(),
            priority,
            promptTokens: this.drawBetween(PROMPT.least, PROMPT.most),
            outputTokens: this.drawBetween(OUTPUT.least, OUTPUT.most),
            arrivedMs: performance.now(),
            entry: entry.number,
        };
        void entry.handle(request);
    }

    private chooseEntry(): PolicyEntry {
        const living = this.entries.filter((entry) => !entry.isDead);
        const index = this.draw() < FAVOURED_SHARE ? 0 : Math.floor(this.draw() * living.length);
        const chosen = living[index];
        if (chosen === undefined) {
            throw new Error("no entry is alive");
        }
        return chosen;
    }

    private chooseOrganisation(): string {
        let left = this.draw();
        const index = organisationShares.findIndex((share) => {
            left -= share;
            return left < 0;
        });
        return `organisation-${String(index === -1 ? 0 : index)}`;
    }

    private countOthers(entry: number, worker: string): number {
        return this.gossip.reduce((sum, counts, number) => number === entry ? sum : sum + (counts.get(worker) ?? 0), 0);
    }

    private draw(): number {
        return (this.random.next() >>> 0) / 2 ** 32;
    }

    private drawBetween(least: number, most: number): number {
        return least + Math.floor(this.draw() * (most - least + 1));
    }
}
