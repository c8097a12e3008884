/**
 * A simulated worker of the policy bench, with continuous batching, slots, priorities and delayed load reports.
 */
import { type PriorityClass, priorityClasses } from "@crankfork/schemas";

/** A request of the policy bench. */
export interface PolicyRequest {
    readonly number: number;
    readonly organisation: string;
    readonly priority: PriorityClass;
    readonly promptTokens: number;
    readonly outputTokens: number;
    readonly arrivedMs: number;
    readonly entry: number;
}

/** Callbacks for the progress and the end of a request. */
export interface WorkerHandlers {
    readonly handleToken: (count: number) => void;
    readonly handleEnd: () => void;
    /** Called when the worker failed; the tokens generated so far have been reported. */
    readonly handleLost: () => void;
}

interface WorkerJob {
    readonly request: PolicyRequest;
    readonly handlers: WorkerHandlers;
    /** Prompt tokens that are not yet computed. */
    remainingPrefill: number;
    generated: number;
    /** Time from which the next position can be computed. */
    readyMs: number;
}

/** Speed and size of a worker. */
export interface WorkerSettings {
    readonly name: string;
    readonly speed: number;
    readonly slots: number;
}

/** Time of a batch at speed 1, in milliseconds. */
export interface BatchCosts {
    readonly baseMs: number;
    /** Additional time for each running request. */
    readonly requestMs: number;
    /** Additional time for each prompt token. */
    readonly promptTokenMs: number;
    /**
     * Time until the entry has sent the next position; 0 for engines that continue by themselves. With a round trip, a
     * batch starts without the runs of the previous one, so the runs split into two groups that alternate.
     */
    readonly roundTripMs: number;
}

/** Maximum number of prompt tokens in a batch. */
const PREFILL_CHUNK = 256;
const REPORT_INTERVAL_MS = 250;

/** A simulated worker. */
export class PolicyWorker {
    private running: WorkerJob[] = [];
    private waiting: WorkerJob[] = [];
    private isBatchRunning = false;
    private report = { count: 0, sampledMs: 0 };
    private readonly reportTimer: NodeJS.Timeout;
    isDead = false;

    /**
     * @param settings - speed and slots
     * @param costs - duration of batches
     */
    constructor(readonly settings: WorkerSettings, private readonly costs: BatchCosts) {
        this.reportTimer = setInterval(() => {
            this.report = { count: this.running.length + this.waiting.length, sampledMs: performance.now() };
        }, REPORT_INTERVAL_MS);
    }

    /** The last load report: number of requests, and when they were counted. */
    get lastReport(): { readonly count: number; readonly sampledMs: number; } {
        return this.report;
    }

    /** Stops the load reports. */
    stop(): void {
        clearInterval(this.reportTimer);
    }

    /**
     * Adds a request.
     * @param request - the request
     * @param generated - number of tokens that another worker has generated
     * @param handlers - callbacks for each token and the end
     */
    add(request: PolicyRequest, generated: number, handlers: WorkerHandlers): void {
        const job = { request, handlers, generated, remainingPrefill: request.promptTokens + generated, readyMs: 0 };
        this.waiting.push(job);
        this.startBatch();
    }

    /** Simulates a crash, in which all requests are lost. */
    kill(): void {
        this.isDead = true;
        this.stop();
        const lost = [...this.running, ...this.waiting];
        this.running = [];
        this.waiting = [];
        lost.forEach((job) => job.handlers.handleLost());
    }

    private startBatch(): void {
        if (this.isBatchRunning || this.isDead) {
            return;
        }
        this.grantSlots();
        const nowMs = performance.now();
        const batch = this.running.filter((job) => job.readyMs <= nowMs);
        if (batch.length === 0) {
            return;
        }
        this.isBatchRunning = true;
        setTimeout(() => {
            this.isBatchRunning = false;
            if (!this.isDead) {
                this.handleBatchEnd(batch);
                this.startBatch();
            }
        }, this.computeBatchMs(batch));
    }

    /** Grants slots by priority, then by age; a preempted request continues later. */
    private grantSlots(): void {
        const all = [...this.running, ...this.waiting].sort((left, right) =>
            getRank(left) - getRank(right) || left.request.number - right.request.number
        );
        if (this.waiting.length > 0) {
            this.running = all.slice(0, this.settings.slots);
            this.waiting = all.slice(this.settings.slots);
        }
    }

    private computeBatchMs(batch: readonly WorkerJob[]): number {
        const prompt = batch.reduce((sum, job) => sum + Math.min(job.remainingPrefill, PREFILL_CHUNK), 0);
        const { baseMs, requestMs, promptTokenMs } = this.costs;
        const chunk = Math.min(prompt, PREFILL_CHUNK);
        return (baseMs + batch.length * requestMs + chunk * promptTokenMs) / this.settings.speed;
    }

    private handleBatchEnd(batch: readonly WorkerJob[]): void {
        let chunk = PREFILL_CHUNK;
        const ended: WorkerJob[] = [];
        const { roundTripMs } = this.costs;
        for (const job of batch) {
            job.readyMs = performance.now() + roundTripMs;
            if (job.remainingPrefill > 0) {
                const taken = Math.min(chunk, job.remainingPrefill);
                job.remainingPrefill -= taken;
                chunk -= taken;
            }
            if (job.remainingPrefill === 0) {
                job.generated += 1;
                job.handlers.handleToken(job.generated);
                if (job.generated >= job.request.outputTokens) {
                    ended.push(job);
                }
            }
        }
        this.running = this.running.filter((job) => !ended.includes(job));
        // A request that was preempted during its last batch has finished, too.
        this.waiting = this.waiting.filter((job) => !ended.includes(job));
        ended.forEach((job) => job.handlers.handleEnd());
        if (roundTripMs > 0) {
            setTimeout(() => {
                this.startBatch();
            }, roundTripMs);
        }
    }
}

/**
 * Computes the maximum throughput of a worker at which inter-token latency stays within its bound.
 * @param settings - the worker
 * @param costs - duration of batches
 * @param betweenTokensMs - bound of the inter-token latency
 * @param promptShare - prompt tokens for each generated token
 * @returns generated tokens per second
 */
export function computeWorkerLimit(
    settings: WorkerSettings,
    costs: BatchCosts,
    betweenTokensMs: number,
    promptShare: number,
): number {
    let best = 0;
    for (let running = 1; running <= settings.slots; running += 1) {
        const { baseMs, requestMs, promptTokenMs } = costs;
        const groups = costs.roundTripMs > 0 ? 2 : 1;
        const intervalMs = (groups * baseMs + running * (requestMs + promptShare * promptTokenMs)) / settings.speed;
        best = intervalMs <= betweenTokensMs ? Math.max(best, running / intervalMs * 1_000) : best;
    }
    return best;
}

function getRank(job: WorkerJob): number {
    return priorityClasses.indexOf(job.request.priority);
}
