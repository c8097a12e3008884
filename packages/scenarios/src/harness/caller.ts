/**
 * A caller of completions that checks each answer against the reference text.
 */
import { createPromptTokens } from "@crankfork/daemon";
import { createParser } from "eventsource-parser";
import { request } from "undici";
import { computeReferenceText } from "../engine/referenceText.js";
import { createSecret } from "./cluster.js";

/** A completion to ask for. */
export interface CompletionCall {
    readonly address: string;
    readonly organisation: string;
    readonly priority: string;
    readonly model: string;
    readonly prompt: string;
    readonly maxTokens: number;
    readonly headers?: Readonly<Record<string, string>>;
    readonly signal?: AbortSignal;
    /** Called with the count of tokens so far. */
    readonly handleToken?: (count: number) => void | Promise<void>;
}

/** What came of a completion. */
export interface CompletionResult {
    /** What was asked for. */
    readonly call: CompletionCall;
    readonly status: number;
    readonly text: string;
    readonly tokens: number;
    /** The id of the error, in the answer or as last event of the stream. */
    readonly errorId: string | undefined;
    readonly outcome: string | undefined;
    readonly requestId: string;
    readonly firstTokenMs: number | undefined;
    readonly durationMs: number;
    /** Times between tokens, in milliseconds. */
    readonly tokenIntervalsMs: readonly number[];
    readonly retryAfterMs: number | undefined;
}

interface ChunkBody {
    readonly choices?: readonly { readonly text?: string; }[];
    readonly error?: { readonly id: string; readonly outcome: string; readonly retry_after_ms?: number; };
}

/**
 * Asks for a streamed completion and reads it to its end.
 * @param call - what to ask for
 * @returns what came
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
 * Computes what a finished completion must be.
 * @param call - what was asked for
 * @param layers - layers of the model
 * @param version - version of the model
 * @returns the text
 */
export function computeExpectedText(call: CompletionCall, layers: number, version = "v1"): string {
    return computeReferenceText(`${call.model}@${version}`, layers, createPromptTokens(call.prompt), call.maxTokens);
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
