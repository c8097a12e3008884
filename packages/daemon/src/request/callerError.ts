/**
 * Errors reported to callers, with the step and the peer at which they arose.
 */
import {
    type CallerErrorBody,
    type CallerErrorId,
    callerErrors,
    formatCallerError,
    type Outcome,
} from "@crankfork/schemas";
import VError from "verror";

/** Options of a caller error. */
export interface CallerErrorOptions {
    /** Processing step at which it arose. */
    readonly step: string;
    /** The upstream or instance at which it arose. */
    readonly peer: string;
    /** Values for the placeholders of the message. */
    readonly values?: Readonly<Record<string, string | number>>;
    /** Whether the request may have run, if it differs from the table of errors. */
    readonly outcome?: Outcome;
    /** Value of Retry-After, in milliseconds. */
    readonly retryAfterMs?: number;
    readonly cause?: Error;
}

interface CallerErrorInfo extends CallerErrorOptions {
    readonly id: CallerErrorId;
    readonly outcome: Outcome;
}

const ERROR_NAME = "CallerFault";

/**
 * Creates a caller error. All caller errors are created here.
 * @param id - id in the table of errors
 * @param options - step, peer, values and outcome
 * @returns the error
 */
export function createCallerError(id: CallerErrorId, options: CallerErrorOptions): VError {
    const info: CallerErrorInfo = { ...options, id, outcome: options.outcome ?? callerErrors[id].outcome };
    const vErrorOptions: VError.Options = { name: ERROR_NAME, info };
    if (options.cause !== undefined) {
        vErrorOptions.cause = options.cause;
    }
    return new VError(vErrorOptions, "%s", formatCallerError(id, options.values ?? {}));
}

/** An HTTP response for an error. */
export interface ErrorResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: CallerErrorBody;
}

/**
 * Creates the response to a request that ended in an error.
 * @param error - any thrown value
 * @param requestId - id of the request
 * @returns status, headers and body; an internal error if the value is not a caller error
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
 * @param error - any thrown value
 * @returns the id; `internal` if the value is not a caller error
 */
export function getErrorId(error: unknown): CallerErrorId {
    return (VError.info(toCallerError(error)) as CallerErrorInfo).id;
}

/**
 * Tells whether the request behind an error may have run.
 * @param error - any thrown value
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
    // VError appends the cause's message after a colon; callers get our message only.
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
