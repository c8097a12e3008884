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
export interface CallerFaultOptions {
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

interface FaultInfo extends CallerFaultOptions {
    readonly id: CallerErrorId;
    readonly outcome: Outcome;
}

const FAULT_NAME = "CallerFault";

/**
 * Creates an error for a caller; the only place where one is made.
 * @param id - its row in the table of errors
 * @param options - step, peer, values, and what is known of the work
 * @returns the error, to be thrown
 */
export function createCallerFault(id: CallerErrorId, options: CallerFaultOptions): VError {
    const info: FaultInfo = { ...options, id, outcome: options.outcome ?? callerErrors[id].outcome };
    const vErrorOptions: VError.Options = { name: FAULT_NAME, info };
    if (options.cause !== undefined) {
        vErrorOptions.cause = options.cause;
    }
    return new VError(vErrorOptions, "%s", formatCallerError(id, options.values ?? {}));
}

/** An error as the caller sees it. */
export interface FaultAnswer {
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
export function createFaultAnswer(error: unknown, requestId: string): FaultAnswer {
    const fault = getFault(error);
    const info = VError.info(fault) as FaultInfo;
    const { status } = callerErrors[info.id];
    const headers: Record<string, string> = {};
    if (info.retryAfterMs !== undefined) {
        headers["retry-after"] = String(Math.ceil(info.retryAfterMs / 1_000));
        headers["retry-after-ms"] = String(Math.ceil(info.retryAfterMs));
    }
    return { status, headers, body: { error: createErrorFields(fault.message, info, requestId, status) } };
}

/**
 * Gets the id of an error.
 * @param error - anything that was thrown
 * @returns the id, `internal` where the error is none for callers
 */
export function getFaultId(error: unknown): CallerErrorId {
    return (VError.info(getFault(error)) as FaultInfo).id;
}

/**
 * Gets what is known of the work behind an error.
 * @param error - anything that was thrown
 * @returns the outcome
 */
export function getFaultOutcome(error: unknown): Outcome {
    return (VError.info(getFault(error)) as FaultInfo).outcome;
}

function getFault(error: unknown): VError {
    if (error instanceof VError && error.name === FAULT_NAME) {
        return error;
    }
    const cause = error instanceof Error ? error : new Error(String(error));
    return createCallerFault("internal", { step: "serve", peer: "", values: { reason: cause.message }, cause });
}

function createErrorFields(
    text: string,
    info: FaultInfo,
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
