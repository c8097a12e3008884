/**
 * Reads request bodies and writes JSON responses in the stand-ins.
 */
import type { IncomingMessage, ServerResponse } from "node:http";

/**
 * Reads a request body as JSON; an empty body counts as an empty object.
 * @param request - the request
 * @returns the parsed body
 */
export async function readJson(request: IncomingMessage): Promise<unknown> {
    const text = await readText(request);
    return JSON.parse(text === "" ? "{}" : text);
}

/**
 * Reads a request body as text.
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
 * Sends a JSON response.
 * @param response - the response
 * @param body - value to serialise
 * @param status - HTTP status
 */
export function sendJson(response: ServerResponse, body: unknown, status = 200): void {
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(body));
}
