/**
 * A stand-in for a model engine: holds ranges of layers and implements the engine protocol of crankfork.
 */
import {
    type EngineStatus,
    type ExportedCache,
    type FencingToken,
    type LoadReport,
    type ModelLayerRange,
    type Order,
    type OrderResponse,
    type Step,
    type StepResponse,
} from "@crankfork/schemas";
import { BatchScheduler } from "./batchScheduler.js";
import { type EngineFaults, engineFaultsSchema, type EngineSettings } from "./engineSettings.js";
import { type CacheEvent, PrefixCache } from "./prefixCache.js";
import { RunTable } from "./runTable.js";

const REFUSED_FULL: StepResponse["result"] = { kind: "refused", reason: "full" };
const REFUSED_LEAVING: StepResponse["result"] = { kind: "refused", reason: "leaving" };
const MAX_EVENTS = 1_000;

/** Counters for tests. */
export interface EngineCounts {
    /** Positions computed through one layer. */
    readonly computed: number;
    readonly orders: number;
    readonly fencedOrders: number;
    readonly running: number;
    readonly waiting: number;
}

/** A stand-in engine. */
export class Engine {
    private readonly runs: RunTable;
    private readonly scheduler: BatchScheduler;
    private readonly prefixCache: PrefixCache;
    private readonly events: CacheEvent[] = [];
    private holds: readonly ModelLayerRange[] = [];
    private newestFence: FencingToken = { term: 0, index: 0 };
    private sample: LoadReport & { readonly sampledMs: number; };
    private readonly sampleTimer: NodeJS.Timeout;
    private orders = 0;
    private fencedOrders = 0;
    faults: EngineFaults = engineFaultsSchema.parse({});

    /**
     * @param settings - settings of the engine
     */
    constructor(private readonly settings: EngineSettings) {
        this.runs = new RunTable(settings.model_layers);
        this.prefixCache = new PrefixCache(settings.prefix_tokens, (event) => {
            this.publishEvent(event);
        });
        this.scheduler = new BatchScheduler({
            slots: settings.slots,
            queue: settings.queue,
            computeBatchMs: (steps) => this.computeBatchMs(steps),
        });
        this.sample = this.createSample(0, 0);
        this.sampleTimer = setInterval(() => {
            this.sample = this.createSample(this.scheduler.runningCount, this.scheduler.waitingCount);
        }, settings.report_every_ms);
    }

    /** Stops the sampling of the load. */
    stop(): void {
        clearInterval(this.sampleTimer);
    }

    /**
     * Runs steps.
     * @param steps - the steps
     * @param send - called with each answer as soon as it is computed
     * @returns resolves after the last answer
     */
    async runSteps(steps: readonly Step[], send: (answer: StepResponse) => void): Promise<void> {
        await Promise.all(steps.map(async (step) => {
            const result = await this.runStep(step);
            const { run, epoch, position, first_layer, end_layer } = step;
            send({ run, epoch, position, first_layer, end_layer, result });
        }));
    }

    /**
     * Cancels a run.
     * @param run - the run
     */
    cancel(run: string): void {
        this.scheduler.remove(run);
        this.runs.remove(run);
    }

    /**
     * Gets the status, with the latest sample of the load.
     * @returns the status
     */
    getStatus(): EngineStatus {
        const { sampledMs, ...load } = this.sample;
        return {
            holds: [...this.holds],
            load: { ...load, age_ms: performance.now() - sampledMs },
            is_leaving: this.faults.leaving,
        };
    }

    /**
     * Applies an order; its layers are held after the loading time.
     * @param order - the order
     * @returns `fenced` if a newer order was applied before and the engine checks fences
     */
    applyOrder(order: Order): OrderResponse {
        const isOlder = compareFences(order.fence, this.newestFence) < 0;
        if (isOlder && this.settings.checks_fence) {
            this.fencedOrders += 1;
            return { kind: "fenced", newest: this.newestFence };
        }
        this.newestFence = order.fence;
        this.orders += 1;
        setTimeout(() => {
            this.holds = order.holds;
        }, this.settings.load_ms);
        return { kind: "accepted" };
    }

    /**
     * Exports the caches of a run.
     * @param run - the run
     * @returns the caches
     */
    exportRun(run: string): readonly ExportedCache[] {
        return this.runs.exportRun(run);
    }

    /**
     * Imports caches.
     * @param caches - the caches
     */
    importRuns(caches: readonly ExportedCache[]): void {
        caches.forEach((cache) => {
            this.runs.importRun(cache);
        });
    }

    /**
     * Gets cache events, which are published with a delay and with gaps.
     * @param after - sequence number of the last known event
     * @returns newer events
     */
    getEvents(after: number): readonly CacheEvent[] {
        return this.events.filter((event) => event.sequence > after);
    }

    /**
     * Gets all runs of which this engine ever computed a step.
     * @returns ids of the runs
     */
    getSeenRuns(): readonly string[] {
        return [...this.runs.seen];
    }

    /**
     * Gets the counters for tests.
     * @returns the counters
     */
    getCounts(): EngineCounts {
        return {
            computed: this.runs.computed,
            orders: this.orders,
            fencedOrders: this.fencedOrders,
            running: this.scheduler.runningCount,
            waiting: this.scheduler.waitingCount,
        };
    }

    private runStep(step: Step): Promise<StepResponse["result"]> {
        if (this.faults.evicting) {
            return Promise.resolve(REFUSED_LEAVING);
        }
        return new Promise((resolve) => {
            this.scheduler.add({
                step,
                finish: () => {
                    resolve(this.runs.run(step, this.holds));
                },
                refuse: () => {
                    resolve(REFUSED_FULL);
                },
            });
        });
    }

    private computeBatchMs(steps: readonly Step[]): number {
        const work = steps.reduce((sum, step) => {
            const cached = step.position === 0 ? this.prefixCache.lookUpAndStore(step.inputs) : 0;
            return sum + (step.inputs.length - cached) * (step.end_layer - step.first_layer);
        }, 0);
        return (this.settings.batch_ms + work * this.settings.token_layer_ms) / this.settings.speed;
    }

    private publishEvent(event: CacheEvent): void {
        const eventGapInterval = this.settings.event_gap_every;
        if (eventGapInterval > 0 && event.sequence % eventGapInterval === 0) {
            return;
        }
        setTimeout(() => {
            this.events.push(event);
            this.events.splice(0, this.events.length - MAX_EVENTS);
        }, this.settings.event_delay_ms);
    }

    private createSample(running: number, waiting: number): LoadReport & { readonly sampledMs: number; } {
        return {
            running,
            waiting,
            kv_used: running,
            kv_total: this.settings.slots,
            age_ms: 0,
            sampledMs: performance.now(),
        };
    }
}

function compareFences(left: FencingToken, right: FencingToken): number {
    return left.term - right.term || left.index - right.index;
}
