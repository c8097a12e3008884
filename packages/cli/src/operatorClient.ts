/**
 * Client of an instance's operator API.
 */
import { BoundedPool, EndlessResponseError, InvalidHeadError } from "@crankfork/daemon/connection";
import { operatorErrorBodySchema } from "@crankfork/schemas";
import { buildConnector, errors, request } from "undici";

/** Address and credentials of an instance. */
export interface OperatorClientOptions {
    /** Operator address of any instance. */
    readonly address: string;
    readonly secret: string | undefined;
    /** Time limit for a whole response, in milliseconds. */
    readonly timeoutMs?: number;
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
/** Size limit of a response: a history of configurations, or the state of a fleet with its upstreams. */
const RESPONSE_LIMIT_BYTES = 64 * 1_024 * 1_024;
const CHECK_ADDRESS = "check that --at is the address of an operator API";

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
    let connections: BoundedPool | undefined;
    try {
        const url = new URL(`http://${options.address}${operatorRequest.path}`);
        connections = new BoundedPool(url.origin, {
            connect: buildConnector({}),
            maxResponseSize: RESPONSE_LIMIT_BYTES,
        });
        const response = await request(url, {
            method: operatorRequest.method,
            headers,
            body: operatorRequest.body ?? null,
            signal: AbortSignal.timeout(options.timeoutMs ?? REQUEST_TIMEOUT_MS),
            // Composing wraps handlers of undici's earlier interface, which its request function passes.
            dispatcher: connections.compose((dispatch) => dispatch),
        });
        return { statusCode: response.statusCode, text: await response.body.text() };
    }
    catch (error) {
        throw createSendError(error, options.address);
    }
    finally {
        await connections?.destroy();
    }
}

function createSendError(error: unknown, address: string): OperatorError {
    const reason = error instanceof Error ? error.message : String(error);
    if (error instanceof errors.ResponseExceededMaxSizeError) {
        const message = `the response is larger than the limit of ${String(RESPONSE_LIMIT_BYTES)} bytes`;
        return new OperatorError(message, "answer", address, CHECK_ADDRESS);
    }
    if (error instanceof InvalidHeadError || error instanceof EndlessResponseError) {
        return new OperatorError(`the response is invalid: ${reason}`, "answer", address, CHECK_ADDRESS);
    }
    const next = "name another instance with --at; repeating the request is safe";
    return new OperatorError(`the instance can't be reached: ${reason}`, "connect", address, next);
}

function parseBody(text: string, peer: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        const reason = text.slice(0, 80);
        throw new OperatorError(`the response is not valid JSON: ${reason}`, "answer", peer, CHECK_ADDRESS);
    }
}

function createOperatorError(body: unknown, address: string, status: number): OperatorError {
    const parsed = operatorErrorBodySchema.safeParse(body);
    if (!parsed.success) {
        return new OperatorError(
            `unexpected HTTP status ${String(status)}`,
            "answer",
            address,
            CHECK_ADDRESS,
        );
    }
    const { message, step, peer, next, details } = parsed.data.error;
    return new OperatorError(message, step, peer === "" ? address : peer, next, details);
}
