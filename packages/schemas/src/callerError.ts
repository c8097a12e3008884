/**
 * Errors returned to callers, each with its HTTP status and message.
 */
import type { Outcome } from "./outcome.js";

interface CallerErrorDefinition {
    /** HTTP status code. */
    readonly status: number;
    /** Message template; `{name}` is replaced by the value of that name. */
    readonly text: string;
    /** Default execution outcome; an error may override it. */
    readonly outcome: Outcome;
}

/** All errors by id. */
export const callerErrors = {
    "body-too-large": { status: 413, text: "the body is larger than {limit} bytes", outcome: "not-run" },
    "broken-json": { status: 400, text: "the body is not valid JSON: {reason}", outcome: "not-run" },
    "bad-request": { status: 400, text: "{field}: {reason}", outcome: "not-run" },
    "unknown-path": { status: 404, text: "nothing is served at {path}", outcome: "not-run" },
    "unknown-model": { status: 404, text: "no model {model} is in force; see GET /v1/models", outcome: "not-run" },
    "unknown-service": { status: 404, text: "no service {service} is in force", outcome: "not-run" },
    "missing-organisation": {
        status: 401,
        text: "the header openai-organization or x-organisation is missing",
        outcome: "not-run",
    },
    "unknown-organisation": { status: 401, text: "no organisation {organisation} is in force", outcome: "not-run" },
    "wrong-secret": { status: 401, text: "the secret is not that of {organisation}", outcome: "not-run" },
    "contradicting-header": { status: 400, text: "{header} says {found}, but {expected}", outcome: "not-run" },
    "missing-key": {
        status: 400,
        text: "{name} may not run twice, so the header idempotency-key is needed",
        outcome: "not-run",
    },
    "key-reused": { status: 422, text: "the idempotency key {key} stands for another request", outcome: "not-run" },
    "already-running": {
        status: 409,
        text: "the request with key {key} is still running at {owner}",
        outcome: "unknown",
    },
    "owner-lost": {
        status: 409,
        text: "the instance {owner} that ran the request with key {key} is lost; it is not run again",
        outcome: "unknown",
    },
    "no-quorum": { status: 503, text: "the voters can't agree now, so no claim was made", outcome: "not-run" },
    "claim-unknown": {
        status: 503,
        text: "the voters did not answer in time; the claim is not used",
        outcome: "not-run",
    },
    "cancelled": { status: 499, text: "the caller went away", outcome: "unknown" },
    "not-ready": { status: 503, text: "this instance is {state}", outcome: "not-run" },
    "overloaded": {
        status: 429,
        text: "the first token would come after {expected_ms} ms, and the bound is {bound_ms} ms",
        outcome: "not-run",
    },
    "queue-full": { status: 429, text: "{limit} requests are waiting already", outcome: "not-run" },
    "deadline-passed": { status: 504, text: "the deadline passed while the request was waiting", outcome: "not-run" },
    "no-route": {
        status: 503,
        text: "no upstreams hold all layers of {model} now; last failure: {reason}",
        outcome: "not-run",
    },
    "upstream-lost": { status: 502, text: "the upstream was lost: {reason}", outcome: "unknown" },
    "upstream-not-reached": { status: 503, text: "the upstream could not be reached: {reason}", outcome: "not-run" },
    "upstreams-resting": {
        status: 503,
        text: "the upstreams have asked for rest, or get as much as they take: {reason}",
        outcome: "not-run",
    },
    "upstream-rubbish": { status: 502, text: "the upstream's answer makes no sense: {reason}", outcome: "unknown" },
    "upstream-silent": { status: 504, text: "the upstream did not answer in time: {reason}", outcome: "unknown" },
    "retries-spent": { status: 503, text: "the budget for retries is spent: {reason}", outcome: "unknown" },
    "internal": { status: 500, text: "a fault of crankfork: {reason}", outcome: "unknown" },
} as const satisfies Readonly<Record<string, CallerErrorDefinition>>;

/** Id of an error in `callerErrors`. */
export type CallerErrorId = keyof typeof callerErrors;

/** Body of every error response. */
export interface CallerErrorBody {
    readonly error: {
        readonly id: CallerErrorId;
        readonly message: string;
        /** Error type as defined by the OpenAI API, for standard client libraries. */
        readonly type: string;
        readonly outcome: Outcome;
        /** Stage of request processing at which the error occurred. */
        readonly step: string;
        /** Upstream or instance at which the error occurred. */
        readonly peer: string;
        readonly request_id: string;
        /** Present if a retry may succeed. */
        readonly retry_after_ms?: number;
    };
}

/**
 * Formats the message of an error.
 * @param id - error id
 * @param values - values of the placeholders
 * @returns message; a placeholder without a value is left as is
 */
export function formatCallerError(id: CallerErrorId, values: Readonly<Record<string, string | number>>): string {
    return callerErrors[id].text.replace(/\{(\w+)\}/g, (match, name: string) => String(values[name] ?? match));
}
