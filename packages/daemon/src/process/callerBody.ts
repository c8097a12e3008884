/**
 * Reads the body of a caller's request.
 */
import type { IncomingMessage } from "node:http";
import { computeTrickleLimitMs } from "../connection/messageLimits.js";
import { BodyTooLargeError, readBody } from "./httpServer.js";

/** Body limit that applies before the first routing table sets one; as large as the example in the platform's documentation. */
const DEFAULT_MAX_BODY_BYTES = 4_194_304;
/** After a pause of the process the first check sees what arrived meanwhile. */
const CHECKS_PER_IDLE_TIME = 4;

/**
 * Reads a caller's body. If nothing arrives for the idle time, or the body trickles, the connection is closed.
 * @param message - the request
 * @param limitBytes - the operator's limit; omitted before the first routing table
 * @param idleMs - the operator's idle time, in milliseconds; omitted before the first routing table
 * @returns the body, undefined if it is empty, or why it could not be read
 */
export async function readCallerBody(
    message: IncomingMessage,
    limitBytes: number = DEFAULT_MAX_BODY_BYTES,
    idleMs: number = Number.POSITIVE_INFINITY,
): Promise<Buffer | undefined | "too-large" | "unreadable"> {
    const stop = message.complete || idleMs === Number.POSITIVE_INFINITY ? undefined : closeIfSilent(message, idleMs);
    try {
        const body = await readBody(message, limitBytes);
        return body.length === 0 ? undefined : body;
    }
    catch (error) {
        return error instanceof BodyTooLargeError ? "too-large" : "unreadable";
    }
    finally {
        stop?.();
    }
}

/** Counts bytes of the connection, since the body has one reader. */
function closeIfSilent(message: IncomingMessage, idleMs: number): () => void {
    const { socket } = message;
    const startMs = performance.now();
    const startBytes = socket.bytesRead;
    let seenBytes = startBytes;
    let silentChecks = 0;
    const timer = setInterval(() => {
        silentChecks = socket.bytesRead === seenBytes ? silentChecks + 1 : 0;
        seenBytes = socket.bytesRead;
        const elapsedMs = performance.now() - startMs;
        if (silentChecks >= CHECKS_PER_IDLE_TIME || elapsedMs > computeTrickleLimitMs(idleMs, seenBytes - startBytes)) {
            socket.destroy();
        }
    }, idleMs / CHECKS_PER_IDLE_TIME);
    return () => {
        clearInterval(timer);
    };
}
