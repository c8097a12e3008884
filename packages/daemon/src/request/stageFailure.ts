/**
 * Failure of a pipeline stage, and the caller error that it leads to.
 */
import type { RouteStage } from "@crankfork/decisions";
import type { StepRefusal } from "@crankfork/schemas";
import type VError from "verror";
import { ExchangeError, type ExchangeFailure } from "../connection/httpClient.js";
import { createCallerError } from "./callerError.js";

const RETRY_AFTER_MS = 500;

/** Failure of a pipeline stage. */
export class StageFailure extends Error {
    override readonly name = "StageFailure";

    /**
     * @param stage - the stage
     * @param reason - the engine's refusal, `resting` if nothing was sent to an engine in backoff, or the failed exchange
     */
    constructor(readonly stage: RouteStage, readonly reason: StepRefusal | "resting" | ExchangeError) {
        super(reason instanceof ExchangeError ? `${reason.failure}: ${reason.message}` : `refused: ${reason}`);
    }

    /** The step's name for errors and logs. */
    get step(): string {
        return `layers ${String(this.stage.firstLayer)}-${String(this.stage.endLayer - 1)}`;
    }

    /** Whether the step was cancelled by this process. */
    get isCancelled(): boolean {
        return this.reason instanceof ExchangeError && this.reason.failure === "cancelled";
    }

    /** Whether it is certain that the engine ran nothing of the step. */
    get isKnownNotRun(): boolean {
        return !(this.reason instanceof ExchangeError)
            || this.reason.failure === "not-reached"
            || this.reason.retryAfterMs !== undefined;
    }

    /** Whether the same engine may serve the next attempt: it has lost the run, but works. */
    get isEngineReusable(): boolean {
        return this.reason === "unknown-run" || this.reason === "wrong-position" || this.reason === "old-epoch";
    }
}

/**
 * Creates the caller error for a stage that cannot be retried.
 * @param failure - the last failure
 * @param mayHaveRun - whether any work of the request may have been done
 * @returns the error
 */
export function createStageError(failure: StageFailure, mayHaveRun: boolean): VError {
    const outcome = mayHaveRun ? "unknown" : "not-run";
    const options = { step: failure.step, peer: failure.stage.upstream, outcome } as const;
    const { reason } = failure;
    if (!(reason instanceof ExchangeError)) {
        return createCallerError(getRefusalId(reason), {
            ...options,
            values: { reason: failure.message },
            retryAfterMs: RETRY_AFTER_MS,
        });
    }
    return createCallerExchangeError(reason, options);
}

function getRefusalId(reason: StepRefusal | "resting"): "upstream-not-reached" | "upstream-lost" | "upstreams-resting" {
    switch (reason) {
        case "full":
            return "upstream-not-reached";
        case "resting":
            return "upstreams-resting";
        case "leaving":
        case "not-held":
        case "old-epoch":
        case "unknown-run":
        case "wrong-position":
            return "upstream-lost";
    }
}

const errorIds = {
    "not-reached": "upstream-not-reached",
    "lost": "upstream-lost",
    "silent": "upstream-silent",
    "rubbish": "upstream-rubbish",
    "unreadable": "upstream-rubbish",
    "oversized": "upstream-rubbish",
    "cancelled": "cancelled",
} as const satisfies Record<ExchangeFailure, string>;

/**
 * Creates the caller error for a failed exchange.
 * @param error - the failure of the exchange
 * @param options - step, peer and outcome
 * @returns the error
 */
export function createCallerExchangeError(
    error: ExchangeError,
    options: { readonly step: string; readonly peer: string; readonly outcome: "not-run" | "unknown"; },
): VError {
    return createCallerError(errorIds[error.failure], {
        ...options,
        values: { reason: error.message },
        retryAfterMs: RETRY_AFTER_MS,
    });
}
