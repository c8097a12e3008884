/**
 * Probes whether a connection to an address can be established.
 */
import { parseAddress } from "@crankfork/schemas";
import { connect } from "node:net";
import { isConnectable } from "./isConnectable.js";

/**
 * Opens a connection and closes it at once.
 * @param address - host and port
 * @param timeoutMs - the time-out, in milliseconds
 * @returns whether it was established in time; never rejects
 */
export function probeConnection(address: string, timeoutMs: number): Promise<boolean> {
    if (!isConnectable(address)) {
        return Promise.resolve(false);
    }
    const { host, port } = parseAddress(address);
    return new Promise((resolve) => {
        const socket = connect({ host, port });
        const settle = (isReached: boolean): void => {
            clearTimeout(timer);
            socket.destroy();
            resolve(isReached);
        };
        // After a pause of the process the timer fires before the event loop has seen that the connection is there.
        const timer = setTimeout(() => {
            setImmediate(() => {
                settle(false);
            });
        }, timeoutMs);
        socket.once("connect", () => {
            settle(true);
        });
        socket.on("error", () => {
            settle(false);
        });
    });
}
