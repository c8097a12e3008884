/**
 * The one place that knows how a model engine is spoken to. The rest of crankfork sees `EngineFunctions`.
 */
import type { LimitNotice } from "@crankfork/decisions";
import {
    type EngineStatus,
    engineStatusSchema,
    type ExportedCache,
    exportedCacheSchema,
    type Order,
    type OrderAnswer,
    orderAnswerSchema,
    type Step,
    type StepAnswer,
} from "@crankfork/schemas";
import crc32 from "crc-32";
import type { Dispatcher } from "undici";
import { fetchJson } from "./httpClient.js";
import { readRateLimit } from "./readRateLimit.js";
import { RunCanceller } from "./runCanceller.js";
import { StepBatcher } from "./stepBatcher.js";
import type { ResponseHead } from "./upstreamExchange.js";

/** What an engine can do for crankfork, free of any transport. */
export interface EngineClient {
    /** Runs one step; rejects with ExchangeError where no answer that fits comes. */
    readonly runStep: (step: Step, signal: AbortSignal) => Promise<StepAnswer>;
    /** Ends a run and frees its slot. */
    readonly cancelRun: (run: string) => void;
    readonly getStatus: () => Promise<EngineStatus>;
    readonly sendOrder: (order: Order) => Promise<OrderAnswer>;
    readonly exportCache: (run: string) => Promise<readonly ExportedCache[]>;
    readonly importCache: (caches: readonly ExportedCache[]) => Promise<void>;
    /** Rejects all steps that wait for an answer, because the engine is taken for lost. */
    readonly rejectPendingSteps: () => void;
}

/** What a client is made with. */
export interface EngineClientOptions {
    readonly agent: Dispatcher;
    readonly name: string;
    readonly address: string;
    readonly timeoutMs: number;
    /** How long a status may take, in milliseconds. */
    readonly statusTimeoutMs: number;
    /** Called for each answer that fits no step that waits: late, doubled or crossed. */
    readonly handleStrayAnswer: () => void;
    /** Takes what the head of a status says of the rate that the engine takes; `askedMs` is when it was asked. */
    readonly handleLimitNotice: (notice: LimitNotice, requestedAtMs: number) => void;
    /** Called where the engine could not be told that a run is over. */
    readonly handleCancelFailure: (run: string, reason: string) => void;
}

const jsonHeaders = { "content-type": "application/json" };

/**
 * Creates the functions of one engine.
 * @param options - its name and address, and the connections to use
 * @returns the functions
 */
export function createEngineClient(options: EngineClientOptions): EngineClient {
    const { agent, name: peer, address, timeoutMs, statusTimeoutMs } = options;
    const base = `http://${address}/v1`;
    const batcher = new StepBatcher({ ...options, url: `${base}/steps` });
    const post = (path: string, body: unknown, limitMs = timeoutMs): Promise<unknown> =>
        fetchJson(
            { agent, peer, url: `${base}/${path}`, method: "POST", headers: jsonHeaders, body: JSON.stringify(body) },
            limitMs,
        );
    const canceller = new RunCanceller({
        send: (run) => post("cancel", { run }),
        waitForSteps: (run) => batcher.waitForSteps(run),
        handleFailure: options.handleCancelFailure,
    });
    return {
        runStep: (step, signal) => batcher.run(step, signal),
        cancelRun: (run) => {
            void canceller.cancel(run);
        },
        getStatus: async () => {
            const requestedAtMs = performance.now();
            const handleHeaders = (headers: ResponseHead["headers"]): void => {
                options.handleLimitNotice(readRateLimit({ headers }), requestedAtMs);
            };
            const url = `${base}/status`;
            const raw = await fetchJson({ agent, peer, url, method: "GET", handleHeaders }, statusTimeoutMs);
            return engineStatusSchema.parse(raw);
        },
        sendOrder: async (order) => orderAnswerSchema.parse(await post("orders", order)),
        exportCache: async (run) => exportedCacheSchema.array().parse(await post("export", { run }, statusTimeoutMs)),
        importCache: async (caches) => {
            await post("import", { caches }, statusTimeoutMs);
        },
        rejectPendingSteps: () => {
            batcher.rejectAll();
        },
    };
}

/**
 * Splits a prompt into token ids, as the engines' tokenizer does: one a word.
 * @param prompt - the text
 * @returns token ids; at least one
 */
export function tokenizePrompt(prompt: string): readonly number[] {
    const words = prompt.split(/\s+/).filter((word) => word !== "");
    return (words.length === 0 ? [""] : words).map((word) => crc32.str(word) >>> 0);
}
