/**
 * The gate before a model or service: what runs, what waits, what is refused.
 * The decisions are pure; this file keeps the counts and wakes those that waited.
 */
import {
    type AdmissionDecision,
    chooseAdmission,
    ClassSlots,
    DrainMeter,
    FairQueue,
    type QueuedRequest,
    RecentCount,
} from "@crankfork/decisions";
import { type ClassBound, type PriorityClass, priorityClasses } from "@crankfork/schemas";
import type VError from "verror";
import { createCallerFault } from "../../request/callerFault.js";

/** A request that wants to run. */
export interface AdmissionRequest extends QueuedRequest {
    readonly bound: ClassBound;
    /** Time until the caller's deadline, in milliseconds; infinite without one. */
    readonly deadlineMs: number;
    /** Ends the wait when the caller is gone. */
    readonly signal: AbortSignal;
}

/** What a request leaves behind when it ends. */
export interface RequestTiming {
    /** Time to its first token from when it ran; undefined where none came. */
    readonly firstTokenMs: number | undefined;
}

interface WaitingRequest extends AdmissionRequest {
    readonly start: () => void;
    readonly fail: (error: VError) => void;
}

const LEAST_RETRY_MS = 100;
/** Weight of the newest measurement in the running means. */
const SMOOTHING = 0.1;

/** What runs and waits for one model or service at this instance. */
export class AdmissionController {
    private readonly queue = new FairQueue<WaitingRequest>();
    private readonly running = new ClassSlots();
    private readonly drains = new Map(priorityClasses.map((name) => [name, new DrainMeter()]));
    private readonly refusals = new RecentCount();
    private startMs = 0;

    /**
     * @param name - model or service, for errors
     * @param queueLimit - most requests that wait
     * @param computeSlots - this instance's share of what may run now, from its own demand
     */
    constructor(
        private readonly name: string,
        private readonly queueLimit: number,
        private readonly computeSlots: (ownDemand: number) => number,
    ) {}

    /** Requests that run now. */
    get runningRequests(): number {
        return this.running.size;
    }

    /** Requests that wait now. */
    get waitingRequests(): number {
        return this.queue.length;
    }

    /** Requests that run or wait now, and those refused of late: refusing must not make an entry seem idle. */
    get demand(): number {
        return this.running.size + this.queue.length + Math.round(this.refusals.get(performance.now()));
    }

    /**
     * Waits for a turn.
     * @param request - the request
     * @returns resolves when it may run; call `leave` at its end
     * @throws a caller's error at once where it can't be served within its bound
     */
    async acquire(request: AdmissionRequest): Promise<void> {
        const decision = this.decide(request);
        switch (decision.kind) {
            case "run":
                this.running.recordStart(request.priority);
                return;
            case "wait":
                await this.wait(request, decision.limitMs);
                return;
            case "refuse-late":
                this.refusals.add(performance.now());
                throw createCallerFault("overloaded", {
                    step: "admission",
                    peer: this.name,
                    values: {
                        expected_ms: Math.round(decision.expectedMs),
                        bound_ms: Math.round(Math.min(request.bound.first_token_ms, request.deadlineMs)),
                    },
                    retryAfterMs: decision.retryAfterMs,
                });
            case "refuse-full":
                this.refusals.add(performance.now());
                throw createCallerFault("queue-full", {
                    step: "admission",
                    peer: this.name,
                    values: { limit: this.queueLimit },
                    retryAfterMs: decision.retryAfterMs,
                });
        }
    }

    /**
     * Ends a request that ran, and lets the next ones run.
     * @param priority - its class
     * @param usage - what it took
     */
    release(priority: PriorityClass, usage: RequestTiming): void {
        this.running.recordEnd(priority);
        if (usage.firstTokenMs !== undefined) {
            this.startMs = computeRunningMean(this.startMs, usage.firstTokenMs);
        }
        this.startQueued();
    }

    /** Lets requests run where slots have become free. */
    startQueued(): void {
        const slots = this.computeSlots(this.demand);
        const mayStart = (priority: PriorityClass): boolean => this.running.countFree(priority, slots) > 0;
        for (let next = this.queue.pop(mayStart); next !== undefined; next = this.queue.pop(mayStart)) {
            this.running.recordStart(next.priority);
            const isEmpty = this.queue.countWaiting(next.priority) === 0;
            this.getDrain(next.priority).recordDeparture(next.tokens, isEmpty, performance.now());
            next.start();
        }
    }

    private decide(request: AdmissionRequest): AdmissionDecision {
        const slots = this.computeSlots(this.demand + 1);
        return chooseAdmission({
            tokensAhead: this.queue.countTokensAhead(request),
            ownTokens: request.tokens,
            msPerToken: this.getDrain(request.priority).getMsPerToken(performance.now()),
            startMs: this.startMs,
            freeSlots: this.running.countFree(request.priority, slots),
            waitingRequests: this.queue.length,
            queueLimit: this.queueLimit,
            deadlineMs: request.deadlineMs,
        }, request.bound);
    }

    private getDrain(priority: PriorityClass): DrainMeter {
        const drain = this.drains.get(priority);
        if (drain === undefined) {
            throw new Error(`no drain of the class ${priority}`);
        }
        return drain;
    }

    /** Past the limit the answer would come too late anyway. */
    private wait(request: AdmissionRequest, limitMs: number): Promise<void> {
        return new Promise((resolve, reject) => {
            const finish = (): void => {
                clearTimeout(timer);
                request.signal.removeEventListener("abort", cancel);
            };
            const waiting: WaitingRequest = {
                ...request,
                start: () => {
                    finish();
                    resolve();
                },
                fail: (error) => {
                    finish();
                    this.queue.remove(waiting);
                    if (this.queue.countWaiting(request.priority) === 0) {
                        this.getDrain(request.priority).recordEmpty();
                    }
                    reject(error);
                },
            };
            const cancel = (): void => {
                waiting.fail(createCallerFault("deadline-passed", { step: "admission", peer: this.name }));
            };
            const timer = setTimeout(() => {
                this.refusals.add(performance.now());
                const boundMs = Math.min(request.bound.first_token_ms, request.deadlineMs);
                const values = { expected_ms: Math.round(boundMs + this.startMs), bound_ms: Math.round(boundMs) };
                const retryAfterMs = Math.max(LEAST_RETRY_MS, this.startMs);
                waiting.fail(createCallerFault("overloaded", { step: "queue", peer: this.name, values, retryAfterMs }));
            }, limitMs);
            request.signal.addEventListener("abort", cancel, { once: true });
            this.queue.push(waiting);
            this.getDrain(request.priority).recordArrival(performance.now());
        });
    }
}

function computeRunningMean(mean: number, value: number): number {
    return mean === 0 ? value : mean + SMOOTHING * (value - mean);
}
