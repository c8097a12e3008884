/**
 * Text in header values, as UTF-8. Node.js and undici take and give a header value as one character a byte.
 */
import { isUtf8 } from "node:buffer";

/** Control characters, and blanks that a receiver would trim. */
const NOT_CARRIED_IN_TEXT = /[\0-\x1f\x7f]|^ +| +$/g;
/** Control characters that HTTP clients refuse. */
const REFUSED_IN_VALUE = /[\0-\x08\x0a-\x1f\x7f]/g;

/**
 * Encodes text as a header value that HTTP clients accept.
 * @param text - any text, such as the name of an upstream
 * @returns the bytes of the text in UTF-8, one a character; control characters and outer blanks are percent-encoded
 */
export function encodeHeaderText(text: string): string {
    return Buffer.from(text.replace(NOT_CARRIED_IN_TEXT, encodeURIComponent), "utf8").toString("latin1");
}

/**
 * Percent-encodes what HTTP clients refuse in a header value.
 * @param value - a value with one character a byte, such as the id of an event
 * @returns the value, unchanged if it can be sent
 */
export function escapeHeaderValue(value: string): string {
    return value.replace(REFUSED_IN_VALUE, encodeURIComponent);
}

/**
 * Decodes the text of a header value.
 * @param value - a value with one character a byte
 * @returns the text; a value that is not UTF-8 is taken as ISO-8859-1
 */
export function decodeHeaderText(value: string): string {
    const bytes = Buffer.from(value, "latin1");
    return isUtf8(bytes) ? bytes.toString("utf8") : value;
}
