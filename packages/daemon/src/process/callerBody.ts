/**
 * Reads the body of a caller's request.
 */
import type { IncomingMessage } from "node:http";
import { BodyTooLargeError, readBody } from "./httpServer.js";

/** Body limit that applies before the first routing table sets one; as large as the example in the platform's documentation. */
const DEFAULT_MAX_BODY_BYTES = 4_194_304;

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
    idleMs?: number,
): Promise<Buffer | undefined | "too-large" | "unreadable"> {
    try {
        const body = await readBody(message, limitBytes, idleMs);
        return body.length === 0 ? undefined : body;
    }
    catch (error) {
        return error instanceof BodyTooLargeError ? "too-large" : "unreadable";
    }
}
