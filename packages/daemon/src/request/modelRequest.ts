/**
 * Handles a completion request, from parsing its body to its last token.
 */
import type { BufferedResponse, Model } from "@crankfork/schemas";
import { createHash } from "node:crypto";
import type { IncomingHttpHeaders } from "node:http";
import { tokenizePrompt } from "../connection/engineClient.js";
import type { AdmissionController } from "../process/daemon/admissionController.js";
import { type ConfigurationView, getLatencyBound } from "../version/activeConfiguration.js";
import { createCallerError } from "./callerError.js";
import { authenticate, type CallerHeaders, parseCallerHeaders } from "./callerRequest.js";
import type { CallerResponse } from "./callerResponse.js";
import { type ClaimFunctions, runAtMostOnce } from "./claimedRun.js";
import {
    type CompletionFormat,
    type CompletionRequest,
    type CompletionShape,
    createCompletionFormat,
    parseCompletionBody,
} from "./completionBody.js";
import { generateTokens, type PipelineFunctions, type PipelineRequest } from "./pipelineRun.js";
import type { RequestScope } from "./requestScope.js";

/** Dependencies of a completion. */
export interface ModelRequestFunctions {
    readonly view: ConfigurationView;
    readonly getGate: (model: Model) => AdmissionController;
    readonly getPipeline: (model: Model) => PipelineFunctions;
    readonly claims: ClaimFunctions;
    /** How long a duplicate waits for the original, in milliseconds. */
    readonly claimWaitMs: number;
}

/** An unparsed completion request. */
export interface IncomingCompletion {
    readonly shape: CompletionShape;
    readonly headers: IncomingHttpHeaders;
    readonly body: Buffer;
    readonly scope: RequestScope;
    readonly response: CallerResponse;
}

interface ValidatedCompletion {
    readonly incoming: IncomingCompletion;
    readonly request: CompletionRequest;
    readonly model: Model;
    readonly caller: CallerHeaders;
    readonly format: CompletionFormat;
    readonly promptTokens: readonly number[];
    readonly maxTokens: number;
}

const DEFAULT_MAX_TOKENS = 64;

/**
 * Handles a completion request.
 * @param incoming - the request
 * @param functions - configuration, admission gate, pipeline and claims
 * @throws a caller error if no complete response was sent
 */
export async function handleCompletion(incoming: IncomingCompletion, functions: ModelRequestFunctions): Promise<void> {
    const validated = validateCompletion(incoming, functions.view);
    const { caller, model } = validated;
    incoming.scope.recordAdmission(model.name, caller.organisation.name, caller.priority);
    if (caller.isRepeatable) {
        const answer = await runCompletion(validated, functions, incoming.response.disconnect.signal);
        sendAnswer(validated, answer);
        incoming.scope.recordAnswer(answer.status);
        return;
    }
    await handleClaimedCompletion(validated, functions);
}

function validateCompletion(incoming: IncomingCompletion, view: ConfigurationView): ValidatedCompletion {
    const organisation = authenticate(incoming.headers, view);
    const request = parseCompletionBody(incoming.shape, incoming.body);
    const model = view.models.get(request.model);
    if (model === undefined) {
        throw createCallerError("unknown-model", { step: "body", peer: "", values: { model: request.model } });
    }
    const maxTokens = request.maxTokens ?? Math.min(DEFAULT_MAX_TOKENS, model.max_tokens);
    if (maxTokens > model.max_tokens) {
        const reason = `found ${String(maxTokens)}; ${model.name} gives ${String(model.max_tokens)} at the most`;
        throw createCallerError("bad-request", { step: "body", peer: "", values: { field: "max_tokens", reason } });
    }
    return {
        incoming,
        request,
        model,
        caller: parseCallerHeaders(incoming.headers, organisation, model),
        format: createCompletionFormat(request, incoming.scope.requestId, Date.now()),
        promptTokens: tokenizePrompt(request.prompt),
        maxTokens,
    };
}

async function handleClaimedCompletion(
    validated: ValidatedCompletion,
    functions: ModelRequestFunctions,
): Promise<void> {
    const { incoming, caller } = validated;
    // A request that may run only once is completed even if the caller disconnects, because its answer is stored.
    const { signal } = new AbortController();
    const { answer, isRepeat } = await runAtMostOnce({
        requestId: incoming.scope.requestId,
        organisation: caller.organisation.name,
        key: caller.key ?? "",
        digest: computeDigest(incoming),
        waitMs: functions.claimWaitMs,
        run: () => runCompletion(validated, functions, signal),
    }, functions.claims);
    if (isRepeat) {
        incoming.response.sendBuffered(answer);
    }
    else {
        sendAnswer(validated, answer);
    }
    incoming.scope.recordAnswer(answer.status, { repeat: isRepeat });
}

/** Completes the response; the chunks of a stream have already been written. */
function sendAnswer(validated: ValidatedCompletion, answer: BufferedResponse): void {
    if (validated.request.isStream) {
        validated.incoming.response.end();
    }
    else {
        validated.incoming.response.sendBuffered(answer);
    }
}

async function runCompletion(
    validated: ValidatedCompletion,
    functions: ModelRequestFunctions,
    signal: AbortSignal,
): Promise<BufferedResponse> {
    const { caller, model, promptTokens, maxTokens, incoming } = validated;
    const gate = functions.getGate(model);
    const bound = getLatencyBound(functions.view, caller.priority);
    await gate.acquire({
        organisation: caller.organisation.name,
        weight: caller.organisation.weight,
        priority: caller.priority,
        tokens: promptTokens.length + maxTokens,
        bound,
        deadlineMs: caller.deadlineMs - incoming.scope.ageMs,
        signal,
    });
    incoming.scope.recordStart();
    const usage = new UsageCounter();
    try {
        return await generateAnswer(validated, functions.getPipeline(model), bound.first_token_ms, signal, usage);
    }
    finally {
        gate.release(caller.priority, { firstTokenMs: usage.firstTokenMs });
    }
}

async function generateAnswer(
    validated: ValidatedCompletion,
    pipeline: PipelineFunctions,
    routeWaitMs: number,
    signal: AbortSignal,
    usage: UsageCounter,
): Promise<BufferedResponse> {
    const { format, request, incoming, promptTokens } = validated;
    const chunks: string[] = [];
    let text = "";
    let finishReason = "length";
    for await (const token of generateTokens(createPipelineRequest(validated, routeWaitMs, signal), pipeline)) {
        if (usage.recordToken()) {
            incoming.scope.recordFirstToken();
        }
        text += token.text;
        finishReason = token.finishReason ?? finishReason;
        if (request.isStream) {
            await writeChunk(validated, chunks, format.formatChunk(token.text, token.finishReason));
        }
    }
    if (request.isStream) {
        await writeChunk(validated, chunks, format.formatEnd());
        return { status: 200, content_type: "text/event-stream", encoding: "utf8", body: chunks.join("") };
    }
    const counts = { promptTokens: promptTokens.length, completionTokens: usage.tokens };
    return {
        status: 200,
        content_type: "application/json",
        encoding: "utf8",
        body: format.formatCompletion(text, finishReason, counts),
    };
}

async function writeChunk(validated: ValidatedCompletion, chunks: string[], chunk: string): Promise<void> {
    const { caller, incoming } = validated;
    if (caller.isRepeatable) {
        await incoming.response.writeChunk(chunk);
        return;
    }
    chunks.push(chunk);
    if (!incoming.response.disconnect.signal.aborted) {
        await incoming.response.writeChunk(chunk).catch(() => undefined);
    }
}

function createPipelineRequest(
    validated: ValidatedCompletion,
    routeWaitMs: number,
    signal: AbortSignal,
): PipelineRequest {
    const { incoming, model, promptTokens, maxTokens, caller } = validated;
    return {
        run: incoming.scope.requestId,
        model,
        promptTokens,
        maxTokens,
        priority: caller.priority,
        isRepeatable: caller.isRepeatable,
        routeWaitMs,
        signal,
    };
}

function computeDigest(incoming: IncomingCompletion): string {
    return createHash("sha256").update(incoming.shape).update("\n").update(incoming.body).digest("hex");
}

/** Measures the tokens and the time to first token of a request, for the admission gate. */
class UsageCounter {
    private readonly startedMs = performance.now();
    tokens = 0;
    firstTokenMs: number | undefined;

    /** Counts a token; returns true for the first one. */
    recordToken(): boolean {
        this.tokens += 1;
        const isFirst = this.firstTokenMs === undefined;
        this.firstTokenMs ??= performance.now() - this.startedMs;
        return isFirst;
    }
}
