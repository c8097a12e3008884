/**
 * Steady load on a cluster whose processes die: callers as the platform's balancer would send them.
 */
import { type CompletionResult, computeExpectedText, streamCompletion } from "../harness/caller.js";
import { LAYERS, MODEL, ORGANISATION, type World } from "../harness/world.js";

/** Bounds past which an observation is bad, in milliseconds. */
export interface ServiceBounds {
    readonly firstTokenMs: number;
    readonly gapMs: number;
}

/** What callers saw. */
export interface LoadCounts {
    readonly finished: number;
    /** Answers said to be whole whose text was not that of the model. */
    readonly broken: number;
    /** Answers with more tokens than asked for. */
    readonly doubled: number;
    readonly failed: number;
}

const TOKENS = 20;
const RETRY_MS = 10;
const SLIP_EVERY_MS = 40;

/** Callers that go on until they are stopped. */
export class LoadLoop {
    private isStopped = false;
    private readonly workers: Promise<void>[] = [];
    private readonly slips: string[] = [];
    private next = 0;
    private lastBadMs = Number.NEGATIVE_INFINITY;
    private finished = 0;
    private broken = 0;
    private doubled = 0;
    private failed = 0;

    /**
     * @param world - the cluster
     * @param bounds - what is good
     */
    constructor(private readonly world: World, private readonly bounds: ServiceBounds) {}

    /**
     * Starts callers.
     * @param callers - how many at a time
     */
    start(callers: number): void {
        for (let number = 0; number < callers; number += 1) {
            this.workers.push(this.runCaller());
        }
        if (this.world.services.size > 0) {
            this.workers.push(this.runSlips());
        }
    }

    /** Stops the callers and waits for their last answers. */
    async stop(): Promise<void> {
        this.isStopped = true;
        await Promise.all(this.workers);
    }

    /**
     * Tells how long service was out of its bounds.
     * @param sinceMs - when the failure came
     * @returns milliseconds from then to the end of the last bad observation; 0 where there was none
     */
    getBackMs(sinceMs: number): number {
        return Math.max(0, this.lastBadMs - sinceMs);
    }

    /**
     * Gets what callers saw so far.
     * @returns the counts
     */
    getCounts(): LoadCounts {
        return { finished: this.finished, broken: this.broken, doubled: this.doubled, failed: this.failed };
    }

    /**
     * Counts slips that were printed more than once, by the printers' own counts.
     * @returns how many
     */
    async countDoubledSlips(): Promise<number> {
        const counts = await Promise.all(this.slips.map((slip) => this.world.countEffects(slip)));
        return counts.filter((count) => count > 1).length;
    }

    private async runCaller(): Promise<void> {
        while (!this.isStopped) {
            await this.runRequest();
        }
    }

    /** The balancer leaves out entries that are gone. */
    private chooseEntry(): string {
        const living = [...this.world.cluster.entries.values()].filter((entry) => entry.process.isRunning);
        this.next += 1;
        return living[this.next % living.length]?.options.name ?? "";
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
            this.recordBad();
            await new Promise((resolve) => setTimeout(resolve, RETRY_MS));
        }
    }

    private recordResult(result: CompletionResult, startedMs: number): void {
        const isLate = (result.firstTokenMs ?? Number.POSITIVE_INFINITY) > this.bounds.firstTokenMs
            || result.tokenIntervalsMs.some((gap) => gap > this.bounds.gapMs);
        if (result.errorId !== undefined) {
            this.recordBad();
            return;
        }
        this.finished += 1;
        this.doubled += result.tokens > TOKENS ? 1 : 0;
        this.broken += result.text === computeExpectedText(result.call, LAYERS) ? 0 : 1;
        if (isLate) {
            this.lastBadMs = Math.max(this.lastBadMs, startedMs + this.findLastLateMs(result));
        }
    }

    /** When, from its start, the answer was last out of bounds. */
    private findLastLateMs(result: CompletionResult): number {
        let atMs = result.firstTokenMs ?? 0;
        let lastMs = atMs > this.bounds.firstTokenMs ? atMs : 0;
        for (const gap of result.tokenIntervalsMs) {
            atMs += gap;
            lastMs = gap > this.bounds.gapMs ? atMs : lastMs;
        }
        return lastMs;
    }

    private recordBad(): void {
        if (!this.isStopped) {
            this.failed += 1;
            this.lastBadMs = performance.now();
        }
    }

    private async runSlips(): Promise<void> {
        while (!this.isStopped) {
            const slip = `slip ${String(this.slips.length)}`;
            this.slips.push(slip);
            await this.sendSlip(slip);
            await new Promise((resolve) => setTimeout(resolve, SLIP_EVERY_MS));
        }
    }

    /** A clerk sends the slip again and again until its end is known. */
    private async sendSlip(slip: string): Promise<void> {
        const startedMs = performance.now();
        while (!this.isStopped) {
            const answer = await this.world.callService(this.chooseEntry(), slip, { "idempotency-key": slip })
                .catch(() => undefined);
            const { error } = (answer?.body ?? {}) as { error?: { id: string; outcome: string; }; };
            const isFinal = answer?.status === 200 || error?.id === "owner-lost" || error?.id === "upstream-lost";
            if (isFinal) {
                const nowMs = performance.now();
                this.lastBadMs = nowMs - startedMs > this.bounds.firstTokenMs ? nowMs : this.lastBadMs;
                return;
            }
            this.recordBad();
            await new Promise((resolve) => setTimeout(resolve, RETRY_MS));
        }
    }
}
