/**
 * The operator's document as it is kept and sent: compressed once, by the leader that takes it, and read where it is used.
 */
import { gunzipSync, gzipSync } from "node:zlib";

/**
 * Packs a document.
 * @param content - plain data
 * @returns compressed JSON as base64 text, so that it fits into messages and files of JSON
 */
export function packDocument(content: unknown): string {
    return gzipSync(JSON.stringify(content)).toString("base64");
}

/**
 * Unpacks a document.
 * @param packed - what `packDocument` gave
 * @returns plain data
 * @throws Error where the text is damaged
 */
export function unpackDocument(packed: string): unknown {
    return JSON.parse(gunzipSync(Buffer.from(packed, "base64")).toString("utf8")) as unknown;
}
