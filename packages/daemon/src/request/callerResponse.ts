/**
 * Writes one answer to a caller: whole or as a stream, no faster than the caller reads.
 */
import type { KeptAnswer } from "@crankfork/schemas";
import type { ServerResponse } from "node:http";
import { sendJson } from "../process/httpServer.js";
import { createCallerError, createErrorResponse } from "./callerError.js";

/** Bounds of an answer that is read slowly. */
export interface ResponseLimits {
    /** Bytes that may wait for the caller. */
    readonly maxBufferedBytes: number;
    /** How long the caller may leave them unread, in milliseconds. */
    readonly stallTimeoutMs: number;
}

/** The answer to one request. */
export class CallerResponse {
    /** Aborted when the caller is gone before the answer is whole. */
    readonly disconnect = new AbortController();

    /**
     * @param response - the response, not begun yet
     * @param requestId - the request
     * @param limits - bounds for slow readers
     */
    constructor(
        private readonly response: ServerResponse,
        private readonly requestId: string,
        private readonly limits: ResponseLimits,
    ) {
        response.on("close", () => {
            if (!response.writableFinished) {
                this.disconnect.abort();
            }
        });
    }

    /**
     * Writes a part of a stream; the first one begins the answer.
     * @param text - the part
     * @returns resolves once more may be written
     * @throws a caller's error where the caller is gone or reads nothing for too long
     */
    async writeChunk(text: string): Promise<void> {
        if (!this.response.headersSent) {
            this.response.writeHead(200, {
                "content-type": "text/event-stream",
                "cache-control": "no-cache",
                "x-request-id": this.requestId,
            });
        }
        this.response.write(text);
        if (this.response.writableLength > this.limits.maxBufferedBytes) {
            await this.waitForDrain();
        }
        if (this.disconnect.signal.aborted) {
            throw createCallerError("cancelled", { step: "answer", peer: "caller" });
        }
    }

    /** Ends a stream. */
    end(): void {
        this.response.end();
    }

    /**
     * Sends an answer whole.
     * @param answer - status, type and body
     */
    sendBuffered(answer: KeptAnswer): void {
        const body = Buffer.from(answer.body, answer.encoding);
        this.response.writeHead(answer.status, {
            "content-type": answer.content_type,
            "content-length": body.length,
            "x-request-id": this.requestId,
        });
        this.response.end(body);
    }

    /**
     * Sends an error: as the answer where none has begun, else as an explicit last event of the stream.
     * @param error - anything that was thrown
     */
    sendError(error: unknown): void {
        const errorResponse = createErrorResponse(error, this.requestId);
        if (!this.response.headersSent) {
            sendJson(this.response, errorResponse.status, errorResponse.body, {
                ...errorResponse.headers,
                "x-request-id": this.requestId,
            });
            return;
        }
        this.response.end(`data: ${JSON.stringify(errorResponse.body)}\n\n`);
    }

    private waitForDrain(): Promise<void> {
        return new Promise((resolve) => {
            const finish = (): void => {
                clearTimeout(timer);
                this.response.off("drain", finish);
                this.response.off("close", finish);
                resolve();
            };
            const timer = setTimeout(() => {
                this.response.destroy();
                this.disconnect.abort();
                finish();
            }, this.limits.stallTimeoutMs);
            this.response.once("drain", finish);
            this.response.once("close", finish);
        });
    }
}
