/**
 * One request to one upstream over a connection that is kept alive, told apart by whether anything was sent. A
 * connection is never used again after an answer that was cut, late or too long; undici sees to that, and the
 * caller compares the request's id.
 */
import { buildConnector, type Dispatcher, type Pool } from "undici";

/** What is sent. */
export interface UpstreamRequest {
    readonly address: string;
    readonly method: string;
    readonly path: string;
    /** Names and values in turn. */
    readonly headers: readonly string[];
    readonly body: Buffer | undefined;
}

/** Head of an answer. */
export interface ResponseHead {
    readonly status: number;
    /** Names and values in turn, as they came. */
    readonly rawHeaders: readonly string[];
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

/** What happens in an exchange. Exactly one of `handleEnd`, `handleBreak` and `handleKeptBack` is called, once, and last. */
export interface ExchangeHandlers {
    /** Looked at right before the first byte is written; false where nothing may be sent any more. */
    readonly shouldSend: () => boolean;
    readonly handleHead: (head: ResponseHead) => void;
    readonly handleData: (chunk: Buffer) => void;
    readonly handleEnd: () => void;
    /**
     * The exchange broke; `wasSent` tells whether some byte may have reached the upstream, `isUnreadable` whether the upstream
     * sent bytes that are no answer, in place of ending its connection.
     */
    readonly handleError: (reason: string, wasSent: boolean, isMalformed: boolean) => void;
    /** Nothing was sent, since `mayStart` said no; `handleBreak` is not called then. */
    readonly handleWithheld: () => void;
}

/** A running exchange. */
export interface OpenExchange {
    /** Ends it at once; `handleBreak` is not called any more. */
    readonly cancel: () => void;
    readonly pause: () => void;
    readonly resume: () => void;
}

/** Time for a new connection; the round trip is some milliseconds. undici's timers are exact up to a second only. */
const CONNECT_TIMEOUT_MS = 700;
/** Idle connections are closed after this time unless the upstream names a shorter one. */
export const UPSTREAM_KEEP_ALIVE_MS = 4_000;
/** An upstream's own idle time is cut by this, so that a request does not cross its close. */
const KEEP_ALIVE_MARGIN_MS = 1_000;
/** Bytes of a head that are taken. */
const MAX_HEADER_BYTES = 32_768;

/**
 * Makes a reset count as a reset. undici takes an answer without a length as whole when its connection is reset, if
 * the error has the code ECONNRESET; such an answer is cut short.
 */
function createConnector(): buildConnector.connector {
    const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
    return (options, callback) => {
        connect(options, (...result) => {
            const [, socket] = result;
            socket?.prependListener("error", (error: NodeJS.ErrnoException) => {
                error.code = error.code === "ECONNRESET" ? RESET_CODE : error.code;
            });
            callback(...result);
        });
    };
}

const RESET_CODE = "UPSTREAM_RESET";
/** How undici names the error of an answer that it can't read. */
const PARSER_ERROR_NAME = "HTTPParserError";

/** How connections to upstreams are kept. */
export const upstreamConnectionOptions: Pool.Options = {
    connect: createConnector(),
    keepAliveTimeout: UPSTREAM_KEEP_ALIVE_MS,
    keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
    maxHeaderSize: MAX_HEADER_BYTES,
    pipelining: 1,
};

/**
 * Starts an exchange.
 * @param connections - connections to the upstream
 * @param request - what is sent
 * @param handlers - what to do with the answer
 * @returns functions that steer it
 */
export function startExchange(
    connections: Dispatcher,
    request: UpstreamRequest,
    handlers: ExchangeHandlers,
): OpenExchange {
    let wasSent = false;
    let isSettled = false;
    let controller: Dispatcher.DispatchController | undefined;
    const failOnce = (error: unknown): void => {
        if (!isSettled) {
            isSettled = true;
            const { message, name } = error instanceof Error ? error : { message: String(error), name: "" };
            handlers.handleError(message, wasSent, name === PARSER_ERROR_NAME);
        }
    };
    const handler: Dispatcher.DispatchHandler = {
        onRequestStart: (started) => {
            controller = started;
            if (isSettled) {
                started.abort(new Error("cancelled"));
                return;
            }
            if (!handlers.shouldSend()) {
                isSettled = true;
                started.abort(new Error("kept back"));
                handlers.handleWithheld();
                return;
            }
            wasSent = true;
        },
        onResponseStart: (started, status, headers) => {
            if (!isSettled && status >= 200) {
                handlers.handleHead({ status, headers, rawHeaders: formatRawHeaders(started.rawHeaders, headers) });
            }
        },
        onResponseData: (_started, chunk) => {
            if (!isSettled) {
                handlers.handleData(chunk);
            }
        },
        onResponseEnd: () => {
            if (!isSettled) {
                isSettled = true;
                handlers.handleEnd();
            }
        },
        onResponseError: (_started, error) => {
            failOnce(error);
        },
    };
    try {
        connections.dispatch({
            origin: `http://${request.address}`,
            method: request.method,
            path: request.path,
            headers: [...request.headers],
            body: request.body ?? null,
        }, handler);
    }
    catch (error) {
        failOnce(error);
    }
    return {
        cancel: () => {
            isSettled = true;
            controller?.abort(new Error("cancelled"));
        },
        pause: () => controller?.pause(),
        resume: () => controller?.resume(),
    };
}

function formatRawHeaders(
    raw: unknown,
    headers: Readonly<Record<string, string | string[] | undefined>>,
): readonly string[] {
    if (Array.isArray(raw)) {
        return raw.map((part) => Buffer.isBuffer(part) ? part.toString("latin1") : String(part));
    }
    return Object.entries(headers).flatMap(([name, value]) =>
        (Array.isArray(value) ? value : [value ?? ""]).flatMap((one) => [name, one])
    );
}
