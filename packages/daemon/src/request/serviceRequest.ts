/**
 * A call to a plain service, at most once where its configuration says so.
 */
import type { LimitNotice, RetryBudget } from "@crankfork/decisions";
import type { KeptAnswer, Service } from "@crankfork/schemas";
import { createHash } from "node:crypto";
import type { IncomingHttpHeaders } from "node:http";
import { ExchangeError } from "../connection/httpClient.js";
import type { ServiceAnswer, ServiceCall } from "../connection/serviceClient.js";
import type { AdmissionController } from "../process/daemon/admissionController.js";
import type { UpstreamState } from "../process/daemon/upstreamState.js";
import { type ConfigurationView, getClassBound } from "../version/configurationInForce.js";
import type { CallerAnswer } from "./callerAnswer.js";
import { createCallerFault } from "./callerFault.js";
import { authenticate, type CallerHeaders, parseCallerHeaders } from "./callerRequest.js";
import { type ClaimFunctions, runClaimed } from "./claimedRun.js";
import type { RequestScope } from "./requestScope.js";
import { createExchangeFault } from "./stageFailure.js";

/** What a call needs from the process around it. */
export interface ServiceRequestFunctions {
    readonly view: ConfigurationView;
    readonly getGate: (service: Service) => AdmissionController;
    readonly chooseUpstream: (names: readonly string[], avoided: ReadonlySet<string>) => UpstreamState | undefined;
    readonly recordFailure: (state: UpstreamState, error: ExchangeError) => void;
    /** The upstream said in an answer that it wants nothing for so long. */
    readonly recordRest: (state: UpstreamState, restMs: number) => void;
    /** Takes what an answer says of the rate that its upstream takes. */
    readonly receiveLimit: (state: UpstreamState, notice: LimitNotice, askedMs: number) => void;
    /** How long the first of some upstreams rests; undefined where none does. */
    readonly computeRestMs: (names: readonly string[]) => number | undefined;
    readonly getBudget: (service: Service) => RetryBudget;
    readonly call: (state: UpstreamState, call: ServiceCall) => Promise<ServiceAnswer>;
    readonly claims: ClaimFunctions;
    readonly claimWaitMs: number;
    readonly timeoutMs: number;
    readonly answerLimit: number;
}

/** A call as it came in. */
export interface IncomingServiceCall {
    readonly serviceName: string;
    readonly method: string;
    readonly path: string;
    readonly headers: IncomingHttpHeaders;
    readonly body: Buffer;
    readonly scope: RequestScope;
    readonly answer: CallerAnswer;
}

interface CheckedCall {
    readonly incoming: IncomingServiceCall;
    readonly service: Service;
    readonly caller: CallerHeaders;
}

const RETRY_MS = 1_000;
const STEP = "service";

/**
 * Handles a call to its end.
 * @param incoming - the call
 * @param functions - configuration, gate, upstreams and claims
 * @throws a caller's error where no whole answer was sent
 */
export async function handleServiceCall(
    incoming: IncomingServiceCall,
    functions: ServiceRequestFunctions,
): Promise<void> {
    const organisation = authenticate(incoming.headers, functions.view);
    const service = functions.view.services.get(incoming.serviceName);
    if (service === undefined) {
        const values = { service: incoming.serviceName };
        throw createCallerFault("unknown-service", { step: "path", peer: "", values });
    }
    const caller = parseCallerHeaders(incoming.headers, organisation, service);
    const checked = { incoming, service, caller };
    incoming.scope.recordAdmission(service.name, organisation.name, caller.priority);
    const { answer, isRepeat } = caller.isRepeatable
        ? { answer: await runCall(checked, functions, incoming.answer.gone.signal), isRepeat: false }
        : await runClaimedCall(checked, functions);
    incoming.answer.sendWhole(answer);
    incoming.scope.recordAnswer(answer.status, { repeat: isRepeat });
}

function runClaimedCall(
    checked: CheckedCall,
    functions: ServiceRequestFunctions,
): Promise<{ answer: KeptAnswer; isRepeat: boolean; }> {
    const { incoming, caller } = checked;
    const { signal } = new AbortController();
    return runClaimed({
        requestId: incoming.scope.requestId,
        organisation: caller.organisation.name,
        key: caller.key ?? "",
        digest: computeDigest(incoming),
        waitMs: functions.claimWaitMs,
        run: () => runCall(checked, functions, signal),
    }, functions.claims);
}

async function runCall(
    checked: CheckedCall,
    functions: ServiceRequestFunctions,
    signal: AbortSignal,
): Promise<KeptAnswer> {
    const { caller, service, incoming } = checked;
    const gate = functions.getGate(service);
    await gate.acquire({
        organisation: caller.organisation.name,
        weight: caller.organisation.weight,
        priority: caller.priority,
        tokens: 1,
        bound: getClassBound(functions.view, caller.priority),
        deadlineMs: caller.deadlineMs - incoming.scope.ageMs,
        signal,
    });
    incoming.scope.recordStart();
    const startedMs = performance.now();
    try {
        functions.getBudget(service).recordRequest();
        return await callUntilAnswered(checked, functions, signal);
    }
    finally {
        gate.release(caller.priority, { firstTokenMs: performance.now() - startedMs });
    }
}

async function callUntilAnswered(
    checked: CheckedCall,
    functions: ServiceRequestFunctions,
    signal: AbortSignal,
): Promise<KeptAnswer> {
    const avoided = new Set<string>();
    let hasRun = false;
    for (;;) {
        const state = functions.chooseUpstream(checked.service.upstreams, avoided);
        if (state === undefined) {
            const restMs = functions.computeRestMs(checked.service.upstreams);
            throw restMs === undefined || hasRun
                ? createNotReachedFault(checked.service, avoided, hasRun)
                : createRestingFault(checked.service, restMs);
        }
        const attempt = await callOnce(checked, functions, state, signal);
        if (attempt.kind === "answered") {
            return attempt.answer;
        }
        hasRun ||= attempt.mayHaveRun;
        avoided.add(state.upstream.name);
        const mayRetry = !signal.aborted && (!hasRun || checked.caller.isRepeatable)
            && functions.getBudget(checked.service).claimRetry();
        if (!mayRetry) {
            const outcome = hasRun ? "unknown" : "not-run";
            throw createExchangeFault(attempt.error, { step: STEP, peer: state.upstream.name, outcome });
        }
    }
}

type Attempt =
    | { readonly kind: "answered"; readonly answer: KeptAnswer; }
    | { readonly kind: "failed"; readonly error: ExchangeError; readonly mayHaveRun: boolean; };

async function callOnce(
    checked: CheckedCall,
    functions: ServiceRequestFunctions,
    state: UpstreamState,
    signal: AbortSignal,
): Promise<Attempt> {
    const { incoming } = checked;
    const { requestId } = incoming.scope;
    let isServed = false;
    const askedMs = performance.now();
    state.recordStart(requestId, askedMs);
    try {
        const result = await functions.call(state, {
            method: incoming.method,
            path: incoming.path,
            contentType: incoming.headers["content-type"],
            body: incoming.body,
            signal,
            timeoutMs: functions.timeoutMs,
            answerLimit: functions.answerLimit,
        });
        state.circuit.recordSuccess();
        functions.receiveLimit(state, result.limit, askedMs);
        if (result.restMs !== undefined) {
            functions.recordRest(state, result.restMs);
        }
        if (result.kind === "answered") {
            isServed = result.restMs === undefined;
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

function createRestingFault(service: Service, restMs: number): Error {
    return createCallerFault("upstreams-resting", {
        step: STEP,
        peer: service.upstreams.join(","),
        values: { reason: `the first of ${service.name} takes calls again in ${String(Math.ceil(restMs))} ms` },
        outcome: "not-run",
        ...(Number.isFinite(restMs) ? { retryAfterMs: restMs } : {}),
    });
}

function createNotReachedFault(service: Service, avoided: ReadonlySet<string>, hasRun: boolean): Error {
    return createCallerFault("upstream-not-reached", {
        step: STEP,
        peer: [...avoided].join(","),
        values: { reason: `no upstream of ${service.name} can be used now` },
        outcome: hasRun ? "unknown" : "not-run",
        retryAfterMs: RETRY_MS,
    });
}

function computeDigest(incoming: IncomingServiceCall): string {
    const head = `${incoming.method} ${incoming.serviceName} ${incoming.path}\n`;
    return createHash("sha256").update(head).update(incoming.body).digest("hex");
}
