/**
 * The one place that knows how a plain service is spoken to.
 */
import type { LimitNotice } from "@crankfork/decisions";
import type { BufferedResponse } from "@crankfork/schemas";
import { isUtf8 } from "node:buffer";
import type { Dispatcher } from "undici";
import { createExchangeError, ExchangeError, readRestMs, sendRequest } from "./httpClient.js";
import { readLimit } from "./readLimit.js";

/** A call to a plain service. */
export interface ServiceCall {
    readonly method: string;
    /** Path and query behind the service's name. */
    readonly path: string;
    readonly contentType: string | undefined;
    readonly body: Buffer;
    readonly signal: AbortSignal;
    readonly timeoutMs: number;
    /** The largest answer that is taken, in bytes. */
    readonly answerLimit: number;
}

/** What a service answered, and what it said of rest and of the rate that it takes. */
export type ServiceAnswer =
    & { readonly restMs?: number | undefined; readonly limit: LimitNotice; }
    & (
        | { readonly kind: "answered"; readonly answer: BufferedResponse; }
        /** The service says itself that it did not run the call. */
        | { readonly kind: "not-run"; readonly reason: string; }
    );

/** The header by which a service says that it did not run a call. */
const NOT_RUN_HEADER = "x-not-run";

/**
 * Calls a plain service.
 * @param agent - the connections to use
 * @param peer - name of the upstream
 * @param address - where it listens
 * @param call - the call
 * @returns its whole answer
 * @throws ExchangeError
 */
export async function callService(
    agent: Dispatcher,
    peer: string,
    address: string,
    call: ServiceCall,
): Promise<ServiceAnswer> {
    const signal = AbortSignal.any([call.signal, AbortSignal.timeout(call.timeoutMs)]);
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
    const body = await readLimited(response, peer, call.answerLimit, signal);
    const restMs = readRestMs(response);
    const limit = readLimit(response);
    if (response.headers[NOT_RUN_HEADER] === "true") {
        return { kind: "not-run", reason: `status ${String(response.statusCode)}`, restMs, limit };
    }
    const type = response.headers["content-type"];
    const content_type = typeof type === "string" ? type : "application/octet-stream";
    return {
        kind: "answered",
        answer: { status: response.statusCode, content_type, ...encodeBody(body) },
        restMs,
        limit,
    };
}

async function readLimited(
    response: Dispatcher.ResponseData,
    peer: string,
    limit: number,
    signal: AbortSignal,
): Promise<Buffer> {
    const chunks: Buffer[] = [];
    let length = 0;
    try {
        for await (const chunk of response.body as AsyncIterable<Buffer>) {
            length += chunk.length;
            if (length > limit) {
                throw new ExchangeError("rubbish", peer, `the answer is larger than ${String(limit)} bytes`);
            }
            chunks.push(chunk);
        }
    }
    catch (error) {
        throw createExchangeError(error, peer, signal);
    }
    return Buffer.concat(chunks);
}

/** Text stays readable in the log; what is no text must come back byte for byte. */
function encodeBody(body: Buffer): Pick<BufferedResponse, "body" | "encoding"> {
    return isUtf8(body)
        ? { body: body.toString("utf8"), encoding: "utf8" }
        : { body: body.toString("base64"), encoding: "base64" };
}
