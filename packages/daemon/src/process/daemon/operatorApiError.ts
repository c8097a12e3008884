/**
 * Errors of the operator API. Each one names the operator's next step.
 */
import type { OperatorErrorBody } from "@crankfork/schemas";
import type { ServerResponse } from "node:http";
import { BodyTooLargeError, sendJson } from "../httpServer.js";

/** An error response of the operator API. */
export class OperatorApiError extends Error {
    override readonly name = "OperatorApiError";

    /**
     * @param status - HTTP status
     * @param id - machine-readable error id
     * @param message - description of the error
     * @param next - what the operator can do next
     * @param step - operation that failed
     * @param peer - instance at which it failed
     * @param details - further lines of the description
     */
    constructor(
        readonly status: number,
        readonly id: string,
        message: string,
        readonly next: string,
        readonly step: string,
        readonly peer: string = "",
        readonly details: readonly string[] = [],
    ) {
        super(message);
    }
}

/**
 * Creates the error for a command that found no quorum.
 * @param step - the command
 * @param cause - cause of the failure
 * @returns the error
 */
export function createNoQuorumError(step: string, cause: unknown): OperatorApiError {
    const reason = cause instanceof Error ? cause.message : String(cause);
    const next = "see crankfork status for the voters, then ask again";
    return new OperatorApiError(
        503,
        "no-quorum",
        `the voters can't agree now: ${reason}`,
        next,
        step,
        "voters",
    );
}

/**
 * Sends an error response.
 * @param response - the response, whose headers are not sent yet
 * @param error - any thrown value
 */
export function sendOperatorError(response: ServerResponse, error: unknown): void {
    const apiError = error instanceof OperatorApiError ? error : convertError(error);
    const body: OperatorErrorBody = {
        error: {
            id: apiError.id,
            message: apiError.message,
            step: apiError.step,
            peer: apiError.peer,
            next: apiError.next,
            details: [...apiError.details],
        },
    };
    sendJson(response, apiError.status, body);
}

function convertError(error: unknown): OperatorApiError {
    const message = error instanceof Error ? error.message : String(error);
    if (error instanceof BodyTooLargeError) {
        return new OperatorApiError(
            413,
            "body-too-large",
            "the body is too large",
            "raise limits.body, or split it",
            "body",
        );
    }
    if (error instanceof SyntaxError) {
        return new OperatorApiError(
            400,
            "broken-json",
            `the body is no JSON: ${message}`,
            "see docs/API.md",
            "body",
        );
    }
    return new OperatorApiError(500, "internal", message, "see the log of this instance", "serve");
}
