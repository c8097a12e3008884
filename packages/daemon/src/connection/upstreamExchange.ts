/**
 * One HTTP exchange with an upstream over a keep-alive connection. Failures tell whether anything may have been sent. A
 * connection is not reused after a truncated, late or oversized response: undici ensures this, and the caller compares
 * the request id.
 */
import { buildConnector, type Dispatcher } from "undici";
import type { BoundedOptions } from "./boundedPool.js";
import { describeFailure, type ExchangeFailure } from "./exchangeFailure.js";
import type { RequestDispatcher } from "./observeDispatch.js";
import { formatRawHeaders } from "./rawHeaders.js";
import { isInterim } from "./responseRule.js";
import { withConnectTimeout } from "./withConnectTimeout.js";

/** A request to an upstream. */
export interface UpstreamRequest {
    readonly address: string;
    readonly method: string;
    readonly path: string;
    /** Alternating names and values. */
    readonly headers: readonly string[];
    readonly body: Buffer | undefined;
}

/** Status and headers of a response. */
export interface ResponseHead {
    readonly status: number;
    /** Alternating names and values, as received. */
    readonly rawHeaders: readonly string[];
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

/**
 * Callbacks of an exchange. Exactly one of `handleEnd`, `handleError` and `handleWithheld` is called, once, as the last
 * callback.
 */
export interface ExchangeHandlers {
    /** Checked right before the first byte is written; false if nothing may be sent any more. */
    readonly shouldSend: () => boolean;
    readonly handleHead: (head: ResponseHead) => void;
    readonly handleData: (chunk: Buffer) => void;
    readonly handleEnd: () => void;
    readonly handleError: (failure: ExchangeFailure) => void;
    /** Nothing was sent because `shouldSend` returned false, or because the upstream asked a relay to back off. */
    readonly handleWithheld: () => void;
}

/** An exchange in progress. */
export interface OpenExchange {
    /** Aborts it; no further callback follows. */
    readonly cancel: () => void;
    readonly pause: () => void;
    readonly resume: () => void;
}

/** Round trips take a few milliseconds. A lost SYN is retransmitted only after 1 s, so another attempt is faster. */
const CONNECT_TIMEOUT_MS = 300;
/** Keep-alive time of idle connections, unless the upstream states a shorter one. */
export const UPSTREAM_KEEP_ALIVE_MS = 4_000;
/** Subtracted from the keep-alive time that an upstream states, so that a request does not race with its close. */
const KEEP_ALIVE_MARGIN_MS = 1_000;

/** Options of the connection pools to upstreams. */
export const upstreamConnectionOptions: BoundedOptions = {
    connect: withConnectTimeout(buildConnector({}), CONNECT_TIMEOUT_MS),
    keepAliveTimeout: UPSTREAM_KEEP_ALIVE_MS,
    keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
    pipelining: 1,
};

/**
 * Starts an exchange.
 * @param connections - connections to the upstream
 * @param request - the request
 * @param handlers - callbacks for the response
 * @returns functions that control the exchange
 */
export function startExchange(
    connections: RequestDispatcher,
    request: UpstreamRequest,
    handlers: ExchangeHandlers,
): OpenExchange {
    let wasSent = false;
    let isSettled = false;
    let controller: Dispatcher.DispatchController | undefined;
    const failOnce = (error: unknown): void => {
        if (!isSettled) {
            isSettled = true;
            const failure = describeFailure(error, wasSent);
            if (failure === undefined) {
                handlers.handleWithheld();
            }
            else {
                handlers.handleError(failure);
            }
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
                started.abort(new Error("withheld"));
                handlers.handleWithheld();
                return;
            }
            wasSent = true;
        },
        onResponseStart: (started, status, headers) => {
            if (!isSettled && !isInterim(status)) {
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
                // undici passes an error that is thrown here to onResponseError.
                handlers.handleEnd();
                isSettled = true;
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
