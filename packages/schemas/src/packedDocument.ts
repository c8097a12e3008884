/**
 * Storage and wire format of the operator's document: the accepting leader compresses it once, and each reader unpacks it.
 */
import { gunzipSync, gzipSync } from "node:zlib";

/**
 * Compresses a document.
 * @param content - JSON-serialisable data
 * @returns gzipped JSON as base64, so that it can be embedded in JSON messages and files
 */
export function packDocument(content: unknown): string {
    return gzipSync(JSON.stringify(content)).toString("base64");
}

/**
 * Decompresses a document.
 * @param packed - result of `packDocument`
 * @returns parsed data
 * @throws Error if the text is corrupt
 */
export function unpackDocument(packed: string): unknown {
    return JSON.parse(gunzipSync(Buffer.from(packed, "base64")).toString("utf8")) as unknown;
}
