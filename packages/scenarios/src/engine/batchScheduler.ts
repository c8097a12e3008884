/**
 * The stand-in's continuous batching: runs hold slots, urgent ones take the slot of the least pressing run, whose
 * cache stays, and which goes on when a slot is free again.
 */
import { priorityClasses, type Step } from "@crankfork/schemas";

/** A step that waits for its batch. */
export interface QueuedStep {
    readonly step: Step;
    readonly finish: () => void;
    readonly refuse: () => void;
}

/** What the scheduler needs to know. */
export interface SchedulerOptions {
    readonly slots: number;
    readonly queue: number;
    /** How long a batch takes, in milliseconds. */
    readonly computeBatchMs: (steps: readonly Step[]) => number;
}

const IDLE_RUN_MS = 30_000;

/** Runs and the steps that wait. */
export class BatchScheduler {
    /** Runs with a slot, with the time of their last step. */
    private readonly running = new Map<string, { priority: number; seenMs: number; }>();
    private waiting: QueuedStep[] = [];
    private isBusy = false;

    /**
     * @param options - slots, queue and speed
     */
    constructor(private readonly options: SchedulerOptions) {}

    /** Runs with a slot. */
    get runningRuns(): number {
        return this.running.size;
    }

    /** Runs that wait for a slot. */
    get waitingRuns(): number {
        return new Set(this.waiting.map(({ step }) => step.run).filter((run) => !this.running.has(run))).size;
    }

    /**
     * Adds a step; it is refused at once where too many runs wait.
     * @param queued - the step
     */
    add(queued: QueuedStep): void {
        const { run } = queued.step;
        const isNew = !this.running.has(run) && !this.waiting.some(({ step }) => step.run === run);
        if (isNew && this.running.size >= this.options.slots && this.waitingRuns >= this.options.queue) {
            queued.refuse();
            return;
        }
        this.waiting.push(queued);
        this.startBatch();
    }

    /**
     * Ends a run and frees its slot.
     * @param run - the run
     */
    remove(run: string): void {
        this.running.delete(run);
        this.waiting = this.waiting.filter(({ step }) => step.run !== run);
        this.startBatch();
    }

    private startBatch(): void {
        if (this.isBusy) {
            return;
        }
        this.grantSlots();
        const batch = this.waiting.filter(({ step }) => this.running.has(step.run));
        if (batch.length === 0) {
            return;
        }
        this.isBusy = true;
        this.waiting = this.waiting.filter((queued) => !batch.includes(queued));
        setTimeout(() => {
            this.isBusy = false;
            batch.forEach(({ finish }) => {
                finish();
            });
            this.startBatch();
        }, this.options.computeBatchMs(batch.map(({ step }) => step)));
    }

    private grantSlots(): void {
        const nowMs = performance.now();
        this.dropIdle(nowMs);
        const byPriority = [...this.waiting].sort((left, right) => getRank(left.step) - getRank(right.step));
        for (const { step } of byPriority) {
            const priority = getRank(step);
            if (this.running.has(step.run) || this.running.size < this.options.slots || this.pauseBelow(priority)) {
                this.running.set(step.run, { priority, seenMs: nowMs });
            }
        }
    }

    /** Takes the slot of the least pressing run that is less pressing than `priority`. */
    private pauseBelow(priority: number): boolean {
        const victims = [...this.running].filter(([, run]) => run.priority > priority);
        const [victim] = victims.sort(([, left], [, right]) => right.priority - left.priority);
        return victim !== undefined && this.running.delete(victim[0]);
    }

    private dropIdle(nowMs: number): void {
        for (const [run, { seenMs }] of this.running) {
            if (nowMs - seenMs > IDLE_RUN_MS) {
                this.running.delete(run);
            }
        }
    }
}

function getRank(step: Step): number {
    return priorityClasses.indexOf(step.priority);
}
