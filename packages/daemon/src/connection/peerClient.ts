/**
 * JSON-RPC 2.0 to other instances, over HTTP that is kept alive.
 */
import { JSONRPCClient, type JSONRPCResponse } from "json-rpc-2.0";
import type { Dispatcher } from "undici";
import { formatHybridTime, type HybridClock, parseHybridTime } from "../process/hybridClock.js";
import { fetchJson } from "./httpClient.js";

/** The header that carries hybrid logical time between instances. */
export const CLOCK_HEADER = "x-crankfork-clock";

/** What the client is made with. */
export interface PeerClientOptions {
    readonly agent: Dispatcher;
    readonly secret: string | undefined;
    readonly clock: HybridClock;
    /** Told of each question that is sent. */
    readonly recordRequest?: (method: string, bytes: number) => void;
}

/** Speaks to other instances. */
export interface PeerClient {
    /**
     * Asks and waits for the result; rejects with ExchangeError, also where nothing came for the given time, or with the
     * peer's JSON-RPC error.
     */
    readonly call: (
        address: string,
        method: string,
        parameters: object,
        inactivityTimeoutMs: number,
    ) => Promise<unknown>;
    /**
     * Sends a message of a protocol that bears losses, and hands on the messages that answered it at once.
     * Failures are left to the protocol.
     */
    readonly send: (address: string, method: string, parameters: object, handleReplies: (raw: unknown) => void) => void;
}

const SEND_TIMEOUT_MS = 2_000;

/**
 * Creates the client.
 * @param options - connections, secret and clock
 * @returns functions for any peer
 */
export function createPeerClient(options: PeerClientOptions): PeerClient {
    const createHeaders = (): Record<string, string> => ({
        "content-type": "application/json",
        [CLOCK_HEADER]: formatHybridTime(options.clock.get()),
        ...(options.secret === undefined ? {} : { authorization: `Bearer ${options.secret}` }),
    });
    const call: PeerClient["call"] = async (address, method, parameters, inactivityTimeoutMs) => {
        const client: JSONRPCClient = new JSONRPCClient(async (payload) => {
            const body = JSON.stringify(payload);
            options.recordRequest?.(method, Buffer.byteLength(body));
            const response = await fetchJson(
                {
                    agent: options.agent,
                    peer: address,
                    url: `http://${address}/rpc`,
                    method: "POST",
                    headers: createHeaders(),
                    body,
                    handleHeaders: (headers) => {
                        receiveClock(options.clock, headers[CLOCK_HEADER]);
                    },
                },
                inactivityTimeoutMs,
                "silence",
            );
            client.receive(response as JSONRPCResponse);
        });
        return await (client.request(method, parameters) as Promise<unknown>);
    };
    return {
        call,
        send: (address, method, parameters, handleReplies) => {
            call(address, method, parameters, SEND_TIMEOUT_MS).then(handleReplies).catch(() => undefined);
        },
    };
}

/**
 * Takes the time that came in a header.
 * @param clock - the clock of this process
 * @param header - the header, if any
 */
export function receiveClock(clock: HybridClock, header: string | string[] | undefined): void {
    const time = typeof header === "string" ? parseHybridTime(header) : undefined;
    if (time !== undefined) {
        clock.receive(time);
    }
}
