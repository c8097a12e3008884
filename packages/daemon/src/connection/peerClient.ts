/**
 * JSON-RPC 2.0 to other instances, over HTTP that is kept alive.
 */
import { JSONRPCClient, type JSONRPCResponse } from "json-rpc-2.0";
import type { Agent } from "undici";
import { formatHybridTime, type HybridClock, parseHybridTime } from "../process/hybridClock.js";
import { fetchJson, sendRequest } from "./httpClient.js";

/** The header that carries hybrid logical time between instances. */
export const CLOCK_HEADER = "x-crankfork-clock";

/** What the client is made with. */
export interface PeerClientOptions {
    readonly agent: Agent;
    readonly secret: string | undefined;
    readonly clock: HybridClock;
}

/** Speaks to other instances. */
export interface PeerClient {
    /** Sends a message that nobody waits for; failures are left to the protocol above. */
    readonly notify: (address: string, method: string, parameters: object) => void;
    /** Asks and waits for the result; rejects with ExchangeError or the peer's JSON-RPC error. */
    readonly ask: (address: string, method: string, parameters: object, timeoutMs: number) => Promise<unknown>;
}

const NOTIFY_TIMEOUT_MS = 2_000;

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
    const notifyAsync = async (address: string, body: string): Promise<void> => {
        const signal = AbortSignal.timeout(NOTIFY_TIMEOUT_MS);
        const url = `http://${address}/rpc`;
        const response = await sendRequest({
            agent: options.agent,
            peer: address,
            url,
            method: "POST",
            headers: createHeaders(),
            body,
            signal,
        });
        receiveClock(options.clock, response.headers[CLOCK_HEADER]);
        await response.body.dump();
    };
    return {
        notify: (address, method, parameters) => {
            const body = JSON.stringify({ jsonrpc: "2.0", method, params: parameters });
            notifyAsync(address, body).catch(() => undefined);
        },
        ask: async (address, method, parameters, timeoutMs) => {
            const client: JSONRPCClient = new JSONRPCClient(async (payload) => {
                const answer = await fetchJson({
                    agent: options.agent,
                    peer: address,
                    url: `http://${address}/rpc`,
                    method: "POST",
                    headers: createHeaders(),
                    body: JSON.stringify(payload),
                }, timeoutMs);
                client.receive(answer as JSONRPCResponse);
            });
            return await (client.request(method, parameters) as Promise<unknown>);
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
