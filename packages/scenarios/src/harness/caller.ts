/**
 * A client of the completions API that reads streams, and computes the text that a stream must contain.
 */
import { tokenizePrompt } from "@crankfork/daemon";
import { createParser } from "eventsource-parser";
import { request } from "undici";
import { computeReferenceText } from "../engine/referenceText.js";
import { createSecret } from "./cluster.js";

/** Parameters of a completion request. */
export interface CompletionCall {
    readonly address: string;
    readonly organisation: string;
    readonly priority: string;
    readonly model: string;
    readonly prompt: string;
    readonly maxTokens: number;
    readonly headers?: Readonly<Record<string, string>>;
    readonly signal?: AbortSignal;
    /** Called after each token with the number of tokens received so far. */
    readonly handleToken?: (count: number) => void | Promise<void>;
}

/** The outcome of a completion request, as its client saw it. */
export interface CompletionResult {
    readonly call: CompletionCall;
    readonly status: number;
    readonly text: string;
    readonly tokens: number;
    /** Error id, from the response body or from the last event of the stream; `stream-cut` if the stream ended without either. */
    readonly errorId: string | undefined;
    readonly outcome: string | undefined;
    readonly requestId: string;
    readonly firstTokenMs: number | undefined;
    readonly durationMs: number;
    /** Inter-token latencies. */
    readonly tokenIntervalsMs: readonly number[];
    readonly retryAfterMs: number | undefined;
}

interface ChunkBody {
    readonly choices?: readonly { readonly text?: string; }[];
    readonly error?: { readonly id: string; readonly outcome: string; readonly retry_after_ms?: number; };
}

/**
 * Requests a streamed completion and reads it to its end.
 * @param call - the request
 * @returns the outcome
 */
export async function streamCompletion(call: CompletionCall): Promise<CompletionResult> {
    const startedMs = performance.now();
    const response = await request(`http://${call.address}/v1/completions`, {
        method: "POST",
        headers: {
            "content-type": "application/json",
            "x-organisation": call.organisation,
            "authorization": `Bearer ${createSecret(call.organisation)}`,
            "x-priority": call.priority,
            ...call.headers,
        },
        body: JSON.stringify({ model: call.model, prompt: call.prompt, max_tokens: call.maxTokens, stream: true }),
        signal: call.signal ?? null,
    });
    const reader = new StreamReader(startedMs, call.handleToken);
    const isStream = String(response.headers["content-type"]).includes("event-stream");
    if (isStream) {
        for await (const chunk of response.body as AsyncIterable<Buffer>) {
            await reader.read(chunk.toString("utf8"));
        }
    }
    else {
        reader.readErrorBody(await response.body.text());
    }
    const requestId = String(response.headers["x-request-id"]);
    return { ...reader.getResult(), call, status: response.statusCode, requestId };
}

/**
 * Computes the text that a finished completion must have.
 * @param call - the request
 * @param layers - number of layers of the model
 * @param version - version of the model
 * @returns the expected text
 */
export function computeExpectedText(call: CompletionCall, layers: number, version = "v1"): string {
    return computeReferenceText(`${call.model}@${version}`, layers, tokenizePrompt(call.prompt), call.maxTokens);
}

class StreamReader {
    private text = "";
    private tokens = 0;
    private error: ChunkBody["error"];
    private isDone = false;
    private firstTokenMs: number | undefined;
    private lastMs: number;
    private readonly tokenIntervalsMs: number[] = [];
    private pendingEvents: string[] = [];
    private readonly parser = createParser({
        onEvent: ({ data }) => {
            this.pendingEvents.push(data);
        },
    });

    constructor(private readonly startedMs: number, private readonly handleToken: CompletionCall["handleToken"]) {
        this.lastMs = startedMs;
    }

    async read(chunk: string): Promise<void> {
        this.parser.feed(chunk);
        const events = this.pendingEvents;
        this.pendingEvents = [];
        for (const data of events) {
            await this.readEvent(data);
        }
    }

    readErrorBody(text: string): void {
        this.error = (JSON.parse(text) as ChunkBody).error;
    }

    getResult(): Omit<CompletionResult, "status" | "requestId" | "call"> {
        const isTruncated = !this.isDone && this.error === undefined;
        return {
            text: this.text,
            tokens: this.tokens,
            errorId: isTruncated ? "stream-cut" : this.error?.id,
            outcome: this.error?.outcome,
            firstTokenMs: this.firstTokenMs,
            durationMs: performance.now() - this.startedMs,
            tokenIntervalsMs: this.tokenIntervalsMs,
            retryAfterMs: this.error?.retry_after_ms,
        };
    }

    private async readEvent(data: string): Promise<void> {
        if (data === "[DONE]") {
            this.isDone = true;
            return;
        }
        const body = JSON.parse(data) as ChunkBody;
        if (body.error !== undefined) {
            this.error = body.error;
            return;
        }
        const nowMs = performance.now();
        if (this.firstTokenMs === undefined) {
            this.firstTokenMs = nowMs - this.startedMs;
        }
        else {
            this.tokenIntervalsMs.push(nowMs - this.lastMs);
        }
        this.lastMs = nowMs;
        this.tokens += 1;
        this.text += body.choices?.[0]?.text ?? "";
        await this.handleToken?.(this.tokens);
    }
}
