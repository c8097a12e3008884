/**
 * The port for callers, with the operator's limits on heads and on the time that a request may take to arrive.
 */
import type { RoutingTable } from "@crankfork/schemas";
import { createServer, type IncomingMessage, type Server, type ServerResponse, STATUS_CODES } from "node:http";
import { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { createSafeHandler, type OpenServer, openServer, type RequestHandler, sendJson } from "../httpServer.js";
import { limitTimerMs } from "../waitMs.js";

/** Limits of the routing table. */
type Limits = RoutingTable["limits"];

/** Largest head, whatever the operator's limit: four times the example in the platform's documentation. */
const MAX_HEADER_BYTES = 65_536;
const REQUEST_TIMEOUT = 408;
const HEAD_TOO_LARGE = 431;
/** Interval at which requests that take too long are looked for. */
const CHECK_INTERVAL_MS = 250;
/** Bytes of a request line and of a header apart from their parts: two spaces, the version and a line end; `: ` and a line end. */
const REQUEST_LINE_BYTES = "  HTTP/1.1\r\n".length;
const HEADER_BYTES = ": \r\n".length;

/** The port for callers. */
export class CallerPort {
    private headerLimitBytes = MAX_HEADER_BYTES;
    /** Open requests of each connection. */
    private readonly openRequests = new WeakMap<Duplex, number>();

    private constructor(
        private readonly server: Server,
        private readonly handleRequest: RequestHandler,
    ) {}

    /**
     * Opens the port.
     * @param address - where to listen
     * @param handle - called for each request within the limits
     * @returns the port
     * @throws the system's error if the address cannot be bound
     */
    static async open(address: string, handle: RequestHandler): Promise<CallerPort & OpenServer> {
        const server = createServer({
            maxHeaderSize: MAX_HEADER_BYTES,
            requestTimeout: 0,
            connectionsCheckingInterval: CHECK_INTERVAL_MS,
        });
        const port = new CallerPort(server, handle);
        const receive = createSafeHandler((request, response) => {
            port.receive(request, response);
        });
        server.on("request", receive).on("clientError", (error: NodeJS.ErrnoException, socket) => {
            port.handleClientError(error, socket);
        });
        return Object.assign(port, await openServer(address, receive, server));
    }

    /**
     * Applies the operator's limits. Callers may reuse a connection that has been idle for up to four fifths of the idle
     * time; the server keeps it for all of it.
     * @param limits - limits of the routing table
     */
    applyLimits(limits: Limits): void {
        this.server.keepAliveTimeout = limitTimerMs(limits.idle_timeout_ms);
        this.server.headersTimeout = limitTimerMs(limits.header_timeout_ms);
        this.headerLimitBytes = limits.header_bytes;
    }

    private receive(request: IncomingMessage, response: ServerResponse): void {
        const { socket } = request;
        this.openRequests.set(socket, this.countOpen(socket) + 1);
        response.once("close", () => {
            this.openRequests.set(socket, this.countOpen(socket) - 1);
        });
        if (countHeadBytes(request) > this.headerLimitBytes) {
            sendJson(response, HEAD_TOO_LARGE, { error: "the head is larger than allowed" }, { connection: "close" });
            return;
        }
        this.handleRequest(request, response);
    }

    private handleClientError({ code }: NodeJS.ErrnoException, socket: Duplex): void {
        const isLate = code === "ERR_HTTP_REQUEST_TIMEOUT";
        if (isLate && socket instanceof Socket && socket.bytesRead === 0) {
            this.closeUnlessUsed(socket);
            return;
        }
        const status = isLate ? REQUEST_TIMEOUT : code === "HPE_HEADER_OVERFLOW" ? HEAD_TOO_LARGE : undefined;
        if (status !== undefined && socket.writable && this.countOpen(socket) === 0) {
            const reason = STATUS_CODES[status] ?? "";
            socket.write(`HTTP/1.1 ${String(status)} ${reason}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n`);
        }
        socket.destroy();
    }

    /**
     * The server's limit on the time of a head counts from the opening of a connection, which may also be idle before its
     * first request. The limit counts again from the first byte.
     */
    private closeUnlessUsed(socket: Socket): void {
        const { keepAliveTimeout, headersTimeout } = this.server;
        const timer = setTimeout(() => {
            if (socket.bytesRead === 0) {
                socket.destroy();
            }
        }, Math.max(0, keepAliveTimeout - headersTimeout));
        socket.once("close", () => {
            clearTimeout(timer);
        });
    }

    private countOpen(socket: Duplex): number {
        return this.openRequests.get(socket) ?? 0;
    }
}

function countHeadBytes({ method, url, rawHeaders }: IncomingMessage): number {
    const lineBytes = (method?.length ?? 0) + (url?.length ?? 0) + REQUEST_LINE_BYTES;
    return rawHeaders.reduce((sum, part) => sum + part.length, lineBytes + rawHeaders.length / 2 * HEADER_BYTES + 2);
}
