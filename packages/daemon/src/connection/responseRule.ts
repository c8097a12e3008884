/**
 * The rule for heads of responses, whoever sent them. undici's parser rejects lines that are none of HTTP/1.1; it accepts any
 * number of three digits as status, and any transfer coding.
 */
import { validateHeaderName, validateHeaderValue } from "node:http";

const FIRST_STATUS = 100;
const SWITCHING_PROTOCOLS = 101;
/** The status of a final response lies between these (RFC 9110, section 15). */
const FIRST_FINAL_STATUS = 200;
const LAST_STATUS = 599;
const LENGTH_PATTERN = /^\d+$/;

/** The head of a response is invalid. */
export class InvalidHeadError extends Error {
    override readonly name = "InvalidHeadError";
}

/**
 * Checks whether a response is an interim one, which another one follows.
 * @param status - its status
 * @returns true for 1xx
 */
export function isInterim(status: number): boolean {
    return status >= FIRST_STATUS && status < FIRST_FINAL_STATUS;
}

/**
 * Checks the head of a response. No request asks for another protocol or a transfer coding, so chunks are the only valid one:
 * the body of another would not be that of the response.
 * @param status - the status
 * @param rawHeaders - alternating names and values
 * @throws InvalidHeadError
 */
export function assertValidHead(status: number, rawHeaders: readonly string[]): void {
    if (!Number.isInteger(status) || status < FIRST_STATUS || status > LAST_STATUS || status === SWITCHING_PROTOCOLS) {
        throw new InvalidHeadError(`status ${String(status)}: expected one from 200 to ${String(LAST_STATUS)}`);
    }
    // Blanks around a value are no part of it (RFC 9110, section 5.5), and undici keeps those after it. It does not decode chunks if
    // there is a tab.
    const lengths: string[] = [];
    const codings: string[] = [];
    for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
        const name = rawHeaders[at] ?? "";
        const value = rawHeaders[at + 1] ?? "";
        assertValidLine(name, value);
        switch (name.toLowerCase()) {
            case "content-length":
                lengths.push(trimBlanks(value));
                break;
            case "transfer-encoding":
                codings.push(trimBlanks(value));
                break;
        }
    }
    if (lengths.length + codings.length > 1 || lengths.some((length) => !LENGTH_PATTERN.test(length))) {
        throw new InvalidHeadError(`length ${lengths.join("; ")}, transfer coding ${codings.join("; ")}`);
    }
    if (codings.some((coding) => coding.toLowerCase() !== "chunked")) {
        throw new InvalidHeadError(`transfer coding ${codings.join("; ")}: expected chunked`);
    }
}

function trimBlanks(value: string): string {
    return value.replace(/^ +| +$/g, "");
}

function assertValidLine(name: string, value: string): void {
    try {
        validateHeaderName(name);
        validateHeaderValue(name, value);
    }
    catch (error) {
        throw new InvalidHeadError(error instanceof Error ? error.message : String(error));
    }
}
