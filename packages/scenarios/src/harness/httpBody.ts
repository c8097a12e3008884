/**
 * Reads and writes JSON in the stand-ins.
 */
import type { IncomingMessage, ServerResponse } from "node:http";

/**
 * Reads a whole body as JSON.
 * @param request - the request
 * @returns the parsed body
 */
export async function readJson(request: IncomingMessage): Promise<unknown> {
    const text = await readText(request);
    return JSON.parse(text === "" ? "{}" : text);
}

/**
 * Reads a whole body as text.
 * @param request - the request
 * @returns the body
 */
export async function readText(request: IncomingMessage): Promise<string> {
    const chunks: Buffer[] = [];
    for await (const chunk of request as AsyncIterable<Buffer>) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
}

/**
 * Sends JSON.
 * @param response - the response
 * @param body - what to send
 * @param status - HTTP status
 */
export function sendJson(response: ServerResponse, body: unknown, status = 200): void {
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(body));
}
