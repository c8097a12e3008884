/**
 * Generates tokens over a pipeline of engines; each token position passes through all layers once and in order.
 *
 * A new route starts a new epoch at position 0, with everything generated so far as its prompt. Engines refuse steps of
 * older epochs and steps out of order, so steps of an older route that are still in flight have no effect.
 */
import { isExactTiling, type RouteStage } from "@crankfork/decisions";
import type { Model, PriorityClass, StepResponse } from "@crankfork/schemas";
import { ExchangeError } from "../connection/httpClient.js";
import type { UpstreamState } from "../process/daemon/upstreamState.js";
import type { EventFields } from "../process/eventLog.js";
import { waitMs } from "../process/waitMs.js";
import { createCallerError } from "./callerError.js";
import { createStageError, StageFailure } from "./stageFailure.js";

/** Dependencies of a pipeline run. */
export interface PipelineFunctions {
    readonly chooseRoute: (model: Model, excluded: ReadonlySet<string>) => readonly RouteStage[] | undefined;
    /** Chooses another upstream that holds exactly the layers of a stage. */
    readonly chooseReplacement: (
        model: Model,
        stage: RouteStage,
        excluded: ReadonlySet<string>,
    ) => RouteStage | undefined;
    readonly getUpstream: (name: string) => UpstreamState | undefined;
    readonly recordFailure: (state: UpstreamState, error: ExchangeError) => void;
    /** Time until the first engine in backoff accepts requests; undefined if no engine is in backoff. */
    readonly getBackoffMs: () => number | undefined;
    /** Takes one retry from the retry budget; false if it is exhausted. */
    readonly claimRetry: () => boolean;
    readonly record: (event: string, fields: EventFields) => void;
}

/** A generation request. */
export interface PipelineRequest {
    readonly run: string;
    readonly model: Model;
    readonly promptTokens: readonly number[];
    readonly maxTokens: number;
    readonly priority: PriorityClass;
    readonly isRepeatable: boolean;
    /** How long a run that has started waits for a new route, in milliseconds. */
    readonly routeWaitMs: number;
    /** Aborts the run when the caller disconnects. */
    readonly signal: AbortSignal;
}

/** One generated token. */
export interface GeneratedToken {
    readonly text: string;
    readonly isLast: boolean;
    /** Why generation ended; undefined before the last token. */
    readonly finishReason: "stop" | "length" | undefined;
}

const ROUTE_POLL_MS = 50;
const NO_ROUTE_RETRY_MS = 1_000;
/** Consecutive attempts without a new token after which a run is aborted. */
const MAX_ATTEMPTS = 6;

/**
 * Generates tokens one by one. Engines work only as fast as tokens are consumed.
 * @param request - the generation request
 * @param functions - routing, upstreams and retry budget
 * @returns the tokens, complete and in order
 * @throws a caller error whose outcome tells whether the request may have run
 */
export async function* generateTokens(
    request: PipelineRequest,
    functions: PipelineFunctions,
): AsyncGenerator<GeneratedToken, void> {
    const run = new PipelineRun(request, functions);
    try {
        for (let count = 1; count <= request.maxTokens; count += 1) {
            const token = await run.generateNext();
            const finishReason = token.isEnd ? "stop" : count === request.maxTokens ? "length" : undefined;
            yield { text: token.text, isLast: finishReason !== undefined, finishReason };
            if (finishReason !== undefined) {
                return;
            }
        }
    }
    finally {
        run.release();
    }
}

interface NextToken {
    readonly text: string;
    readonly isEnd: boolean;
}

class PipelineRun {
    private readonly tokens: number[];
    private readonly excluded = new Set<string>();
    private readonly usedUpstreams = new Set<UpstreamState>();
    private route: readonly RouteStage[] | undefined;
    private epoch = 0;
    /** The next position that the current route has not processed. */
    private position = 0;
    private attempts = 0;
    private mayHaveRun = false;
    private lastFailure: StageFailure | undefined;

    constructor(private readonly request: PipelineRequest, private readonly functions: PipelineFunctions) {
        this.tokens = [...request.promptTokens];
    }

    async generateNext(): Promise<NextToken> {
        for (;;) {
            const route = await this.getRoute();
            try {
                return await this.runStages(route);
            }
            catch (error) {
                if (!(error instanceof StageFailure && await this.migrateStage(route, error))) {
                    this.handleFailure(error);
                }
            }
        }
    }

    /**
     * Migrates a stage: if an engine drops a run but still has its cache, the cache and the run move to another engine,
     * so that no position passes through a layer twice. The earlier stages still have the answer to the repeated step.
     */
    private async migrateStage(route: readonly RouteStage[], failure: StageFailure): Promise<boolean> {
        const { model, run } = this.request;
        const { stage } = failure;
        const source = this.functions.getUpstream(stage.upstream);
        if (failure.reason !== "leaving" || this.position === 0 || source === undefined) {
            return false;
        }
        this.excluded.add(stage.upstream);
        const replacement = this.functions.chooseReplacement(model, stage, this.excluded);
        const target = replacement === undefined ? undefined : this.functions.getUpstream(replacement.upstream);
        if (replacement === undefined || target === undefined || !await transferCache(run, stage, source, target)) {
            return false;
        }
        this.usedUpstreams.add(target);
        this.route = route.map((one) => one === stage ? replacement : one);
        this.functions.record("stage-moved", {
            request: run,
            step: failure.step,
            peer: stage.upstream,
            to: replacement.upstream,
        });
        return true;
    }

    /** Releases the run at all engines, whether it completed or was aborted. */
    release(): void {
        for (const state of this.usedUpstreams) {
            state.engine?.cancelRun(this.request.run);
            state.recordEnd(this.request.run, this.mayHaveRun);
        }
    }

    private async runStages(route: readonly RouteStage[]): Promise<NextToken> {
        let inputs: readonly number[] = this.tokens.slice(this.position);
        for (const stage of route) {
            const { result } = await this.runStage(stage, inputs);
            if (result.kind === "refused") {
                throw new StageFailure(stage, result.reason);
            }
            const isLastStage = stage.endLayer === this.request.model.layers;
            if (result.kind === "token" && isLastStage) {
                return this.acceptToken(result);
            }
            if (result.kind === "token" || isLastStage || result.outputs.length !== inputs.length) {
                throw new StageFailure(
                    stage,
                    new ExchangeError("rubbish", stage.upstream, `unexpected ${result.kind} result`),
                );
            }
            inputs = result.outputs;
        }
        throw new Error("route ends before the last layer");
    }

    private acceptToken(result: Extract<StepResponse["result"], { kind: "token"; }>): NextToken {
        this.position = this.tokens.length;
        this.tokens.push(result.token);
        this.attempts = 0;
        return { text: result.text, isEnd: result.is_end };
    }

    private async runStage(stage: RouteStage, inputs: readonly number[]): Promise<StepResponse> {
        const state = this.functions.getUpstream(stage.upstream);
        if (state?.engine === undefined) {
            throw new StageFailure(stage, "not-held");
        }
        // The route may predate the engine's backoff notice, so it is checked right before each step.
        if (!state.maySend(this.request.run, performance.now())) {
            throw new StageFailure(stage, "resting");
        }
        const { run, model, priority, signal } = this.request;
        this.usedUpstreams.add(state);
        state.recordStart(run, performance.now());
        try {
            const answer = await state.engine.runStep({
                run,
                epoch: this.epoch,
                position: this.position,
                model: model.name,
                version: model.version,
                first_layer: stage.firstLayer,
                end_layer: stage.endLayer,
                priority,
                inputs: [...inputs],
            }, signal);
            this.mayHaveRun ||= answer.result.kind !== "refused";
            state.circuit.recordSuccess();
            return answer;
        }
        catch (error) {
            throw error instanceof ExchangeError ? new StageFailure(stage, error) : error;
        }
    }

    private async getRoute(): Promise<readonly RouteStage[]> {
        const { model, routeWaitMs } = this.request;
        const deadline = performance.now() + (this.mayHaveRun ? routeWaitMs : 0);
        while (this.route === undefined) {
            this.route = this.functions.chooseRoute(model, this.excluded);
            if (this.route !== undefined) {
                this.recordRoute(this.route);
            }
            else if (performance.now() >= deadline) {
                throw this.createNoRouteError();
            }
            else {
                await this.waitForRoute();
            }
        }
        return this.route;
    }

    private async waitForRoute(): Promise<void> {
        // An engine that failed may have recovered, or be the only one left.
        this.excluded.clear();
        await waitMs(ROUTE_POLL_MS);
        if (this.request.signal.aborted) {
            throw createCallerError("cancelled", { step: "route", peer: "" });
        }
    }

    private recordRoute(route: readonly RouteStage[]): void {
        const { run, model } = this.request;
        if (!isExactTiling(route, model.layers)) {
            throw new Error(`the route of ${run} does not cover the layers of ${model.name} exactly`);
        }
        const stages = route.map((stage) =>
            `${stage.upstream}:${String(stage.firstLayer)}-${String(stage.endLayer - 1)}`
        );
        this.functions.record("route-chosen", { request: run, epoch: this.epoch, route: stages.join(",") });
    }

    private createNoRouteError(): Error {
        if (this.lastFailure?.reason === "full") {
            return createStageError(this.lastFailure, this.mayHaveRun);
        }
        const backoffMs = this.mayHaveRun ? undefined : this.functions.getBackoffMs();
        if (backoffMs !== undefined && Number.isFinite(backoffMs)) {
            return createCallerError("upstreams-resting", {
                step: "route",
                peer: this.lastFailure?.stage.upstream ?? "",
                values: { reason: `the first engine takes requests again in ${String(Math.ceil(backoffMs))} ms` },
                retryAfterMs: backoffMs,
            });
        }
        return createCallerError("no-route", {
            step: "route",
            peer: this.lastFailure?.stage.upstream ?? "",
            values: { model: this.request.model.name, reason: this.lastFailure?.message ?? "none was tried" },
            outcome: this.mayHaveRun ? "unknown" : "not-run",
            retryAfterMs: NO_ROUTE_RETRY_MS,
        });
    }

    /** Prepares the next attempt, or ends the run with an error. */
    private handleFailure(error: unknown): void {
        if (!(error instanceof StageFailure)) {
            throw error;
        }
        this.lastFailure = error;
        const { stage, reason } = error;
        const state = this.functions.getUpstream(stage.upstream);
        if (reason instanceof ExchangeError && state !== undefined) {
            this.functions.recordFailure(state, reason);
        }
        const { isCancelled, isKnownNotRun, isEngineReusable } = error;
        this.mayHaveRun ||= !isKnownNotRun;
        this.attempts += 1;
        const isFinal = isCancelled || this.attempts >= MAX_ATTEMPTS || (this.mayHaveRun && !this.request.isRepeatable);
        if (isFinal) {
            throw createStageError(error, this.mayHaveRun);
        }
        // A step that was withheld reached no engine, so it does not consume a retry.
        if (reason !== "resting" && !this.functions.claimRetry()) {
            throw createCallerError("retries-spent", {
                step: error.step,
                peer: stage.upstream,
                values: { reason: error.message },
                outcome: this.mayHaveRun ? "unknown" : "not-run",
                retryAfterMs: NO_ROUTE_RETRY_MS,
            });
        }
        if (!isEngineReusable) {
            this.excluded.add(stage.upstream);
        }
        this.functions.record("route-lost", {
            request: this.request.run,
            epoch: this.epoch,
            step: error.step,
            peer: stage.upstream,
            reason: error.message,
        });
        this.epoch += 1;
        this.position = 0;
        this.route = undefined;
    }
}

/** Returns false if the cache could not be exported or imported; a new route is chosen in that case. */
async function transferCache(
    run: string,
    stage: RouteStage,
    source: UpstreamState,
    target: UpstreamState,
): Promise<boolean> {
    try {
        const caches = await source.engine?.exportCache(run) ?? [];
        const needed = caches.filter((cache) =>
            cache.first_layer === stage.firstLayer && cache.end_layer === stage.endLayer
        );
        if (needed.length !== 1) {
            return false;
        }
        await target.engine?.importCache(needed);
        return true;
    }
    catch {
        return false;
    }
}
