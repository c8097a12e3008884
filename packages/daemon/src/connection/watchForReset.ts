/**
 * Detection of connections that are reset, so that a part of a response without a length is not taken for the whole.
 */
import type { Socket } from "node:net";

/** The server reset the connection. undici takes a response without a length as complete where the code is ECONNRESET. */
export class ResetError extends Error {
    override readonly name = "ResetError";
    readonly code = "UPSTREAM_RESET";

    constructor() {
        super("the upstream reset the connection");
    }
}

const EMPTY = Buffer.alloc(0);

/**
 * Watches a connection whose reset arrives together with data. The runtime then reports the data and an orderly end, and
 * no error.
 * @param socket - the connection, before anything else listens to its end
 * @param handleReset - called before the other listeners of the end
 */
export function watchForReset(socket: Socket, handleReset: () => void): void {
    socket.prependListener("end", () => {
        // Sends nothing, but fails at once if the connection was reset.
        socket.write(EMPTY);
        if (socket.errored !== null) {
            handleReset();
        }
    });
}
