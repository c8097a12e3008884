/**
 * JSON-RPC 2.0 over HTTP between instances: authentication, clock exchange and bodies.
 */
import type { JSONRPCServer } from "json-rpc-2.0";
import type { IncomingMessage, ServerResponse } from "node:http";
import { setImmediate } from "node:timers/promises";
import { CLOCK_HEADER, receiveClock } from "../connection/peerClient.js";
import { hasSecret, readBody, type RequestHandler, sendJson } from "./httpServer.js";
import { formatHybridTime, type HybridClock } from "./hybridClock.js";
import type { PeerTraffic } from "./peerTraffic.js";

/** Options of the handler. */
export interface RpcHandlerOptions {
    readonly secret: string | undefined;
    readonly clock: HybridClock;
    readonly server: JSONRPCServer;
    /** Called for each answer once it has been sent or the caller has disconnected. */
    readonly recordResponse?: PeerTraffic["recordResponse"];
}

/**
 * Methods whose messages count although nobody waits for the response, such as a vote that is late. Replies within the response are
 * lost; answers that follow a sync are messages of their own.
 */
const ONE_WAY_METHODS: ReadonlySet<string> = new Set(["replica", "member"]);
/** Large enough for a snapshot of the whole state. */
const MAX_BODY_BYTES = 256 * 1_024 * 1_024;

/**
 * Creates the handler of a port for other instances.
 * @param options - secret, clock and methods
 * @returns a handler of HTTP requests
 */
export function createRpcHandler(options: RpcHandlerOptions): RequestHandler {
    return (request, response) => {
        handleRpc(options, request, response).catch(() => {
            response.destroy();
        });
    };
}

async function handleRpc(
    options: RpcHandlerOptions,
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> {
    if (!hasSecret(request.headers.authorization, options.secret)) {
        sendJson(response, 401, { error: "the peers' secret is wrong" });
        return;
    }
    receiveClock(options.clock, request.headers[CLOCK_HEADER]);
    const body = await readBody(request, MAX_BODY_BYTES);
    const text = body.toString("utf8");
    // After a stall of this process there are requests whose callers have given up. The end of such a connection is read one turn
    // of the event loop after its data.
    await setImmediate();
    await setImmediate();
    if (isCallerGone(request)) {
        const method = readMethod(text);
        options.recordResponse?.(method, 0, "abandoned");
        response.destroy();
        if (ONE_WAY_METHODS.has(method)) {
            await options.server.receiveJSON(text);
        }
        return;
    }
    const answer = await options.server.receiveJSON(text);
    const headers = { [CLOCK_HEADER]: formatHybridTime(options.clock.get()) };
    if (answer === null) {
        response.writeHead(204, headers).end();
        return;
    }
    const bytes = sendJson(response, 200, answer, headers);
    response.once("close", () => {
        options.recordResponse?.(readMethod(text), bytes, response.writableFinished ? "handed-over" : "abandoned");
    });
}

/** Peers close a connection only to give up the request on it. */
function isCallerGone({ socket }: IncomingMessage): boolean {
    return socket.destroyed || socket.readableEnded;
}

/** The project's own client writes the method near the start of the body, which avoids a second parse of a large body. */
function readMethod(text: string): string {
    return METHOD_PATTERN.exec(text.slice(0, METHOD_SEARCH_LENGTH))?.[1] ?? "unknown";
}

const METHOD_PATTERN = /"method":"(\w+)"/;
const METHOD_SEARCH_LENGTH = 200;
