/**
 * The body of a caller's request.
 */
import type { IncomingMessage } from "node:http";
import { BodyTooLargeError, readBody } from "./httpServer.js";

/** Body that is read before the first table names a limit; as large as the example of the users' pages. */
const MOST_BODY_BYTES = 4_194_304;

/**
 * Reads a caller's body.
 * @param message - the request
 * @param limitBytes - the operator's limit; undefined before the first table
 * @returns the body, undefined where there is none, or why it can't be had
 */
export async function readCallerBody(
    message: IncomingMessage,
    limitBytes: number = MOST_BODY_BYTES,
): Promise<Buffer | undefined | "too-large" | "unreadable"> {
    try {
        const body = await readBody(message, limitBytes);
        return body.length === 0 ? undefined : body;
    }
    catch (error) {
        return error instanceof BodyTooLargeError ? "too-large" : "unreadable";
    }
}
