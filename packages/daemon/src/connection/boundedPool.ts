/**
 * HTTP connections that accept only valid and complete responses: they check the head, report a reset as such, and bound what a
 * server may send besides the bodies of its responses. undici
 * bounds the size of a head only: interim responses, blank lines, a reason phrase, chunk sizes and chunk extensions may go
 * on without end.
 */
import type { Socket } from "node:net";
import { type buildConnector, Client, type Dispatcher, errors, Pool } from "undici";
import { UPSTREAM_HEAD_LIMIT_BYTES } from "./messageLimits.js";
import { formatRawHeaders } from "./rawHeaders.js";
import { assertValidHead, isInterim } from "./responseRule.js";
import { type ResetError, watchForReset } from "./watchForReset.js";

/** Bytes without a final head or a part of a body after which a connection is closed; above the largest head. */
const MAX_UNUSED_BYTES = 128 * 1_024;
/** Not reached: undici creates an error for each header above its maximum, which takes seconds where headers are short. */
const UNDICI_MAX_HEADER_BYTES = 4 * MAX_UNUSED_BYTES;
/** Framing of a body that is larger than this, and than twice the content. */
const MAX_FRAMING_BYTES = 256 * 1_024;
/** A head comes in a few reads; one that comes in more, and for this long, is not going to end. */
const MAX_UNUSED_READS = 32;
const MAX_UNUSED_MS = 1_000;
/** Interim responses to one request. */
const MAX_INTERIM_RESPONSES = 16;

/** The server sent more than a response may have. */
export class EndlessResponseError extends Error {
    override readonly name = "EndlessResponseError";
    /** undici keeps requests that wait for a new connection where one without a request fails with this code. */
    readonly code = "UND_ERR_SOCKET";
}

/** Options of the connections; `maxHeaderSize` applies to all headers of a response together. */
export type BoundedOptions = Pool.Options & { readonly connect: buildConnector.connector; };

/** Connections to one server. */
export class BoundedPool extends Pool {
    /** Clients by the options object of the exchange that they run, which a pool passes on to the client that it chose. */
    private readonly guards: WeakMap<Dispatcher.DispatchOptions, ConnectionGuard>;
    private readonly headLimitBytes: number;

    /**
     * @param origin - the server
     * @param options - options of its clients, with the connector that opens their connections
     */
    constructor(origin: string, options: BoundedOptions) {
        const guards = new WeakMap<Dispatcher.DispatchOptions, ConnectionGuard>();
        super(origin, { ...options, factory: (url) => new BoundedClient(url, options, new ConnectionGuard(), guards) });
        this.guards = guards;
        this.headLimitBytes = options.maxHeaderSize ?? UPSTREAM_HEAD_LIMIT_BYTES;
    }

    /**
     * Sends a request.
     * @param options - the request
     * @param handler - receives the response
     * @returns false if all connections are busy
     */
    override dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
        const own = { ...options };
        return super.dispatch(own, createBoundedHandler(handler, this.headLimitBytes, () => this.guards.get(own)));
    }
}

class BoundedClient extends Client {
    constructor(
        origin: URL,
        options: BoundedOptions,
        private readonly guard: ConnectionGuard,
        private readonly guards: WeakMap<Dispatcher.DispatchOptions, ConnectionGuard>,
    ) {
        super(origin, {
            ...options,
            pipelining: 1,
            maxHeaderSize: UNDICI_MAX_HEADER_BYTES,
            connect: guard.watchConnections(options.connect),
        });
    }

    override dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
        this.guards.set(options, this.guard);
        return super.dispatch(options, handler);
    }
}

/** Counts the bytes on a client's connection that belong to no body. */
class ConnectionGuard {
    private socket: Socket | undefined;
    /** Bytes received up to the last that were used. */
    private usedBytes = 0;
    /** Reads since then, and when the first of them was. */
    private unusedReads = 0;
    private unusedSinceMs = 0;
    /** Bytes received before the present exchange, and the content received in it. */
    private startBytes = 0;
    private contentBytes = 0;
    private isRunning = false;
    private reset: ResetError | undefined;

    watchConnections(connect: buildConnector.connector): buildConnector.connector {
        return (options, callback) => {
            connect(options, (...result) => {
                const [error, socket] = result;
                if (error === null) {
                    this.socket = socket;
                    this.reset = undefined;
                    watchForReset(socket, (reset) => {
                        this.reset = reset;
                    });
                    this.recordUse();
                    socket.on("readable", () => {
                        this.check(socket);
                    });
                }
                callback(...result);
            });
        };
    }

    start(): void {
        this.isRunning = true;
        this.recordUse();
        this.startBytes = this.usedBytes;
        this.contentBytes = 0;
    }

    recordContent(bytes: number): void {
        this.contentBytes += bytes;
        this.recordUse();
    }

    recordUse(): void {
        this.usedBytes = this.socket?.bytesRead ?? 0;
        this.unusedReads = 0;
    }

    /** Returns an error if the connection was reset, so that its end is not that of the response. */
    end(): ResetError | undefined {
        this.isRunning = false;
        this.recordUse();
        return this.reset;
    }

    private check(socket: Socket): void {
        const unusedBytes = socket.bytesRead - this.usedBytes;
        if (socket !== this.socket || socket.destroyed) {
            return;
        }
        // Checked first, since a read that the receiver pauses is counted as used as a whole.
        if (this.isRunning && this.isMostlyFraming(socket)) {
            socket.destroy(new EndlessResponseError("more framing than content"));
            return;
        }
        if (unusedBytes === 0) {
            return;
        }
        const nowMs = performance.now();
        if (this.unusedReads === 0) {
            this.unusedSinceMs = nowMs;
        }
        this.unusedReads += 1;
        if (!this.isRunning) {
            socket.destroy(new EndlessResponseError("bytes that belong to no response"));
        }
        else if (unusedBytes > MAX_UNUSED_BYTES || this.isTrickling(nowMs)) {
            socket.destroy(
                new EndlessResponseError(`${String(unusedBytes)} bytes without an end of a head or a chunk`),
            );
        }
    }

    private isMostlyFraming(socket: Socket): boolean {
        const framingBytes = socket.bytesRead - this.startBytes - this.contentBytes;
        return framingBytes > MAX_FRAMING_BYTES && framingBytes > 2 * this.contentBytes;
    }

    private isTrickling(nowMs: number): boolean {
        return this.unusedReads > MAX_UNUSED_READS && nowMs - this.unusedSinceMs > MAX_UNUSED_MS;
    }
}

/** Wraps the handler of an exchange; the client that it runs on is known from its start. */
function createBoundedHandler(
    handler: Dispatcher.DispatchHandler,
    headLimitBytes: number,
    getGuard: () => ConnectionGuard | undefined,
): Dispatcher.DispatchHandler {
    let interimResponses = 0;
    let guard: ConnectionGuard | undefined;
    return {
        onRequestStart: (controller, context) => {
            guard = getGuard();
            guard?.start();
            handler.onRequestStart?.(controller, context);
        },
        onResponseStart: (controller, status, headers, text) => {
            interimResponses += isInterim(status) ? 1 : 0;
            const rawHeaders = formatRawHeaders(controller.rawHeaders, headers);
            if (sumBytes(rawHeaders) > headLimitBytes) {
                controller.abort(
                    new errors.HeadersOverflowError(`headers larger than ${String(headLimitBytes)} bytes`),
                );
                return;
            }
            if (interimResponses > MAX_INTERIM_RESPONSES) {
                const reason = `more than ${String(MAX_INTERIM_RESPONSES)} interim responses`;
                controller.abort(new EndlessResponseError(reason));
                return;
            }
            // An error that is thrown here aborts the exchange.
            assertValidHead(status, rawHeaders);
            if (!isInterim(status)) {
                guard?.recordUse();
            }
            handler.onResponseStart?.(controller, status, headers, text);
        },
        onResponseData: (controller, chunk) => {
            guard?.recordContent(chunk.length);
            handler.onResponseData?.(controller, chunk);
        },
        onResponseEnd: (controller, trailers) => {
            const error = guard?.end();
            if (error === undefined) {
                handler.onResponseEnd?.(controller, trailers);
            }
            else {
                handler.onResponseError?.(controller, error);
            }
        },
        onResponseError: (controller, error) => {
            guard?.end();
            handler.onResponseError?.(controller, error);
        },
    };
}

function sumBytes(rawHeaders: readonly string[]): number {
    return rawHeaders.reduce((sum, { length }) => sum + length, 0);
}
