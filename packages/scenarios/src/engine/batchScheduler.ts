/**
 * The stand-in's continuous batching. Runs hold slots; a run of a higher priority preempts the run of the lowest one,
 * which keeps its cache and resumes when a slot is free.
 */
import { priorityClasses, type Step } from "@crankfork/schemas";

/** A step that waits for a batch. */
export interface QueuedStep {
    readonly step: Step;
    readonly finish: () => void;
    readonly refuse: () => void;
}

/** Configuration of the scheduler. */
export interface SchedulerOptions {
    readonly slots: number;
    readonly queue: number;
    /** Computes the duration of a batch. */
    readonly computeBatchMs: (steps: readonly Step[]) => number;
}

const IDLE_RUN_TIMEOUT_MS = 30_000;

/** Grants slots to runs and computes their steps in batches. */
export class BatchScheduler {
    /** Priority rank and time of the last step of each run that has a slot. */
    private readonly running = new Map<string, { priority: number; lastStepMs: number; }>();
    private waiting: QueuedStep[] = [];
    private isBatchRunning = false;

    /**
     * @param options - slots, queue and speed
     */
    constructor(private readonly options: SchedulerOptions) {}

    /** Number of runs with a slot. */
    get runningCount(): number {
        return this.running.size;
    }

    /** Number of runs that wait for a slot. */
    get waitingCount(): number {
        return new Set(this.waiting.map(({ step }) => step.run).filter((run) => !this.running.has(run))).size;
    }

    /**
     * Adds a step; it is refused at once if its run is new and the queue is full.
     * @param queued - the step
     */
    add(queued: QueuedStep): void {
        const { run } = queued.step;
        const isNew = !this.running.has(run) && !this.waiting.some(({ step }) => step.run === run);
        if (isNew && this.running.size >= this.options.slots && this.waitingCount >= this.options.queue) {
            queued.refuse();
            return;
        }
        this.waiting.push(queued);
        this.startBatch();
    }

    /**
     * Removes a run, and frees its slot.
     * @param run - the run
     */
    remove(run: string): void {
        this.running.delete(run);
        this.waiting = this.waiting.filter(({ step }) => step.run !== run);
        this.startBatch();
    }

    private startBatch(): void {
        if (this.isBatchRunning) {
            return;
        }
        this.grantSlots();
        const batch = this.waiting.filter(({ step }) => this.running.has(step.run));
        if (batch.length === 0) {
            return;
        }
        this.isBatchRunning = true;
        this.waiting = this.waiting.filter((queued) => !batch.includes(queued));
        setTimeout(() => {
            this.isBatchRunning = false;
            batch.forEach(({ finish }) => {
                finish();
            });
            this.startBatch();
        }, this.options.computeBatchMs(batch.map(({ step }) => step)));
    }

    private grantSlots(): void {
        const nowMs = performance.now();
        this.evictIdleRuns(nowMs);
        const byPriority = [...this.waiting].sort((left, right) => getRank(left.step) - getRank(right.step));
        for (const { step } of byPriority) {
            const priority = getRank(step);
            if (this.running.has(step.run) || this.running.size < this.options.slots || this.preemptBelow(priority)) {
                this.running.set(step.run, { priority, lastStepMs: nowMs });
            }
        }
    }

    /** Frees the slot of the run of the lowest priority if that is lower than `priority` (a higher rank). */
    private preemptBelow(priority: number): boolean {
        const candidates = [...this.running].filter(([, run]) => run.priority > priority);
        const [victim] = candidates.sort(([, left], [, right]) => right.priority - left.priority);
        return victim !== undefined && this.running.delete(victim[0]);
    }

    private evictIdleRuns(nowMs: number): void {
        for (const [run, { lastStepMs }] of this.running) {
            if (nowMs - lastStepMs > IDLE_RUN_TIMEOUT_MS) {
                this.running.delete(run);
            }
        }
    }
}

function getRank(step: Step): number {
    return priorityClasses.indexOf(step.priority);
}
