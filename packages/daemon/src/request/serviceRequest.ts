/**
 * Handles a call to a plain service; a call that is not repeatable runs at most once.
 */
import type { LimitNotice, RetryBudget } from "@crankfork/decisions";
import type { BufferedResponse, Service } from "@crankfork/schemas";
import { createHash } from "node:crypto";
import type { IncomingHttpHeaders } from "node:http";
import { ExchangeError } from "../connection/httpClient.js";
import type { ServiceAnswer, ServiceCall } from "../connection/serviceClient.js";
import type { AdmissionController } from "../process/daemon/admissionController.js";
import type { UpstreamState } from "../process/daemon/upstreamState.js";
import { type ConfigurationView, getLatencyBound } from "../version/activeConfiguration.js";
import { createCallerError } from "./callerError.js";
import { authenticate, type CallerHeaders, parseCallerHeaders } from "./callerRequest.js";
import type { CallerResponse } from "./callerResponse.js";
import { type ClaimFunctions, runAtMostOnce } from "./claimedRun.js";
import type { RequestScope } from "./requestScope.js";
import { createCallerExchangeError } from "./stageFailure.js";

/** Dependencies of a service call. */
export interface ServiceRequestFunctions {
    readonly view: ConfigurationView;
    readonly getGate: (service: Service) => AdmissionController;
    readonly chooseUpstream: (names: readonly string[], excluded: ReadonlySet<string>) => UpstreamState | undefined;
    readonly recordFailure: (state: UpstreamState, error: ExchangeError) => void;
    /** Records the backoff that an upstream asked for in a response. */
    readonly recordBackoff: (state: UpstreamState, retryAfterMs: number) => void;
    /** Receives the rate limit stated in a response; `requestedAtMs` is the time of the request. */
    readonly handleLimitNotice: (state: UpstreamState, notice: LimitNotice, requestedAtMs: number) => void;
    /** Time until the first of some upstreams in backoff accepts calls; undefined if none is in backoff. */
    readonly getBackoffMs: (names: readonly string[]) => number | undefined;
    readonly getBudget: (service: Service) => RetryBudget;
    readonly call: (state: UpstreamState, call: ServiceCall) => Promise<ServiceAnswer>;
    readonly claims: ClaimFunctions;
    readonly claimWaitMs: number;
    readonly timeoutMs: number;
    readonly maxAnswerBytes: number;
}

/** An unparsed service call. */
export interface IncomingServiceCall {
    readonly serviceName: string;
    readonly method: string;
    readonly path: string;
    readonly headers: IncomingHttpHeaders;
    readonly body: Buffer;
    readonly scope: RequestScope;
    readonly response: CallerResponse;
}

interface ValidatedCall {
    readonly incoming: IncomingServiceCall;
    readonly service: Service;
    readonly caller: CallerHeaders;
}

const RETRY_AFTER_MS = 1_000;
const STEP = "service";

/**
 * Handles a service call.
 * @param incoming - the call
 * @param functions - configuration, admission gate, upstreams and claims
 * @throws a caller error if no complete response was sent
 */
export async function handleServiceCall(
    incoming: IncomingServiceCall,
    functions: ServiceRequestFunctions,
): Promise<void> {
    const organisation = authenticate(incoming.headers, functions.view);
    const service = functions.view.services.get(incoming.serviceName);
    if (service === undefined) {
        const values = { service: incoming.serviceName };
        throw createCallerError("unknown-service", { step: "path", peer: "", values });
    }
    const caller = parseCallerHeaders(incoming.headers, organisation, service);
    const validated = { incoming, service, caller };
    incoming.scope.recordAdmission(service.name, organisation.name, caller.priority);
    const { answer, isRepeat } = caller.isRepeatable
        ? { answer: await runCall(validated, functions, incoming.response.disconnect.signal), isRepeat: false }
        : await runClaimedCall(validated, functions);
    incoming.response.sendBuffered(answer);
    incoming.scope.recordAnswer(answer.status, { repeat: isRepeat });
}

function runClaimedCall(
    validated: ValidatedCall,
    functions: ServiceRequestFunctions,
): Promise<{ answer: BufferedResponse; isRepeat: boolean; }> {
    const { incoming, caller } = validated;
    const { signal } = new AbortController();
    return runAtMostOnce({
        requestId: incoming.scope.requestId,
        organisation: caller.organisation.name,
        key: caller.key ?? "",
        digest: computeDigest(incoming),
        waitMs: functions.claimWaitMs,
        run: () => runCall(validated, functions, signal),
    }, functions.claims);
}

async function runCall(
    validated: ValidatedCall,
    functions: ServiceRequestFunctions,
    signal: AbortSignal,
): Promise<BufferedResponse> {
    const { caller, service, incoming } = validated;
    const gate = functions.getGate(service);
    await gate.acquire({
        organisation: caller.organisation.name,
        weight: caller.organisation.weight,
        priority: caller.priority,
        tokens: 1,
        bound: getLatencyBound(functions.view, caller.priority),
        deadlineMs: caller.deadlineMs - incoming.scope.ageMs,
        signal,
    });
    incoming.scope.recordStart();
    const startedMs = performance.now();
    try {
        functions.getBudget(service).recordRequest();
        return await callWithRetries(validated, functions, signal);
    }
    finally {
        gate.release(caller.priority, { firstTokenMs: performance.now() - startedMs });
    }
}

async function callWithRetries(
    validated: ValidatedCall,
    functions: ServiceRequestFunctions,
    signal: AbortSignal,
): Promise<BufferedResponse> {
    const excluded = new Set<string>();
    let mayHaveRun = false;
    for (;;) {
        const state = functions.chooseUpstream(validated.service.upstreams, excluded);
        if (state === undefined) {
            const backoffMs = functions.getBackoffMs(validated.service.upstreams);
            throw backoffMs === undefined || mayHaveRun
                ? createNotReachedError(validated.service, excluded, mayHaveRun)
                : createBackoffError(validated.service, backoffMs);
        }
        const attempt = await callOnce(validated, functions, state, signal);
        if (attempt.kind === "answered") {
            return attempt.answer;
        }
        mayHaveRun ||= attempt.mayHaveRun;
        excluded.add(state.upstream.name);
        const mayRetry = !signal.aborted && (!mayHaveRun || validated.caller.isRepeatable)
            && functions.getBudget(validated.service).claimRetry();
        if (!mayRetry) {
            const outcome = mayHaveRun ? "unknown" : "not-run";
            throw createCallerExchangeError(attempt.error, { step: STEP, peer: state.upstream.name, outcome });
        }
    }
}

type Attempt =
    | { readonly kind: "answered"; readonly answer: BufferedResponse; }
    | { readonly kind: "failed"; readonly error: ExchangeError; readonly mayHaveRun: boolean; };

async function callOnce(
    validated: ValidatedCall,
    functions: ServiceRequestFunctions,
    state: UpstreamState,
    signal: AbortSignal,
): Promise<Attempt> {
    const { incoming } = validated;
    const { requestId } = incoming.scope;
    let isServed = false;
    const requestedAtMs = performance.now();
    state.recordStart(requestId, requestedAtMs);
    try {
        const result = await functions.call(state, {
            method: incoming.method,
            path: incoming.path,
            contentType: incoming.headers["content-type"],
            body: incoming.body,
            signal,
            timeoutMs: functions.timeoutMs,
            maxAnswerBytes: functions.maxAnswerBytes,
        });
        state.circuit.recordSuccess();
        functions.handleLimitNotice(state, result.limit, requestedAtMs);
        if (result.retryAfterMs !== undefined) {
            functions.recordBackoff(state, result.retryAfterMs);
        }
        if (result.kind === "answered") {
            isServed = result.retryAfterMs === undefined;
            return result;
        }
        const error = new ExchangeError("not-reached", state.upstream.name, result.reason);
        return { kind: "failed", error, mayHaveRun: false };
    }
    catch (error) {
        if (!(error instanceof ExchangeError)) {
            throw error;
        }
        functions.recordFailure(state, error);
        return { kind: "failed", error, mayHaveRun: error.failure !== "not-reached" };
    }
    finally {
        state.recordEnd(requestId, isServed);
    }
}

function createBackoffError(service: Service, backoffMs: number): Error {
    return createCallerError("upstreams-resting", {
        step: STEP,
        peer: service.upstreams.join(","),
        values: { reason: `the first of ${service.name} takes calls again in ${String(Math.ceil(backoffMs))} ms` },
        outcome: "not-run",
        ...(Number.isFinite(backoffMs) ? { retryAfterMs: backoffMs } : {}),
    });
}

function createNotReachedError(service: Service, excluded: ReadonlySet<string>, mayHaveRun: boolean): Error {
    return createCallerError("upstream-not-reached", {
        step: STEP,
        peer: [...excluded].join(","),
        values: { reason: `no upstream of ${service.name} can be used now` },
        outcome: mayHaveRun ? "unknown" : "not-run",
        retryAfterMs: RETRY_AFTER_MS,
    });
}

function computeDigest(incoming: IncomingServiceCall): string {
    const head = `${incoming.method} ${incoming.serviceName} ${incoming.path}\n`;
    return createHash("sha256").update(head).update(incoming.body).digest("hex");
}
