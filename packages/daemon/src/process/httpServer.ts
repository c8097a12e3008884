/**
 * Helpers shared by the HTTP servers of an instance: opening, closing, secrets and bodies.
 */
import { parseAddress } from "@crankfork/schemas";
import { createHash, timingSafeEqual } from "node:crypto";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { BodyBuffer } from "./bodyBuffer.js";

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
    server: Server = createServer(handle),
    idleMs: number = KEEP_ALIVE_MS,
): Promise<OpenServer> {
    const { host, port } = parseAddress(address);
    server.keepAliveTimeout = idleMs;
    server.prependListener("request", closeWithConnection);
    await listen(server, host, port);
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
 * Checks a bearer secret in constant time.
 * @param header - the `authorization` header
 * @param secret - the expected secret; undefined accepts every request
 * @returns true if the header holds the secret
 */
export function hasSecret(header: string | undefined, secret: string | undefined): boolean {
    return secret === undefined || isEqualSecret(header?.replace(/^Bearer /i, "") ?? "", secret);
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
}

/**
 * Reads a whole body.
 * @param request - the request
 * @param limitBytes - maximum size
 * @returns the body
 * @throws BodyTooLargeError as soon as the body is known to be larger
 */
export async function readBody(request: IncomingMessage, limitBytes: number): Promise<Buffer> {
    if (Number(request.headers["content-length"] ?? 0) > limitBytes) {
        throw new BodyTooLargeError();
    }
    const body = new BodyBuffer();
    let length = 0;
    for await (const chunk of request as AsyncIterable<Buffer>) {
        length += chunk.length;
        if (length > limitBytes) {
            throw new BodyTooLargeError();
        }
        body.append(chunk);
    }
    return body.copy();
}

/**
 * Sends a JSON response.
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
    const text = JSON.stringify(body);
    const bytes = Buffer.byteLength(text);
    response.writeHead(status, { "content-type": "application/json", "content-length": bytes, ...headers });
    response.end(text);
    return bytes;
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
