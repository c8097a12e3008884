/**
 * A worker of the policy bench as functions: continuous batching, slots, priorities, lagging reports.
 */
import { type PriorityClass, priorityClasses } from "@crankfork/schemas";

/** A request as workers and entries of the bench see it. */
export interface PolicyRequest {
    readonly number: number;
    readonly organisation: string;
    readonly priority: PriorityClass;
    readonly promptTokens: number;
    readonly outputTokens: number;
    readonly arrivedMs: number;
    readonly entry: number;
}

/** How a worker ends a request. */
export interface WorkerHandlers {
    readonly handleToken: (count: number) => void;
    readonly handleEnd: () => void;
    /** The worker died; what was generated so far is known. */
    readonly handleLost: () => void;
}

interface WorkerJob {
    readonly request: PolicyRequest;
    readonly handlers: WorkerHandlers;
    /** Prompt tokens that are still to be computed. */
    prefillLeft: number;
    generated: number;
    /** When its next position is there. */
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
    /** What each running request adds. */
    readonly requestMs: number;
    /** What each prompt token adds. */
    readonly promptTokenMs: number;
    /**
     * Until a token's next position is back from the entry; 0 for engines that go on by themselves. With a round trip
     * a batch begins without the runs of the last one, so the runs fall into two groups that take turns.
     */
    readonly roundTripMs: number;
}

/** Prompt tokens that one batch takes in. */
const PREFILL_CHUNK = 256;
const REPORT_EVERY_MS = 250;

/** One worker. */
export class PolicyWorker {
    private running: WorkerJob[] = [];
    private waiting: WorkerJob[] = [];
    private isBusy = false;
    private report = { count: 0, sampledMs: 0 };
    private readonly timer: NodeJS.Timeout;
    isDead = false;

    /**
     * @param settings - speed and slots
     * @param costs - time of its batches
     */
    constructor(readonly settings: WorkerSettings, private readonly costs: BatchCosts) {
        this.timer = setInterval(() => {
            this.report = { count: this.running.length + this.waiting.length, sampledMs: performance.now() };
        }, REPORT_EVERY_MS);
    }

    /** Its last report: requests there, and how old that is. */
    get lastReport(): { readonly count: number; readonly sampledMs: number; } {
        return this.report;
    }

    /** Ends its clock. */
    stop(): void {
        clearInterval(this.timer);
    }

    /**
     * Takes a request.
     * @param request - the request
     * @param generated - tokens that it has from another worker
     * @param handlers - told of each token and of the end
     */
    add(request: PolicyRequest, generated: number, handlers: WorkerHandlers): void {
        const job = { request, handlers, generated, prefillLeft: request.promptTokens + generated, readyMs: 0 };
        this.waiting.push(job);
        this.startBatch();
    }

    /** Dies with all that it runs. */
    kill(): void {
        this.isDead = true;
        this.stop();
        const lost = [...this.running, ...this.waiting];
        this.running = [];
        this.waiting = [];
        lost.forEach((job) => job.handlers.handleLost());
    }

    private startBatch(): void {
        if (this.isBusy || this.isDead) {
            return;
        }
        this.grantSlots();
        const nowMs = performance.now();
        const batch = this.running.filter((job) => job.readyMs <= nowMs);
        if (batch.length === 0) {
            return;
        }
        this.isBusy = true;
        setTimeout(() => {
            this.isBusy = false;
            if (!this.isDead) {
                this.handleBatchEnd(batch);
                this.startBatch();
            }
        }, this.computeBatchMs(batch));
    }

    /** The most pressing first; a running one gives way to a more pressing one and goes on later. */
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
        const prompt = batch.reduce((sum, job) => sum + Math.min(job.prefillLeft, PREFILL_CHUNK), 0);
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
            if (job.prefillLeft > 0) {
                const taken = Math.min(chunk, job.prefillLeft);
                job.prefillLeft -= taken;
                chunk -= taken;
            }
            if (job.prefillLeft === 0) {
                job.generated += 1;
                job.handlers.handleToken(job.generated);
                if (job.generated >= job.request.outputTokens) {
                    ended.push(job);
                }
            }
        }
        this.running = this.running.filter((job) => !ended.includes(job));
        // One that gave its slot up while its last batch ran has ended all the same.
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
 * Computes what a worker can do at most while its tokens keep their bound.
 * @param settings - the worker
 * @param costs - time of its batches
 * @param betweenTokensMs - the bound
 * @param promptShare - prompt tokens for each generated token
 * @returns generated tokens a second
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
