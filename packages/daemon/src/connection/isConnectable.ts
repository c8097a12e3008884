/**
 * Addresses that others name.
 */
import { MAX_PORT, parseAddress } from "@crankfork/schemas";

/**
 * Checks whether a connection to an address can be attempted. The runtime throws for others, or connects elsewhere.
 * @param address - `host:port`, from a message, a document or the replicated state
 * @returns false if it names no host or no port
 */
export function isConnectable(address: string): boolean {
    const { host, port } = parseAddress(address);
    const origin = `http://${address}`;
    if (host === "" || !(port >= 1 && port <= MAX_PORT) || !URL.canParse(origin)) {
        return false;
    }
    const { username, password, pathname, search, hash } = new URL(origin);
    return username === "" && password === "" && pathname === "/" && search === "" && hash === "";
}

/** No connection to an address can be attempted. */
export class UnconnectableError extends Error {
    override readonly name = "UnconnectableError";

    /**
     * @param address - the address
     */
    constructor(address: string) {
        super(`no host and port to connect to: ${address}`);
    }
}
