/**
 * Speaks to the operators' port of an instance.
 */
import { operatorErrorBodySchema } from "@crankfork/schemas";
import { request } from "undici";

/** Where and how to ask. */
export interface OperatorClientOptions {
    /** Operators' address of any instance. */
    readonly address: string;
    readonly secret: string | undefined;
}

/** What an instance refused, or why it could not be asked. */
export class OperatorError extends Error {
    override readonly name = "OperatorError";

    /**
     * @param message - what went wrong
     * @param step - where
     * @param peer - at which instance
     * @param next - what to do next
     * @param details - more lines
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

/** What is asked. */
export interface OperatorQuestion {
    readonly method: "GET" | "POST";
    readonly path: string;
    readonly contentType?: string;
    readonly body?: string;
}

const TIMEOUT_MS = 60_000;

/**
 * Asks an instance.
 * @param options - which one
 * @param question - what
 * @returns the parsed answer
 * @throws OperatorError
 */
export async function askInstance(options: OperatorClientOptions, question: OperatorQuestion): Promise<unknown> {
    const headers: Record<string, string> = { "content-type": question.contentType ?? "application/json" };
    if (options.secret !== undefined) {
        headers.authorization = `Bearer ${options.secret}`;
    }
    const { statusCode, text } = await send(options, question, headers);
    const body = parseBody(text, options.address);
    if (statusCode >= 300) {
        throw createRefusal(body, options.address, statusCode);
    }
    return body;
}

async function send(
    options: OperatorClientOptions,
    question: OperatorQuestion,
    headers: Record<string, string>,
): Promise<{ statusCode: number; text: string; }> {
    try {
        const response = await request(`http://${options.address}${question.path}`, {
            method: question.method,
            headers,
            body: question.body ?? null,
            headersTimeout: TIMEOUT_MS,
            bodyTimeout: TIMEOUT_MS,
        });
        return { statusCode: response.statusCode, text: await response.body.text() };
    }
    catch (error) {
        const reason = error instanceof Error ? error.message : String(error);
        const next = "name another instance with --at; asking again is safe";
        throw new OperatorError(`the instance can't be reached: ${reason}`, "connect", options.address, next);
    }
}

function parseBody(text: string, peer: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        const next = "check that --at names an operators' port";
        throw new OperatorError(`found an answer that is no JSON: ${text.slice(0, 80)}`, "answer", peer, next);
    }
}

function createRefusal(body: unknown, address: string, status: number): OperatorError {
    const parsed = operatorErrorBodySchema.safeParse(body);
    if (!parsed.success) {
        return new OperatorError(
            `status ${String(status)}`,
            "answer",
            address,
            "check that --at names an operators' port",
        );
    }
    const { message, step, peer, next, details } = parsed.data.error;
    return new OperatorError(message, step, peer === "" ? address : peer, next, details);
}
