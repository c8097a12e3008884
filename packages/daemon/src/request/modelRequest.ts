/**
 * A completion: from its body to its last token.
 */
import type { KeptAnswer, Model } from "@crankfork/schemas";
import { createHash } from "node:crypto";
import type { IncomingHttpHeaders } from "node:http";
import { createPromptTokens } from "../connection/engineClient.js";
import type { AdmissionController } from "../process/daemon/admissionController.js";
import { type ConfigurationView, getClassBound } from "../version/configurationInForce.js";
import type { CallerAnswer } from "./callerAnswer.js";
import { createCallerFault } from "./callerFault.js";
import { authenticate, type CallerHeaders, parseCallerHeaders } from "./callerRequest.js";
import { type ClaimFunctions, runClaimed } from "./claimedRun.js";
import {
    type CompletionFormat,
    type CompletionRequest,
    type CompletionShape,
    createCompletionFormat,
    parseCompletionBody,
} from "./completionBody.js";
import { generateTokens, type PipelineFunctions, type PipelineRequest } from "./pipelineRun.js";
import type { RequestScope } from "./requestScope.js";

/** What a completion needs from the process around it. */
export interface ModelRequestFunctions {
    readonly view: ConfigurationView;
    readonly getGate: (model: Model) => AdmissionController;
    readonly getPipeline: (model: Model) => PipelineFunctions;
    readonly claims: ClaimFunctions;
    /** How long a repeat waits for the first request, in milliseconds. */
    readonly claimWaitMs: number;
}

/** A completion as it came in. */
export interface IncomingCompletion {
    readonly shape: CompletionShape;
    readonly headers: IncomingHttpHeaders;
    readonly body: Buffer;
    readonly scope: RequestScope;
    readonly answer: CallerAnswer;
}

interface CheckedCompletion {
    readonly incoming: IncomingCompletion;
    readonly request: CompletionRequest;
    readonly model: Model;
    readonly caller: CallerHeaders;
    readonly format: CompletionFormat;
    readonly promptTokens: readonly number[];
    readonly maxTokens: number;
}

const DEFAULT_TOKENS = 64;

/**
 * Handles a completion to its end.
 * @param incoming - the request
 * @param functions - configuration, gate, pipeline and claims
 * @throws a caller's error where no whole answer was sent
 */
export async function handleCompletion(incoming: IncomingCompletion, functions: ModelRequestFunctions): Promise<void> {
    const checked = checkCompletion(incoming, functions.view);
    const { caller, model } = checked;
    incoming.scope.recordAdmission(model.name, caller.organisation.name, caller.priority);
    if (caller.isRepeatable) {
        const answer = await runCompletion(checked, functions, incoming.answer.gone.signal);
        sendAnswer(checked, answer);
        incoming.scope.recordAnswer(answer.status);
        return;
    }
    await handleClaimedCompletion(checked, functions);
}

function checkCompletion(incoming: IncomingCompletion, view: ConfigurationView): CheckedCompletion {
    const organisation = authenticate(incoming.headers, view);
    const request = parseCompletionBody(incoming.shape, incoming.body);
    const model = view.models.get(request.model);
    if (model === undefined) {
        throw createCallerFault("unknown-model", { step: "body", peer: "", values: { model: request.model } });
    }
    const maxTokens = request.maxTokens ?? Math.min(DEFAULT_TOKENS, model.max_tokens);
    if (maxTokens > model.max_tokens) {
        const reason = `found ${String(maxTokens)}; ${model.name} gives ${String(model.max_tokens)} at the most`;
        throw createCallerFault("bad-request", { step: "body", peer: "", values: { field: "max_tokens", reason } });
    }
    return {
        incoming,
        request,
        model,
        caller: parseCallerHeaders(incoming.headers, organisation, model),
        format: createCompletionFormat(request, incoming.scope.requestId, Date.now()),
        promptTokens: createPromptTokens(request.prompt),
        maxTokens,
    };
}

async function handleClaimedCompletion(checked: CheckedCompletion, functions: ModelRequestFunctions): Promise<void> {
    const { incoming, caller } = checked;
    // A request that may run once is run to its end even where the caller is gone: its answer is kept.
    const { signal } = new AbortController();
    const { answer, isRepeat } = await runClaimed({
        requestId: incoming.scope.requestId,
        organisation: caller.organisation.name,
        key: caller.key ?? "",
        digest: computeDigest(incoming),
        waitMs: functions.claimWaitMs,
        run: () => runCompletion(checked, functions, signal),
    }, functions.claims);
    if (isRepeat) {
        incoming.answer.sendWhole(answer);
    }
    else {
        sendAnswer(checked, answer);
    }
    incoming.scope.recordAnswer(answer.status, { repeat: isRepeat });
}

/** Ends the answer; a stream has been written on the way. */
function sendAnswer(checked: CheckedCompletion, answer: KeptAnswer): void {
    if (checked.request.isStream) {
        checked.incoming.answer.end();
    }
    else {
        checked.incoming.answer.sendWhole(answer);
    }
}

async function runCompletion(
    checked: CheckedCompletion,
    functions: ModelRequestFunctions,
    signal: AbortSignal,
): Promise<KeptAnswer> {
    const { caller, model, promptTokens, maxTokens, incoming } = checked;
    const gate = functions.getGate(model);
    const bound = getClassBound(functions.view, caller.priority);
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
        return await generateAnswer(checked, functions.getPipeline(model), bound.first_token_ms, signal, usage);
    }
    finally {
        gate.release(caller.priority, { firstTokenMs: usage.firstTokenMs });
    }
}

async function generateAnswer(
    checked: CheckedCompletion,
    pipeline: PipelineFunctions,
    routeWaitMs: number,
    signal: AbortSignal,
    usage: UsageCounter,
): Promise<KeptAnswer> {
    const { format, request, incoming, promptTokens } = checked;
    const parts: string[] = [];
    let text = "";
    let finishReason = "length";
    for await (const token of generateTokens(createPipelineRequest(checked, routeWaitMs, signal), pipeline)) {
        if (usage.recordToken()) {
            incoming.scope.recordFirstToken();
        }
        text += token.text;
        finishReason = token.finishReason ?? finishReason;
        if (request.isStream) {
            await writePart(checked, parts, format.formatChunk(token.text, token.finishReason));
        }
    }
    if (request.isStream) {
        await writePart(checked, parts, format.formatEnd());
        return { status: 200, content_type: "text/event-stream", encoding: "utf8", body: parts.join("") };
    }
    const counts = { promptTokens: promptTokens.length, completionTokens: usage.tokens };
    return {
        status: 200,
        content_type: "application/json",
        encoding: "utf8",
        body: format.formatWhole(text, finishReason, counts),
    };
}

async function writePart(checked: CheckedCompletion, parts: string[], part: string): Promise<void> {
    const { caller, incoming } = checked;
    if (caller.isRepeatable) {
        await incoming.answer.writePart(part);
        return;
    }
    parts.push(part);
    if (!incoming.answer.gone.signal.aborted) {
        await incoming.answer.writePart(part).catch(() => undefined);
    }
}

function createPipelineRequest(checked: CheckedCompletion, routeWaitMs: number, signal: AbortSignal): PipelineRequest {
    const { incoming, model, promptTokens, maxTokens, caller } = checked;
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

/** Counts what a request took, for the gate's measurements. */
class UsageCounter {
    private readonly startedMs = performance.now();
    tokens = 0;
    firstTokenMs: number | undefined;

    /** Counts a token; returns true for the first. */
    recordToken(): boolean {
        this.tokens += 1;
        const isFirst = this.firstTokenMs === undefined;
        this.firstTokenMs ??= performance.now() - this.startedMs;
        return isFirst;
    }
}
