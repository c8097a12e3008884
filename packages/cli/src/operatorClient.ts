/**
 * Client of an instance's operator API.
 */
import { operatorErrorBodySchema } from "@crankfork/schemas";
import { request } from "undici";

/** Address and credentials of an instance. */
export interface OperatorClientOptions {
    /** Operator address of any instance. */
    readonly address: string;
    readonly secret: string | undefined;
}

/** An error that the operator API returned, or a failure to reach it. */
export class OperatorError extends Error {
    override readonly name = "OperatorError";

    /**
     * @param message - description of the error
     * @param step - operation that failed
     * @param peer - instance at which it failed
     * @param next - what the operator can do next
     * @param details - further lines of the description
     */
    constructor(
        message: string,
        readonly step: string,
        readonly peer: string,
        readonly next: string,
        readonly details: readonly string[] = [],
    ) {
        super(message);
    }
}

/** One request to the operator API. */
export interface OperatorRequest {
    readonly method: "GET" | "POST";
    readonly path: string;
    readonly contentType?: string;
    readonly body?: string;
}

const REQUEST_TIMEOUT_MS = 60_000;

/**
 * Sends a request to an instance.
 * @param options - address and credentials
 * @param operatorRequest - the request
 * @returns the parsed JSON response
 * @throws OperatorError if the instance can't be reached or returns an error
 */
export async function requestInstance(
    options: OperatorClientOptions,
    operatorRequest: OperatorRequest,
): Promise<unknown> {
    const headers: Record<string, string> = { "content-type": operatorRequest.contentType ?? "application/json" };
    if (options.secret !== undefined) {
        headers.authorization = `Bearer ${options.secret}`;
    }
    const { statusCode, text } = await send(options, operatorRequest, headers);
    const body = parseBody(text, options.address);
    if (statusCode >= 300) {
        throw createOperatorError(body, options.address, statusCode);
    }
    return body;
}

async function send(
    options: OperatorClientOptions,
    operatorRequest: OperatorRequest,
    headers: Record<string, string>,
): Promise<{ statusCode: number; text: string; }> {
    try {
        const response = await request(`http://${options.address}${operatorRequest.path}`, {
            method: operatorRequest.method,
            headers,
            body: operatorRequest.body ?? null,
            headersTimeout: REQUEST_TIMEOUT_MS,
            bodyTimeout: REQUEST_TIMEOUT_MS,
        });
        return { statusCode: response.statusCode, text: await response.body.text() };
    }
    catch (error) {
        const reason = error instanceof Error ? error.message : String(error);
        const next = "name another instance with --at; repeating the request is safe";
        throw new OperatorError(`the instance can't be reached: ${reason}`, "connect", options.address, next);
    }
}

function parseBody(text: string, peer: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        const next = "check that --at is the address of an operator API";
        throw new OperatorError(`the response is not valid JSON: ${text.slice(0, 80)}`, "answer", peer, next);
    }
}

function createOperatorError(body: unknown, address: string, status: number): OperatorError {
    const parsed = operatorErrorBodySchema.safeParse(body);
    if (!parsed.success) {
        return new OperatorError(
            `unexpected HTTP status ${String(status)}`,
            "answer",
            address,
            "check that --at is the address of an operator API",
        );
    }
    const { message, step, peer, next, details } = parsed.data.error;
    return new OperatorError(message, step, peer === "" ? address : peer, next, details);
}
