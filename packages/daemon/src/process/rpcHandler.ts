/**
 * JSON-RPC 2.0 over HTTP between instances: the secret, the clock and the body around the methods.
 */
import type { JSONRPCServer } from "json-rpc-2.0";
import type { IncomingMessage, ServerResponse } from "node:http";
import { CLOCK_HEADER, receiveClock } from "../connection/peerClient.js";
import { hasSecret, readBody, type RequestHandler, sendJson } from "./httpServer.js";
import { formatHybridTime, type HybridClock } from "./hybridClock.js";

/** What the handler needs. */
export interface RpcHandlerOptions {
    readonly secret: string | undefined;
    readonly clock: HybridClock;
    readonly server: JSONRPCServer;
}

/** A snapshot of the whole state has to fit. */
const MOST_BODY_BYTES = 256 * 1_024 * 1_024;

/**
 * Creates the handler of a port for other instances.
 * @param options - secret, clock and methods
 * @returns handles one HTTP request
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
    const body = await readBody(request, MOST_BODY_BYTES);
    const answer = await options.server.receiveJSON(body.toString("utf8"));
    const headers = { [CLOCK_HEADER]: formatHybridTime(options.clock.get()) };
    if (answer === null) {
        response.writeHead(204, headers).end();
        return;
    }
    sendJson(response, 200, answer, headers);
}
