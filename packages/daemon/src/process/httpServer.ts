/**
 * Helpers shared by the HTTP servers of an instance: opening, closing, secrets and bodies.
 */
import { parseAddress } from "@crankfork/schemas";
import { createHash, timingSafeEqual } from "node:crypto";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { ByteBuffer } from "../connection/byteBuffer.js";
import { decodeHeaderText } from "../connection/headerText.js";
import { computeTrickleLimitMs } from "../connection/messageLimits.js";
import { startTask, startTimer } from "./startTask.js";
import { recordTaskFailure } from "./taskFailures.js";
import { limitTimerMs } from "./waitMs.js";

/** A listening server. */
export interface OpenServer {
    /** The bound address, with the assigned port if the settings say 0. */
    readonly address: string;
    /** Stops accepting connections and closes idle ones; resolves once all are closed. */
    readonly close: () => Promise<void>;
}

/** Handles one request. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** Keep-alive time of idle connections. */
const KEEP_ALIVE_MS = 30_000;

/**
 * Opens a server.
 * @param address - where to listen
 * @param handle - called for each request
 * @param server - a server with limits of its own, created with the same handler
 * @param idleMs - keep-alive time of idle connections
 * @returns the listening server
 * @throws the system's error if the address cannot be bound
 */
export async function openServer(
    address: string,
    handle: RequestHandler,
    server: Server = createServer(createSafeHandler(handle)),
    idleMs: number = KEEP_ALIVE_MS,
): Promise<OpenServer> {
    const { host, port } = parseAddress(address);
    server.keepAliveTimeout = limitTimerMs(idleMs);
    server.prependListener("request", closeWithConnection);
    await listen(server, host, port);
    // Such as a connection that could not be accepted for want of file descriptors.
    server.on("error", (error) => {
        recordTaskFailure("server", error);
    });
    const bound = server.address() as AddressInfo;
    return {
        address: `${bound.family === "IPv6" ? `[${bound.address}]` : bound.address}:${String(bound.port)}`,
        close: () =>
            new Promise((resolve) => {
                server.close(() => {
                    resolve();
                });
                server.closeIdleConnections();
            }),
    };
}

/**
 * Creates a handler that loses only the request at which another one fails.
 * @param handle - may throw
 * @returns a handler that never throws
 */
export function createSafeHandler(handle: RequestHandler): RequestHandler {
    return (request, response) => {
        response.on("error", (error) => {
            recordTaskFailure("response", error);
        });
        const run = (): void => {
            handle(request, response);
        };
        startTask("request", run, () => response.destroy());
    };
}

/**
 * Checks a bearer secret in constant time.
 * @param header - the `authorization` header
 * @param secret - the expected secret; undefined accepts every request
 * @returns true if the header holds the secret
 */
export function hasSecret(header: string | undefined, secret: string | undefined): boolean {
    return secret === undefined || isEqualSecret(decodeHeaderText(header?.replace(/^Bearer /i, "") ?? ""), secret);
}

/**
 * Compares two strings in constant time.
 * @param found - the received string
 * @param expected - the expected string
 * @returns true if they are equal
 */
export function isEqualSecret(found: string, expected: string): boolean {
    return timingSafeEqual(computeHash(found), computeHash(expected));
}

/**
 * Computes the digest under which a secret is stored.
 * @param text - the secret
 * @returns SHA-256 in hexadecimal
 */
export function computeSecretDigest(text: string): string {
    return computeHash(text).toString("hex");
}

/** The body exceeds its size limit. */
export class BodyTooLargeError extends Error {
    override readonly name = "BodyTooLargeError";

    /**
     * @param foundBytes - announced or received bytes
     * @param limitBytes - the limit
     */
    constructor(foundBytes: number, limitBytes: number) {
        super(`body: found ${String(foundBytes)} bytes, more than the limit of ${String(limitBytes)}`);
    }
}

/** Idle time of bodies where the operator sets none; the same as in the example of the platform's documentation. */
const DEFAULT_IDLE_MS = 15_000;
/** After a pause of the process the first check sees what arrived meanwhile. */
const CHECKS_PER_IDLE_TIME = 4;

/**
 * Reads a whole body. If nothing arrives for the idle time, or the body trickles, the connection is closed.
 * @param request - the request
 * @param limitBytes - maximum size
 * @param idleMs - the idle time, in milliseconds
 * @returns the body
 * @throws BodyTooLargeError as soon as the body is known to be larger; the connection can still carry a response
 */
export async function readBody(
    request: IncomingMessage,
    limitBytes: number,
    idleMs: number = DEFAULT_IDLE_MS,
): Promise<Buffer> {
    const announcedBytes = Number(request.headers["content-length"] ?? 0);
    if (announcedBytes > limitBytes) {
        throw new BodyTooLargeError(announcedBytes, limitBytes);
    }
    const body = new ByteBuffer();
    let length = 0;
    const stopWatch = watchSilence(request, idleMs);
    try {
        // Not destroyed at the limit: the connection can still carry a response.
        for await (const chunk of request.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
            length += chunk.length;
            if (length > limitBytes) {
                throw new BodyTooLargeError(length, limitBytes);
            }
            body.append(chunk);
        }
        return body.take();
    }
    finally {
        stopWatch();
    }
}

/** Counts bytes of the connection, since the body has one reader. */
function watchSilence({ socket, complete }: IncomingMessage, idleMs: number): () => void {
    if (complete) {
        return () => undefined;
    }
    const startMs = performance.now();
    const startBytes = socket.bytesRead;
    let seenBytes = startBytes;
    let silentChecks = 0;
    const timer = setInterval(() => {
        silentChecks = socket.bytesRead === seenBytes ? silentChecks + 1 : 0;
        seenBytes = socket.bytesRead;
        const elapsedMs = performance.now() - startMs;
        if (silentChecks >= CHECKS_PER_IDLE_TIME || elapsedMs > computeTrickleLimitMs(idleMs, seenBytes - startBytes)) {
            socket.destroy();
        }
    }, limitTimerMs(idleMs / CHECKS_PER_IDLE_TIME));
    return () => {
        clearInterval(timer);
    };
}

/** Time for which the rest of a request is read and dropped after its response. */
const MAX_DROP_MS = 5_000;

/**
 * Sends a JSON response, also to a client that is still sending its request (see `endResponse`).
 * @param response - a response that has not been started
 * @param status - HTTP status
 * @param body - the value to send
 * @param headers - additional headers
 * @returns the length of the body in bytes
 */
export function sendJson(
    response: ServerResponse,
    status: number,
    body: unknown,
    headers: Readonly<Record<string, string>> = {},
): number {
    const text = Buffer.from(JSON.stringify(body));
    response.writeHead(status, { "content-type": "application/json", "content-length": text.length, ...headers });
    endResponse(response, text);
    return text.length;
}

/**
 * Sends the body of a response and ends it. If the client is still sending its request, the rest is read and dropped first, for a
 * limited time, after which the connection is closed: the system resets a connection that is closed with unread bytes, so that the
 * client may lose the response.
 * @param response - a response whose headers declare the length of the body
 * @param body - the whole body
 */
export function endResponse(response: ServerResponse, body: Buffer): void {
    const { req: request } = response;
    if (request.complete || request.destroyed) {
        response.end(body);
        return;
    }
    response.write(body);
    const end = (): void => {
        clearTimeout(timer);
        response.end();
    };
    const timer = startTimer("dropped-body", MAX_DROP_MS, () => {
        // A response that is queued behind another one on the connection must not end that one.
        request.pause();
        response.end(() => {
            request.socket.destroySoon();
        });
    });
    request.once("end", end).once("close", end).resume();
}

/**
 * When a connection ends, Node.js closes the response that is being written to it, but not the responses to pipelined requests
 * that are queued behind it.
 */
function closeWithConnection({ socket }: IncomingMessage, response: ServerResponse): void {
    const handleConnectionEnd = (): void => {
        const isQueued = response.socket === null;
        if (isQueued && !response.closed) {
            response.destroy();
            response.emit("close");
        }
    };
    // A caller may send any number of requests without waiting for the responses.
    socket.setMaxListeners(0);
    socket.once("close", handleConnectionEnd);
    response.once("close", () => {
        socket.off("close", handleConnectionEnd);
    });
}

function listen(server: Server, host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, () => {
            server.off("error", reject);
            resolve();
        });
    });
}

function computeHash(text: string): Buffer {
    return createHash("sha256").update(text).digest();
}
