/**
 * Detection of connections that are reset, so that a part of a response without a length is not taken for the whole.
 */
import type { Socket } from "node:net";

/** undici takes a response without a length as complete where the code of the error is ECONNRESET. */
const RESET_CODE = "UPSTREAM_RESET";

/** The server reset the connection, or ended it where a reset cannot be distinguished from an orderly end. */
export class ResetError extends Error {
    override readonly name = "ResetError";
    readonly code = RESET_CODE;
}

const EMPTY = Buffer.alloc(0);

/**
 * Watches a connection whose reset arrives together with data. The runtime then reports the data and an orderly end, and
 * no error. While a part of the request waits to be written, only that write could find out, and it may never end: a response
 * that is delimited by such an end counts as cut.
 * @param socket - the connection, before anything else listens to its end
 * @param handleReset - called before the other listeners of the end
 */
export function watchForReset(socket: Socket, handleReset: (error: ResetError) => void): void {
    socket.prependListener("error", (error: NodeJS.ErrnoException) => {
        error.code = error.code === "ECONNRESET" ? RESET_CODE : error.code;
    });
    socket.prependListener("end", () => {
        if (socket.writableLength > 0) {
            handleReset(new ResetError("the connection ended before the whole request was sent"));
            return;
        }
        // Sends nothing, but fails at once if the connection was reset.
        socket.write(EMPTY);
        if (socket.errored !== null) {
            handleReset(new ResetError("the connection was reset"));
        }
    });
}
