/**
 * HTTP to upstreams and peers by undici, with faults told apart by whether anything was sent.
 */
import { buildConnector, type Dispatcher, errors } from "undici";
import { KeepAliveAgent } from "./keepAliveAgent.js";
import { readRetryAfter } from "./readRetryAfter.js";
import { withConnectTimeout } from "./withConnectTimeout.js";

/** Why an exchange failed. */
export type ExchangeFailure =
    /** No connection was made, so nothing was sent. */
    | "not-reached"
    /** The connection broke after it was made. */
    | "lost"
    /** The answer did not come in time. */
    | "silent"
    /** The answer makes no sense. */
    | "rubbish"
    /** A successful answer whose bytes are no JSON. */
    | "unreadable"
    /** Given up by us. */
    | "cancelled";

/** An exchange that failed. */
export class ExchangeError extends Error {
    override readonly name = "ExchangeError";

    /**
     * @param failure - why
     * @param peer - with whom
     * @param message - what was seen
     * @param isConnectionRefused - whether nobody listens there: the process that did is gone
     * @param retryAfterMs - for how long the peer wants nothing, where it turned the exchange away and said so
     */
    constructor(
        readonly failure: ExchangeFailure,
        readonly peer: string,
        message: string,
        readonly isConnectionRefused: boolean = false,
        readonly retryAfterMs?: number,
    ) {
        super(message);
    }
}

/** Links take some milliseconds. A first packet that was lost is sent again after a second; another attempt is there sooner. */
const CONNECT_TIMEOUT_MS = 300;
/** Below the time of a question that gets no answer: by then no idle connection is left that went silent with it. */
const PEER_IDLE_TIMEOUT_MS = 1_000;
/** Each turn of the loop may open one call to an engine, and a call lasts until its last step is answered. */
const MAX_CONNECTIONS = 256;

/** Connections to upstreams are used again and again. */
const IDLE_TIMEOUT_MS = 30_000;

/**
 * Opens connections to upstreams that are kept alive and shared by all exchanges.
 * @param idleTimeoutMs - how long one is kept that nothing uses
 * @returns the connections; close them at the end of the process
 */
export function createAgent(idleTimeoutMs: number = IDLE_TIMEOUT_MS): KeepAliveAgent {
    const connect = withConnectTimeout(buildConnector({}), CONNECT_TIMEOUT_MS);
    return new KeepAliveAgent({ connect, idleTimeoutMs, maxConnections: MAX_CONNECTIONS });
}

/**
 * Opens connections to other instances.
 * @returns the connections; close them at the end of the process
 */
export function createPeerAgent(): KeepAliveAgent {
    return createAgent(PEER_IDLE_TIMEOUT_MS);
}

/** What is sent. */
export interface ExchangeOptions {
    readonly agent: Dispatcher;
    readonly peer: string;
    readonly url: string;
    readonly method: Dispatcher.HttpMethod;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string | Buffer;
    readonly signal?: AbortSignal;
    /** Called with the head of the answer, whatever its status. */
    readonly handleHeaders?: (headers: Dispatcher.ResponseData["headers"], status: number) => void;
}

/**
 * Sends a request and gets the head of its answer.
 * @param options - where to, what, and a signal that ends it
 * @returns the answer, its body unread
 * @throws ExchangeError
 */
export async function sendRequest(options: ExchangeOptions): Promise<Dispatcher.ResponseData> {
    const { agent, url, method, headers, body, signal, peer } = options;
    try {
        const { origin, pathname, search } = new URL(url);
        const response = agent.request({
            origin,
            path: `${pathname}${search}`,
            method,
            headers: { ...headers },
            body: body ?? null,
            signal: signal ?? null,
        });
        return await (signal === undefined ? response : rejectOnAbort(response, signal));
    }
    catch (error) {
        throw createExchangeError(error, peer, signal);
    }
}

/** undici heeds a signal only once a connection is there; a peer that is cut off would hold the caller up until then. */
function rejectOnAbort<Value>(result: Promise<Value>, signal: AbortSignal): Promise<Value> {
    return new Promise((resolve, reject) => {
        const handleAbort = (): void => {
            reject(signal.reason instanceof Error ? signal.reason : new Error("given up"));
        };
        signal.addEventListener("abort", handleAbort, { once: true });
        result.then(resolve, reject).finally(() => {
            signal.removeEventListener("abort", handleAbort);
        });
    });
}

/** What the time-out of an exchange counts. */
export type TimeoutScope =
    /** All of it, from the question to the last byte. */
    | "exchange"
    /** Time without a byte: an answer that moves is not thrown away, however slow the link is. */
    | "silence";

/**
 * Sends a request and reads its answer as JSON.
 * @param options - where to and what
 * @param timeoutMs - how long it may take
 * @param scope - what that time counts
 * @returns the parsed body
 * @throws ExchangeError also where the status is not 2xx
 */
export async function fetchJson(
    options: ExchangeOptions,
    timeoutMs: number,
    scope: TimeoutScope = "exchange",
): Promise<unknown> {
    const deadline = startDeadline(Math.ceil(timeoutMs));
    const signal = options.signal === undefined ? deadline.signal : AbortSignal.any([options.signal, deadline.signal]);
    try {
        const response = await sendRequest({ ...options, signal });
        options.handleHeaders?.(response.headers, response.statusCode);
        const handleBytes = scope === "silence" ? deadline.restart : (): void => undefined;
        return parseResponse(options, response, await readText(response, options.peer, signal, handleBytes));
    }
    catch (error) {
        if (deadline.signal.aborted && options.agent instanceof KeepAliveAgent) {
            options.agent.retire(new URL(options.url).origin);
        }
        throw error;
    }
    finally {
        deadline.stop();
    }
}

function parseResponse(options: ExchangeOptions, response: Dispatcher.ResponseData, text: string): unknown {
    if (response.statusCode >= 300) {
        throw new ExchangeError(
            "rubbish",
            options.peer,
            `status ${String(response.statusCode)}: ${text.slice(0, 200)}`,
            false,
            readRetryAfterMs(response),
        );
    }
    try {
        return JSON.parse(text);
    }
    catch {
        throw new ExchangeError("unreadable", options.peer, `found no JSON: ${text.slice(0, 80)}`);
    }
}

/**
 * Reads for how long whoever turned an exchange away wants nothing more.
 * @param response - the head of its answer
 * @returns milliseconds; undefined where it does not say so, or makes no sense
 */
export function readRetryAfterMs(
    { statusCode, headers }: Pick<Dispatcher.ResponseData, "statusCode" | "headers">,
): number | undefined {
    const notice = readRetryAfter({ status: statusCode, headers });
    return notice.kind === "rest" ? notice.restMs : undefined;
}

/**
 * Tells what kind of failure an error is.
 * @param error - what was thrown
 * @param peer - with whom
 * @param signal - the signal of the exchange
 * @returns the error of ours
 */
export function createExchangeError(error: unknown, peer: string, signal?: AbortSignal): ExchangeError {
    if (error instanceof ExchangeError) {
        return error;
    }
    if (signal?.aborted === true) {
        const isTimeout = signal.reason instanceof DOMException && signal.reason.name === "TimeoutError";
        return new ExchangeError(
            isTimeout ? "silent" : "cancelled",
            peer,
            isTimeout ? "no answer in time" : "given up",
        );
    }
    const message = error instanceof Error ? error.message : String(error);
    const failure = isConnectFailure(error) ? "not-reached" : "lost";
    return new ExchangeError(failure, peer, message, getErrorCode(error) === "ECONNREFUSED");
}

interface Deadline {
    readonly signal: AbortSignal;
    readonly restart: () => void;
    readonly stop: () => void;
}

function startDeadline(timeoutMs: number): Deadline {
    const controller = new AbortController();
    const timer = setTimeout(() => {
        controller.abort(new DOMException("no answer in time", "TimeoutError"));
    }, timeoutMs);
    return {
        signal: controller.signal,
        restart: () => {
            timer.refresh();
        },
        stop: () => {
            clearTimeout(timer);
        },
    };
}

async function readText(
    response: Dispatcher.ResponseData,
    peer: string,
    signal: AbortSignal,
    handleBytes: () => void,
): Promise<string> {
    try {
        handleBytes();
        const chunks: Buffer[] = [];
        for await (const chunk of response.body as AsyncIterable<Buffer>) {
            chunks.push(chunk);
            handleBytes();
        }
        return Buffer.concat(chunks).toString("utf8");
    }
    catch (error) {
        throw createExchangeError(error, peer, signal);
    }
}

function isConnectFailure(error: unknown): boolean {
    if (error instanceof errors.ConnectTimeoutError) {
        return true;
    }
    const code = getErrorCode(error);
    return code === "ECONNREFUSED" || code === "EHOSTUNREACH" || code === "ENETUNREACH";
}

function getErrorCode(error: unknown): unknown {
    return error instanceof Error && "code" in error ? error.code : undefined;
}
