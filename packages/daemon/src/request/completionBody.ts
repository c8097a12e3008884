/**
 * Request and response bodies in the format of the OpenAI completions API.
 */
import * as z from "zod";
import { createCallerError } from "./callerError.js";

const contentPartSchema = z.looseObject({ type: z.string(), text: z.string().optional() });

const messageSchema = z.looseObject({
    role: z.string(),
    content: z.union([z.string(), z.array(contentPartSchema)]).nullish(),
});

const commonShape = {
    model: z.string(),
    max_tokens: z.int().positive().nullish(),
    max_completion_tokens: z.int().positive().nullish(),
    stream: z.boolean().nullish(),
};

const chatSchema = z.looseObject({ ...commonShape, messages: z.array(messageSchema).min(1) });
const textSchema = z.looseObject({ ...commonShape, prompt: z.union([z.string(), z.array(z.string()).min(1).max(1)]) });

/** The two completion APIs. */
export type CompletionShape = "chat" | "text";

/** A parsed completion request. */
export interface CompletionRequest {
    readonly shape: CompletionShape;
    readonly model: string;
    readonly prompt: string;
    readonly maxTokens: number | undefined;
    readonly isStream: boolean;
}

/**
 * Parses a request body.
 * @param shape - the API that was called
 * @param body - the raw body
 * @returns the request
 * @throws a caller error that names the field
 */
export function parseCompletionBody(shape: CompletionShape, body: Buffer): CompletionRequest {
    const raw = parseJson(body);
    const { common, prompt } = shape === "chat" ? parseChat(raw) : parseText(raw);
    return {
        shape,
        model: common.model,
        prompt,
        maxTokens: common.max_completion_tokens ?? common.max_tokens ?? undefined,
        isStream: common.stream === true,
    };
}

/** Token counts of a finished completion. */
export interface CompletionUsage {
    readonly promptTokens: number;
    readonly completionTokens: number;
}

/** Formats the response to one request. */
export interface CompletionFormat {
    readonly formatChunk: (text: string, finishReason: string | undefined) => string;
    readonly formatEnd: () => string;
    readonly formatCompletion: (text: string, finishReason: string, usage: CompletionUsage) => string;
}

/**
 * Creates the formatter of the response to a request.
 * @param request - the request
 * @param requestId - id of the request
 * @param createdMs - Unix time of its arrival, in milliseconds
 * @returns functions that format chunks and complete responses
 */
export function createCompletionFormat(
    request: CompletionRequest,
    requestId: string,
    createdMs: number,
): CompletionFormat {
    const isChat = request.shape === "chat";
    const prefix = isChat ? "chatcmpl" : "cmpl";
    const head = { id: `${prefix}-${requestId}`, created: Math.floor(createdMs / 1_000), model: request.model };
    let isFirst = true;
    const createDelta = (text: string): object => {
        const delta = isFirst ? { role: "assistant", content: text } : { content: text };
        isFirst = false;
        return isChat ? { delta } : { text };
    };
    return {
        formatChunk: (text, finishReason) => {
            const choice = { index: 0, ...createDelta(text), logprobs: null, finish_reason: finishReason ?? null };
            const object = isChat ? "chat.completion.chunk" : "text_completion";
            return `data: ${JSON.stringify({ ...head, object, choices: [choice] })}\n\n`;
        },
        formatEnd: () => "data: [DONE]\n\n",
        formatCompletion: (text, finishReason, usage) => {
            const content = isChat ? { message: { role: "assistant", content: text } } : { text };
            return JSON.stringify({
                ...head,
                object: isChat ? "chat.completion" : "text_completion",
                choices: [{ index: 0, ...content, logprobs: null, finish_reason: finishReason }],
                usage: {
                    prompt_tokens: usage.promptTokens,
                    completion_tokens: usage.completionTokens,
                    total_tokens: usage.promptTokens + usage.completionTokens,
                },
            });
        },
    };
}

interface ParsedBody {
    readonly common: z.infer<z.ZodObject<typeof commonShape>>;
    readonly prompt: string;
}

function parseChat(raw: unknown): ParsedBody {
    const common = parseSchema(chatSchema, raw);
    return { common, prompt: common.messages.map(formatMessage).join("\n") };
}

function parseText(raw: unknown): ParsedBody {
    const common = parseSchema(textSchema, raw);
    return { common, prompt: typeof common.prompt === "string" ? common.prompt : common.prompt.join("") };
}

function formatMessage(message: z.infer<typeof messageSchema>): string {
    const { content } = message;
    const text = typeof content === "string" ? content : (content ?? []).map((part) => part.text ?? "").join("");
    return `${message.role}: ${text}`;
}

function parseJson(body: Buffer): unknown {
    try {
        return JSON.parse(body.toString("utf8"));
    }
    catch (error) {
        const reason = error instanceof Error ? error.message : String(error);
        throw createCallerError("broken-json", { step: "body", peer: "", values: { reason } });
    }
}

function parseSchema<Schema extends z.ZodType>(schema: Schema, raw: unknown): z.infer<Schema> {
    const parsed = schema.safeParse(raw);
    if (parsed.success) {
        return parsed.data;
    }
    const issue = parsed.error.issues[0];
    const values = { field: issue?.path.join(".") ?? "", reason: issue?.message ?? "" };
    throw createCallerError("bad-request", { step: "body", peer: "", values });
}
