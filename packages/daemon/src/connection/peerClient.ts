/**
 * JSON-RPC 2.0 client for other instances, over keep-alive HTTP connections.
 */
import { JSONRPCClient, type JSONRPCRequest, type JSONRPCResponse } from "json-rpc-2.0";
import type { Dispatcher } from "undici";
import { formatHybridTime, type HybridClock, parseHybridTime } from "../process/hybridClock.js";
import { ExchangeError, fetchJson } from "./httpClient.js";
import { getResultLimitBytes } from "./messageLimits.js";

/** Header that carries hybrid logical time between instances. */
export const CLOCK_HEADER = "x-crankfork-clock";

/** Options of the peer client. */
export interface PeerClientOptions {
    readonly agent: Dispatcher;
    readonly secret: string | undefined;
    readonly clock: HybridClock;
    /** Called for each request that is sent. */
    readonly recordRequest?: (method: string, bytes: number) => void;
    /** Called for each request that failed, with the kind of its failure. */
    readonly recordFailure?: (method: string, failure: string) => void;
}

/** Sends JSON-RPC requests to other instances. */
export interface PeerClient {
    /**
     * Sends a request and waits for the result. Rejects with ExchangeError, also if no byte arrives within the given
     * time, or with the peer's JSON-RPC error.
     */
    readonly call: (
        address: string,
        method: string,
        parameters: object,
        inactivityTimeoutMs: number,
    ) => Promise<unknown>;
    /**
     * Sends a message of a protocol that tolerates message loss, and passes on the replies in the response. Failures
     * are ignored.
     */
    readonly send: (address: string, method: string, parameters: object, handleReplies: (raw: unknown) => void) => void;
}

const SEND_TIMEOUT_MS = 2_000;

/**
 * Creates a client for any peer.
 * @param options - connections, secret and clock
 * @returns the client
 */
export function createPeerClient(options: PeerClientOptions): PeerClient {
    const createHeaders = (): Record<string, string> => ({
        "content-type": "application/json",
        [CLOCK_HEADER]: formatHybridTime(options.clock.get()),
        ...(options.secret === undefined ? {} : { authorization: `Bearer ${options.secret}` }),
    });
    const send = (address: string, method: string, payload: object, timeoutMs: number): Promise<unknown> => {
        const body = JSON.stringify(payload);
        options.recordRequest?.(method, Buffer.byteLength(body));
        return fetchJson(
            {
                agent: options.agent,
                peer: address,
                url: `http://${address}/rpc`,
                method: "POST",
                headers: createHeaders(),
                body,
                limitBytes: getResultLimitBytes(method),
                handleHeaders: (headers) => {
                    receiveClock(options.clock, headers[CLOCK_HEADER]);
                },
            },
            timeoutMs,
            "silence",
        );
    };
    const call: PeerClient["call"] = async (address, method, parameters, inactivityTimeoutMs) => {
        let failure: unknown;
        const client: JSONRPCClient = new JSONRPCClient(async (payload: JSONRPCRequest) => {
            try {
                const response = await send(address, method, payload, inactivityTimeoutMs);
                assertAnswers(response, payload, address);
                client.receive(response);
            }
            catch (error) {
                failure = error;
                throw error;
            }
        });
        try {
            return await (client.request(method, parameters) as Promise<unknown>);
        }
        catch (error) {
            options.recordFailure?.(method, failure instanceof ExchangeError ? failure.failure : "error");
            // The JSON-RPC client passes on only the message of an error.
            throw failure ?? error;
        }
    };
    return {
        call,
        send: (address, method, parameters, handleReplies) => {
            call(address, method, parameters, SEND_TIMEOUT_MS).then(handleReplies).catch(() => undefined);
        },
    };
}

/** The JSON-RPC client ignores other responses and waits on. */
function assertAnswers(response: unknown, request: JSONRPCRequest, peer: string): asserts response is JSONRPCResponse {
    const id = typeof response === "object" && response !== null && "id" in response ? response.id : undefined;
    if (id !== request.id) {
        throw new ExchangeError("unreadable", peer, `response to ${request.method}: found no result of the request`);
    }
}

/**
 * Advances the clock by the time received in a header.
 * @param clock - the clock of this process
 * @param header - the value of the header, if present
 */
export function receiveClock(clock: HybridClock, header: string | string[] | undefined): void {
    const time = typeof header === "string" ? parseHybridTime(header) : undefined;
    if (time !== undefined) {
        clock.receive(time);
    }
}
