/**
 * HTTP client for upstreams and peers, based on undici. Failures are classified by whether the request may have been
 * sent.
 */
import { buildConnector, type Dispatcher, errors } from "undici";
import { limitTimerMs } from "../process/waitMs.js";
import { EndlessResponseError } from "./boundedPool.js";
import { KeepAliveAgent } from "./keepAliveAgent.js";
import {
    computeTrickleLimitMs,
    HEAD_LIMIT_BYTES,
    PEER_MESSAGE_LIMIT_BYTES,
    RELAYED_HEAD_LIMIT_BYTES,
} from "./messageLimits.js";
import { readRetryAfter } from "./readRetryAfter.js";
import { InvalidHeadError } from "./responseRule.js";
import { withConnectTimeout } from "./withConnectTimeout.js";

/** Why an exchange failed. */
export type ExchangeFailure =
    /** No connection was established, so nothing was sent. */
    | "not-reached"
    /** The connection broke after it had been established. */
    | "lost"
    /** No response within the time-out. */
    | "silent"
    /** The response is an error status or violates the protocol. */
    | "rubbish"
    /** The response has a success status, but its body is not JSON. */
    | "unreadable"
    /** The response exceeds its size limit. */
    | "oversized"
    /** Cancelled by this process. */
    | "cancelled";

/** A failed HTTP exchange. */
export class ExchangeError extends Error {
    override readonly name = "ExchangeError";

    /**
     * @param failure - kind of the failure
     * @param peer - name of the other side
     * @param message - details
     * @param isConnectionRefused - whether the connection was refused, so the process that listened there is gone
     * @param retryAfterMs - backoff that the peer asked for when it rejected the exchange, in milliseconds
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

/** Round trips take a few milliseconds. A lost SYN is retransmitted only after 1 s, so a new attempt is faster. */
const CONNECT_TIMEOUT_MS = 300;
/**
 * Shorter than the time-out of a call, so that after one call has timed out no idle connection that broke with it is
 * left.
 */
const PEER_IDLE_TIMEOUT_MS = 1_000;
/** Each turn of the event loop may open one call to an engine; a call lasts until its last step is answered. */
const MAX_CONNECTIONS = 256;

/** Idle connections to upstreams are kept, since they are reused. */
const IDLE_TIMEOUT_MS = 30_000;

/**
 * Creates a pool of keep-alive connections that all exchanges share.
 * @param idleTimeoutMs - how long an unused connection is kept, in milliseconds
 * @param maxHeaderSize - size limit of the head of a response, in bytes
 * @returns the connections; close them at the end of the process
 */
export function createAgent(
    idleTimeoutMs: number = IDLE_TIMEOUT_MS,
    maxHeaderSize: number = HEAD_LIMIT_BYTES,
): KeepAliveAgent {
    const connect = withConnectTimeout(buildConnector({}), CONNECT_TIMEOUT_MS);
    return new KeepAliveAgent({
        connect,
        idleTimeoutMs,
        maxConnections: MAX_CONNECTIONS,
        maxHeaderSize,
    });
}

/**
 * Creates a pool of connections to other instances.
 * @returns the connections; close them at the end of the process
 */
export function createPeerAgent(): KeepAliveAgent {
    return createAgent(PEER_IDLE_TIMEOUT_MS);
}

/**
 * Creates a pool of connections to other entries, for responses of upstreams that these relay.
 * @returns the connections; close them at the end of the process
 */
export function createRelayAgent(): KeepAliveAgent {
    return createAgent(PEER_IDLE_TIMEOUT_MS, RELAYED_HEAD_LIMIT_BYTES);
}

/** A request. */
export interface ExchangeOptions {
    readonly agent: Dispatcher;
    readonly peer: string;
    readonly url: string;
    readonly method: Dispatcher.HttpMethod;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string | Buffer;
    readonly signal?: AbortSignal;
    /** Size limit of the response's body; by default that of the largest message between instances. */
    readonly limitBytes?: number;
    /** Called with the headers and the status of the response, whatever the status. */
    readonly handleHeaders?: (headers: Dispatcher.ResponseData["headers"], status: number) => void;
}

/**
 * Sends a request and waits for the head of the response.
 * @param options - the request, and a signal that cancels it
 * @returns the response; its body has not been read
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

/** Rejects on abort without waiting for undici, which honours a signal only once a connection exists. */
function rejectOnAbort<Value>(result: Promise<Value>, signal: AbortSignal): Promise<Value> {
    return new Promise((resolve, reject) => {
        const handleAbort = (): void => {
            reject(signal.reason instanceof Error ? signal.reason : new Error("cancelled"));
        };
        signal.addEventListener("abort", handleAbort, { once: true });
        result.then(resolve, reject).finally(() => {
            signal.removeEventListener("abort", handleAbort);
        });
    });
}

/** Scope of a time-out. */
export type TimeoutScope =
    /** From sending the request to the last byte of the response. */
    | "exchange"
    /** Time without a byte received: a slow response that makes progress is not aborted, unless it trickles. */
    | "silence";

/**
 * Sends a request and parses the response as JSON.
 * @param options - the request
 * @param timeoutMs - the time-out, in milliseconds
 * @param scope - what the time-out applies to
 * @returns the parsed body
 * @throws ExchangeError also if the status is 300 or higher
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
        const text = await readText(response, { ...options, signal }, handleBytes);
        return parseResponse(options, response, text);
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
        throw new ExchangeError("unreadable", options.peer, `response is not JSON: ${text.slice(0, 80)}`);
    }
}

/**
 * Reads the backoff from the headers of a response that rejected a request.
 * @param response - status and headers
 * @returns milliseconds; undefined if the header is absent or invalid
 */
export function readRetryAfterMs(
    { statusCode, headers }: Pick<Dispatcher.ResponseData, "statusCode" | "headers">,
): number | undefined {
    const notice = readRetryAfter({ status: statusCode, headers });
    return notice.kind === "rest" ? notice.backoffMs : undefined;
}

/**
 * Converts an error into an ExchangeError.
 * @param error - the error that was thrown
 * @param peer - name of the other side
 * @param signal - the signal of the exchange
 * @returns the classified error
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
            isTimeout ? "no response within the time-out" : "cancelled",
        );
    }
    if (error instanceof errors.HeadersOverflowError) {
        return new ExchangeError(
            "oversized",
            peer,
            `head of the response: found more than the limit of ${String(HEAD_LIMIT_BYTES)} bytes`,
        );
    }
    const message = error instanceof Error ? error.message : String(error);
    if (error instanceof EndlessResponseError) {
        return new ExchangeError("oversized", peer, message);
    }
    if (error instanceof InvalidHeadError) {
        return new ExchangeError("rubbish", peer, message);
    }
    const failure = isConnectFailure(error) ? "not-reached" : "lost";
    return new ExchangeError(failure, peer, message, getErrorCode(error) === "ECONNREFUSED");
}

interface Deadline {
    readonly signal: AbortSignal;
    /** Starts the time-out of silence again; aborts a response that trickles. */
    readonly restart: (receivedBytes: number) => void;
    readonly stop: () => void;
}

function startDeadline(timeoutMs: number): Deadline {
    const controller = new AbortController();
    const startMs = performance.now();
    const abort = (): void => {
        controller.abort(new DOMException("no response within the time-out", "TimeoutError"));
    };
    let lastTurn: NodeJS.Immediate | undefined;
    // After a pause of the process the timer fires before the event loop has read a response that is there.
    const timer = setTimeout(() => {
        lastTurn = setImmediate(abort);
    }, limitTimerMs(timeoutMs));
    return {
        signal: controller.signal,
        restart: (receivedBytes) => {
            if (performance.now() - startMs > computeTrickleLimitMs(timeoutMs, receivedBytes)) {
                abort();
                return;
            }
            clearImmediate(lastTurn);
            timer.refresh();
        },
        stop: () => {
            clearTimeout(timer);
            clearImmediate(lastTurn);
        },
    };
}

/** Options of reading a body. */
type ReadOptions = Pick<ExchangeOptions, "peer" | "limitBytes" | "signal">;

/**
 * Reads the body of a response as text. Above the size limit the connection is closed, and nothing more is read from it.
 * @param response - the response
 * @param options - name of the other side, size limit, and a signal that cancels it
 * @param handleBytes - called for each chunk with the bytes received so far
 * @returns the text
 * @throws ExchangeError
 */
export async function readText(
    response: Dispatcher.ResponseData,
    options: ReadOptions,
    handleBytes: (receivedBytes: number) => void = () => undefined,
): Promise<string> {
    const { peer, signal, limitBytes = PEER_MESSAGE_LIMIT_BYTES } = options;
    try {
        assertWithinLimit(Number(response.headers["content-length"] ?? 0), peer, limitBytes);
        handleBytes(0);
        const chunks: Buffer[] = [];
        let receivedBytes = 0;
        for await (const chunk of response.body as AsyncIterable<Buffer>) {
            receivedBytes += chunk.length;
            assertWithinLimit(receivedBytes, peer, limitBytes);
            chunks.push(chunk);
            handleBytes(receivedBytes);
        }
        return Buffer.concat(chunks).toString("utf8");
    }
    catch (error) {
        response.body.on("error", () => undefined).destroy();
        throw createExchangeError(error, peer, signal);
    }
}

function assertWithinLimit(foundBytes: number, peer: string, limitBytes: number): void {
    if (foundBytes > limitBytes) {
        const message = `body of the response: found ${String(foundBytes)} bytes, more than the limit of ${
            String(limitBytes)
        }`;
        throw new ExchangeError("oversized", peer, message);
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
