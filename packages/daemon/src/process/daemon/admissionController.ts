/**
 * Admission control for one model or service: which requests run, wait or are refused.
 * The decisions are pure functions; this file keeps the counts and starts queued requests.
 */
import {
    type AdmissionDecision,
    chooseAdmission,
    ClassDrainMeters,
    ClassSlots,
    DecayingCounter,
    FairQueue,
    type QueuedRequest,
} from "@crankfork/decisions";
import { type LatencyBound, type PriorityClass, priorityClasses } from "@crankfork/schemas";
import type VError from "verror";
import { createCallerError } from "../../request/callerError.js";
import { limitTimerMs } from "../waitMs.js";

/** A request that asks for admission. */
export interface AdmissionRequest extends QueuedRequest {
    readonly bound: LatencyBound;
    /** Time until the caller's deadline, in milliseconds; infinite without a deadline. */
    readonly deadlineMs: number;
    /** Aborts the wait when the caller disconnects. */
    readonly signal: AbortSignal;
}

/** Measurement of a request that has ended. */
export interface RequestTiming {
    /** Time from the start to the first token; undefined if there was none. */
    readonly firstTokenMs: number | undefined;
}

interface WaitingRequest extends AdmissionRequest {
    readonly start: () => void;
    readonly fail: (error: VError) => void;
}

const MIN_RETRY_AFTER_MS = 100;
/** Weight of the newest sample in the exponential moving average. */
const MOVING_AVERAGE_WEIGHT = 0.1;

/** Admits requests for one model or service at this instance. */
export class AdmissionController {
    private readonly queue = new FairQueue<WaitingRequest>();
    private readonly running = new ClassSlots();
    private readonly drainMeters = new ClassDrainMeters(priorityClasses);
    private readonly recentRefusals = new DecayingCounter();
    private meanFirstTokenMs = 0;

    /**
     * @param name - name of the model or service, for error messages
     * @param queueLimit - maximum length of the queue
     * @param computeSlots - computes this instance's share of the slots from its own demand
     */
    constructor(
        private readonly name: string,
        private readonly queueLimit: number,
        private readonly computeSlots: (ownDemand: number) => number,
    ) {}

    /** Number of running requests. */
    get runningRequests(): number {
        return this.running.size;
    }

    /** Number of queued requests. */
    get waitingRequests(): number {
        return this.queue.length;
    }

    /** Running, queued and recently refused requests. Refused ones count so that an overloaded entry does not look idle. */
    get demand(): number {
        return this.running.size + this.queue.length + Math.round(this.recentRefusals.get(performance.now()));
    }

    /**
     * Waits for a slot.
     * @param request - the request
     * @returns resolves when the request may run; call `release` when it ends
     * @throws a caller error, immediately if the request can't be served within its bound
     */
    async acquire(request: AdmissionRequest): Promise<void> {
        const decision = this.decide(request);
        switch (decision.kind) {
            case "run":
                this.running.recordStart(request.priority);
                return;
            case "wait":
                await this.waitForSlot(request, decision.limitMs);
                return;
            case "refuse-late":
                this.recentRefusals.increment(performance.now());
                throw createCallerError("overloaded", {
                    step: "admission",
                    peer: this.name,
                    values: {
                        expected_ms: Math.round(decision.expectedMs),
                        bound_ms: Math.round(Math.min(request.bound.first_token_ms, request.deadlineMs)),
                    },
                    retryAfterMs: decision.retryAfterMs,
                });
            case "refuse-full":
                this.recentRefusals.increment(performance.now());
                throw createCallerError("queue-full", {
                    step: "admission",
                    peer: this.name,
                    values: { limit: this.queueLimit },
                    retryAfterMs: decision.retryAfterMs,
                });
        }
    }

    /**
     * Releases the slot of a request that ended, and starts queued ones.
     * @param priority - priority class of the request
     * @param timing - measurement of the request
     */
    release(priority: PriorityClass, timing: RequestTiming): void {
        this.running.recordEnd(priority);
        if (timing.firstTokenMs !== undefined) {
            this.meanFirstTokenMs = updateMovingAverage(this.meanFirstTokenMs, timing.firstTokenMs);
        }
        this.startQueued();
    }

    /** Starts queued requests for which slots are free. */
    startQueued(): void {
        const slots = this.computeSlots(this.demand);
        const mayStart = (priority: PriorityClass): boolean => this.running.countFree(priority, slots) > 0;
        for (let next = this.queue.pop(mayStart); next !== undefined; next = this.queue.pop(mayStart)) {
            this.running.recordStart(next.priority);
            const isEmpty = this.queue.countWaiting(next.priority) === 0;
            this.drainMeters.get(next.priority).recordDeparture(next.tokens, isEmpty, performance.now());
            next.start();
        }
    }

    private decide(request: AdmissionRequest): AdmissionDecision {
        const slots = this.computeSlots(this.demand + 1);
        return chooseAdmission({
            tokensAhead: this.queue.countTokensAhead(request),
            ownTokens: request.tokens,
            msPerToken: this.drainMeters.get(request.priority).getMsPerToken(performance.now()),
            startMs: this.meanFirstTokenMs,
            freeSlots: this.running.countFree(request.priority, slots),
            waitingRequests: this.queue.length,
            queueLimit: this.queueLimit,
            deadlineMs: request.deadlineMs,
        }, request.bound);
    }

    /** Queues a request until a slot is free. Past the limit its answer could no longer be in time, so it is refused. */
    private waitForSlot(request: AdmissionRequest, limitMs: number): Promise<void> {
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
                        this.drainMeters.get(request.priority).recordEmpty();
                    }
                    reject(error);
                },
            };
            const cancel = (): void => {
                waiting.fail(createCallerError("deadline-passed", { step: "admission", peer: this.name }));
            };
            const timer = setTimeout(() => {
                this.recentRefusals.increment(performance.now());
                const boundMs = Math.min(request.bound.first_token_ms, request.deadlineMs);
                const values = {
                    expected_ms: Math.round(boundMs + this.meanFirstTokenMs),
                    bound_ms: Math.round(boundMs),
                };
                const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, this.meanFirstTokenMs);
                waiting.fail(createCallerError("overloaded", { step: "queue", peer: this.name, values, retryAfterMs }));
            }, limitTimerMs(limitMs));
            request.signal.addEventListener("abort", cancel, { once: true });
            this.queue.push(waiting);
            this.drainMeters.get(request.priority).recordArrival(performance.now());
        });
    }
}

function updateMovingAverage(mean: number, value: number): number {
    return mean === 0 ? value : mean + MOVING_AVERAGE_WEIGHT * (value - mean);
}
