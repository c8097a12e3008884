/**
 * Storage and wire format of the operator's document: the accepting leader compresses it once, and each reader unpacks it.
 */
import { gunzipSync, gzipSync } from "node:zlib";
import { formatJson } from "./parseJson.js";

/**
 * Largest document as JSON. A document that was accepted with 32 MiB may be longer once it is formatted again, since numbers
 * are written out; a few KiB of packed data may be hundreds of MB.
 */
const MAX_UNPACKED_BYTES = 256 * 1_024 * 1_024;

/**
 * Compresses a document.
 * @param content - JSON-serialisable data
 * @returns gzipped JSON as base64, so that it can be embedded in JSON messages and files
 */
export function packDocument(content: unknown): string {
    return gzipSync(formatJson(content)).toString("base64");
}

/**
 * Decompresses a document.
 * @param packed - result of `packDocument`
 * @returns parsed data
 * @throws Error if the text is corrupt or the document too large
 */
export function unpackDocument(packed: string): unknown {
    return JSON.parse(
        gunzipSync(Buffer.from(packed, "base64"), { maxOutputLength: MAX_UNPACKED_BYTES }).toString("utf8"),
    ) as unknown;
}
