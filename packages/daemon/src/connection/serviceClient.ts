/**
 * Client for plain services. In the daemon, only this file depends on their HTTP interface.
 */
import type { LimitNotice } from "@crankfork/decisions";
import type { BufferedResponse } from "@crankfork/schemas";
import { isUtf8 } from "node:buffer";
import type { Dispatcher } from "undici";
import { limitTimerMs } from "../process/waitMs.js";
import { createExchangeError, ExchangeError, readRetryAfterMs, sendRequest } from "./httpClient.js";
import { readRateLimit } from "./readRateLimit.js";

/** A call to a plain service. */
export interface ServiceCall {
    readonly method: string;
    /** Path and query after the service's name. */
    readonly path: string;
    readonly contentType: string | undefined;
    readonly body: Buffer;
    readonly signal: AbortSignal;
    readonly timeoutMs: number;
    /** Maximum size of a response, in bytes. */
    readonly maxAnswerBytes: number;
}

/** Response of a service, with the backoff and the rate limit that it states. */
export type ServiceAnswer =
    & { readonly retryAfterMs?: number | undefined; readonly limit: LimitNotice; }
    & (
        | { readonly kind: "answered"; readonly answer: BufferedResponse; }
        /** The service states that it did not run the call. */
        | { readonly kind: "not-run"; readonly reason: string; }
    );

/** Header by which a service states that it did not run a call. */
const NOT_RUN_HEADER = "x-not-run";

/**
 * Calls a plain service.
 * @param agent - the connections to use
 * @param peer - name of the upstream
 * @param address - where it listens
 * @param call - the call
 * @returns the complete response
 * @throws ExchangeError
 */
export async function callService(
    agent: Dispatcher,
    peer: string,
    address: string,
    call: ServiceCall,
): Promise<ServiceAnswer> {
    const signal = AbortSignal.any([call.signal, AbortSignal.timeout(Math.ceil(limitTimerMs(call.timeoutMs)))]);
    const headers: Record<string, string> = call.contentType === undefined ? {} : { "content-type": call.contentType };
    const hasBody = call.body.length > 0;
    const response = await sendRequest({
        agent,
        peer,
        url: `http://${address}${call.path}`,
        method: call.method,
        headers,
        ...(hasBody ? { body: call.body } : {}),
        signal,
    });
    const body = await readBody(response, peer, call.maxAnswerBytes, signal);
    const retryAfterMs = readRetryAfterMs(response);
    const limit = readRateLimit(response);
    if (response.headers[NOT_RUN_HEADER] === "true") {
        return { kind: "not-run", reason: `status ${String(response.statusCode)}`, retryAfterMs, limit };
    }
    const type = response.headers["content-type"];
    const content_type = typeof type === "string" ? type : "application/octet-stream";
    return {
        kind: "answered",
        answer: { status: response.statusCode, content_type, ...encodeBody(body) },
        retryAfterMs,
        limit,
    };
}

async function readBody(
    response: Dispatcher.ResponseData,
    peer: string,
    maxBytes: number,
    signal: AbortSignal,
): Promise<Buffer> {
    const chunks: Buffer[] = [];
    let length = 0;
    try {
        for await (const chunk of response.body as AsyncIterable<Buffer>) {
            length += chunk.length;
            if (length > maxBytes) {
                throw new ExchangeError("rubbish", peer, `response exceeds ${String(maxBytes)} bytes`);
            }
            chunks.push(chunk);
        }
    }
    catch (error) {
        throw createExchangeError(error, peer, signal);
    }
    return Buffer.concat(chunks);
}

/** Text is kept readable in the log; other content is encoded to survive byte for byte. */
function encodeBody(body: Buffer): Pick<BufferedResponse, "body" | "encoding"> {
    return isUtf8(body)
        ? { body: body.toString("utf8"), encoding: "utf8" }
        : { body: body.toString("base64"), encoding: "base64" };
}
