/**
 * Errors that end a request, with the step and the peer at which they arose.
 */
import {
    type CallerErrorBody,
    type CallerErrorId,
    callerErrors,
    formatCallerError,
    type Outcome,
} from "@crankfork/schemas";
import VError from "verror";

/** What an error is made from. */
export interface CallerErrorOptions {
    /** Where in the request's way it arose. */
    readonly step: string;
    /** The upstream or instance at which it arose. */
    readonly peer: string;
    /** Values for the gaps of its text. */
    readonly values?: Readonly<Record<string, string | number>>;
    /** What is known of the work, where it differs from the table. */
    readonly outcome?: Outcome;
    /** When to come back, in milliseconds. */
    readonly retryAfterMs?: number;
    readonly cause?: Error;
}

interface CallerErrorInfo extends CallerErrorOptions {
    readonly id: CallerErrorId;
    readonly outcome: Outcome;
}

const ERROR_NAME = "CallerFault";

/**
 * Creates an error for a caller; the only place where one is made.
 * @param id - its row in the table of errors
 * @param options - step, peer, values, and what is known of the work
 * @returns the error, to be thrown
 */
export function createCallerError(id: CallerErrorId, options: CallerErrorOptions): VError {
    const info: CallerErrorInfo = { ...options, id, outcome: options.outcome ?? callerErrors[id].outcome };
    const vErrorOptions: VError.Options = { name: ERROR_NAME, info };
    if (options.cause !== undefined) {
        vErrorOptions.cause = options.cause;
    }
    return new VError(vErrorOptions, "%s", formatCallerError(id, options.values ?? {}));
}

/** An error as the caller sees it. */
export interface ErrorResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: CallerErrorBody;
}

/**
 * Creates the answer to a request that ended in an error.
 * @param error - anything that was thrown
 * @param requestId - the request
 * @returns status, headers and body; a fault of ours where the error is none for callers
 */
export function createErrorResponse(error: unknown, requestId: string): ErrorResponse {
    const callerError = toCallerError(error);
    const info = VError.info(callerError) as CallerErrorInfo;
    const { status } = callerErrors[info.id];
    const headers: Record<string, string> = {};
    if (info.retryAfterMs !== undefined) {
        headers["retry-after"] = String(Math.ceil(info.retryAfterMs / 1_000));
        headers["retry-after-ms"] = String(Math.ceil(info.retryAfterMs));
    }
    return { status, headers, body: { error: createErrorFields(callerError.message, info, requestId, status) } };
}

/**
 * Gets the id of an error.
 * @param error - anything that was thrown
 * @returns the id, `internal` where the error is none for callers
 */
export function getErrorId(error: unknown): CallerErrorId {
    return (VError.info(toCallerError(error)) as CallerErrorInfo).id;
}

/**
 * Gets what is known of the work behind an error.
 * @param error - anything that was thrown
 * @returns the outcome
 */
export function getErrorOutcome(error: unknown): Outcome {
    return (VError.info(toCallerError(error)) as CallerErrorInfo).outcome;
}

function toCallerError(error: unknown): VError {
    if (error instanceof VError && error.name === ERROR_NAME) {
        return error;
    }
    const cause = error instanceof Error ? error : new Error(String(error));
    return createCallerError("internal", { step: "serve", peer: "", values: { reason: cause.message }, cause });
}

function createErrorFields(
    text: string,
    info: CallerErrorInfo,
    requestId: string,
    status: number,
): CallerErrorBody["error"] {
    // VError adds the cause's message behind a colon; callers get our text alone.
    const message = info.cause === undefined ? text : text.replace(`: ${info.cause.message}`, "");
    return {
        id: info.id,
        message: message === "" ? text : message,
        type: status >= 500 ? "server_error" : "invalid_request_error",
        outcome: info.outcome,
        step: info.step,
        peer: info.peer,
        request_id: requestId,
        ...(info.retryAfterMs === undefined ? {} : { retry_after_ms: Math.ceil(info.retryAfterMs) }),
    };
}
