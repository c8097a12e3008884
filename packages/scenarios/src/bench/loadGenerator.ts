/**
 * Steady load on a cluster whose processes are killed; callers are spread as by the platform's load balancer.
 */
import { type CompletionResult, computeExpectedText, streamCompletion } from "../harness/caller.js";
import { LAYERS, MODEL, ORGANISATION, type World } from "../harness/world.js";

/** Latency bounds; an observation beyond them is a violation. */
export interface ServiceBounds {
    readonly firstTokenMs: number;
    readonly tokenIntervalMs: number;
}

/** Counts of request outcomes. */
export interface LoadCounts {
    readonly finished: number;
    /** Completions that ended without an error but differ from the reference text. */
    readonly incorrect: number;
    /** Completions with more tokens than requested. */
    readonly overlong: number;
    readonly failed: number;
}

const TOKENS = 20;
const RETRY_MS = 10;
const SLIP_INTERVAL_MS = 40;

/** Callers that send requests until they are stopped. */
export class LoadGenerator {
    private isStopped = false;
    private readonly workers: Promise<void>[] = [];
    private readonly slips: string[] = [];
    private next = 0;
    private lastViolationMs = Number.NEGATIVE_INFINITY;
    private finished = 0;
    private incorrect = 0;
    private overlong = 0;
    private failed = 0;

    /**
     * @param world - the cluster
     * @param bounds - latency bounds
     */
    constructor(private readonly world: World, private readonly bounds: ServiceBounds) {}

    /**
     * Starts callers.
     * @param callers - number of concurrent callers
     */
    start(callers: number): void {
        for (let number = 0; number < callers; number += 1) {
            this.workers.push(this.runCaller());
        }
        if (this.world.services.size > 0) {
            this.workers.push(this.runSlips());
        }
    }

    /** Stops the callers and waits for their pending requests. */
    async stop(): Promise<void> {
        this.isStopped = true;
        await Promise.all(this.workers);
    }

    /**
     * Computes how long it took until latencies were back within their bounds.
     * @param sinceMs - time of the failure
     * @returns milliseconds from the failure to the end of the last violation; 0 if there was none
     */
    getRecoveryMs(sinceMs: number): number {
        return Math.max(0, this.lastViolationMs - sinceMs);
    }

    /**
     * Gets the counts so far.
     * @returns the counts
     */
    getCounts(): LoadCounts {
        return { finished: this.finished, incorrect: this.incorrect, overlong: this.overlong, failed: this.failed };
    }

    /**
     * Counts slips that were printed more than once, as the printers counted.
     * @returns number of slips
     */
    async countDuplicateSlips(): Promise<number> {
        const counts = await Promise.all(this.slips.map((slip) => this.world.countEffects(slip)));
        return counts.filter((count) => count > 1).length;
    }

    private async runCaller(): Promise<void> {
        while (!this.isStopped) {
            await this.runRequest();
        }
    }

    /** Chooses running entries in turn, since the load balancer skips those that are down. */
    private chooseEntry(): string {
        const runningEntries = [...this.world.cluster.entries.values()].filter((entry) => entry.process.isRunning);
        this.next += 1;
        return runningEntries[this.next % runningEntries.length]?.options.name ?? "";
    }

    private async runRequest(): Promise<void> {
        const entry = this.chooseEntry();
        const startedMs = performance.now();
        try {
            const result = await streamCompletion({
                address: this.world.cluster.get(entry).addresses.callers,
                organisation: ORGANISATION,
                priority: "interactive",
                model: MODEL,
                prompt: `question ${String(this.next)}`,
                maxTokens: TOKENS,
            });
            this.recordResult(result, startedMs);
        }
        catch {
            this.recordFailure();
            await new Promise((resolve) => setTimeout(resolve, RETRY_MS));
        }
    }

    private recordResult(result: CompletionResult, startedMs: number): void {
        const isLate = (result.firstTokenMs ?? Number.POSITIVE_INFINITY) > this.bounds.firstTokenMs
            || result.tokenIntervalsMs.some((intervalMs) => intervalMs > this.bounds.tokenIntervalMs);
        if (result.errorId !== undefined) {
            this.recordFailure();
            return;
        }
        this.finished += 1;
        this.overlong += result.tokens > TOKENS ? 1 : 0;
        this.incorrect += result.text === computeExpectedText(result.call, LAYERS) ? 0 : 1;
        if (isLate) {
            this.lastViolationMs = Math.max(this.lastViolationMs, startedMs + this.findLastLateMs(result));
        }
    }

    /** Finds the time of the last violation, relative to the start of the request. */
    private findLastLateMs(result: CompletionResult): number {
        let atMs = result.firstTokenMs ?? 0;
        let lastMs = atMs > this.bounds.firstTokenMs ? atMs : 0;
        for (const intervalMs of result.tokenIntervalsMs) {
            atMs += intervalMs;
            lastMs = intervalMs > this.bounds.tokenIntervalMs ? atMs : lastMs;
        }
        return lastMs;
    }

    private recordFailure(): void {
        if (!this.isStopped) {
            this.failed += 1;
            this.lastViolationMs = performance.now();
        }
    }

    private async runSlips(): Promise<void> {
        while (!this.isStopped) {
            const slip = `slip ${String(this.slips.length)}`;
            this.slips.push(slip);
            await this.sendSlip(slip);
            await new Promise((resolve) => setTimeout(resolve, SLIP_INTERVAL_MS));
        }
    }

    /** Retries a slip until its outcome is final. */
    private async sendSlip(slip: string): Promise<void> {
        const startedMs = performance.now();
        while (!this.isStopped) {
            const answer = await this.world.callService(this.chooseEntry(), slip, { "idempotency-key": slip })
                .catch(() => undefined);
            const { error } = (answer?.body ?? {}) as { error?: { id: string; outcome: string; }; };
            const isFinal = answer?.status === 200 || error?.id === "owner-lost" || error?.id === "upstream-lost";
            if (isFinal) {
                const nowMs = performance.now();
                this.lastViolationMs = nowMs - startedMs > this.bounds.firstTokenMs ? nowMs : this.lastViolationMs;
                return;
            }
            this.recordFailure();
            await new Promise((resolve) => setTimeout(resolve, RETRY_MS));
        }
    }
}
