/**
 * Writes one response to a caller, complete or streamed, with backpressure.
 */
import type { BufferedResponse } from "@crankfork/schemas";
import type { ServerResponse } from "node:http";
import { sendJson } from "../process/httpServer.js";
import { limitTimerMs } from "../process/waitMs.js";
import { createCallerError, createErrorResponse } from "./callerError.js";

/** Limits for slow readers. */
export interface ResponseLimits {
    /** Maximum number of unread bytes before writing pauses. */
    readonly maxBufferedBytes: number;
    /** Time after which a caller that does not read is disconnected, in milliseconds. */
    readonly stallTimeoutMs: number;
}

/** The response to one request. */
export class CallerResponse {
    /** Aborted if the caller disconnects before the response is complete. */
    readonly disconnect = new AbortController();

    /**
     * @param response - the server response; nothing has been written yet
     * @param requestId - id of the request
     * @param limits - limits for slow readers
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
     * Writes a chunk of a stream; the first one also sends the headers.
     * @param text - the chunk
     * @returns resolves when more may be written
     * @throws a caller error if the caller disconnected or has not read anything within the stall time-out
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
     * Sends a complete response.
     * @param answer - status, content type and body
     */
    sendBuffered(answer: BufferedResponse): void {
        const body = Buffer.from(answer.body, answer.encoding);
        this.response.writeHead(answer.status, {
            "content-type": answer.content_type,
            "content-length": body.length,
            "x-request-id": this.requestId,
        });
        this.response.end(body);
    }

    /**
     * Sends an error: as the response if none has started, otherwise as the last event of the stream.
     * @param error - any thrown value
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
            }, limitTimerMs(this.limits.stallTimeoutMs));
            this.response.once("drain", finish);
            this.response.once("close", finish);
        });
    }
}
