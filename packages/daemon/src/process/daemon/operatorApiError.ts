/**
 * Refusals of the operators' port; each says what to do next.
 */
import type { OperatorRefusal } from "@crankfork/schemas";
import type { ServerResponse } from "node:http";
import { BodyTooLargeError, sendJson } from "../httpServer.js";

/** A refusal of the operators' port. */
export class OperatorFault extends Error {
    override readonly name = "OperatorFault";

    /**
     * @param status - HTTP status
     * @param id - names the refusal
     * @param message - what is wrong
     * @param next - what to do next
     * @param step - where it arose
     * @param peer - at which instance
     * @param details - more lines
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
 * Creates the refusal for voters that can't agree.
 * @param step - what was asked of them
 * @param cause - what happened
 * @returns the refusal
 */
export function createNoQuorumFault(step: string, cause: unknown): OperatorFault {
    const reason = cause instanceof Error ? cause.message : String(cause);
    const next = "see crankfork status for the voters, then ask again";
    return new OperatorFault(503, "no-quorum", `the voters can't agree now: ${reason}`, next, step, "voters");
}

/**
 * Sends a refusal.
 * @param response - the response, not begun yet
 * @param error - anything that was thrown
 */
export function sendFault(response: ServerResponse, error: unknown): void {
    const fault = error instanceof OperatorFault ? error : createUnexpectedFault(error);
    const body: OperatorRefusal = {
        error: {
            id: fault.id,
            message: fault.message,
            step: fault.step,
            peer: fault.peer,
            next: fault.next,
            details: [...fault.details],
        },
    };
    sendJson(response, fault.status, body);
}

function createUnexpectedFault(error: unknown): OperatorFault {
    const message = error instanceof Error ? error.message : String(error);
    if (error instanceof BodyTooLargeError) {
        return new OperatorFault(
            413,
            "body-too-large",
            "the body is too large",
            "raise limits.body, or split it",
            "body",
        );
    }
    if (error instanceof SyntaxError) {
        return new OperatorFault(400, "broken-json", `the body is no JSON: ${message}`, "see docs/API.md", "body");
    }
    return new OperatorFault(500, "internal", message, "see the log of this instance", "serve");
}
