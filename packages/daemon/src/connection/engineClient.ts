/**
 * Client for the HTTP interface of a model engine. The rest of crankfork uses `EngineClient` only.
 */
import type { LimitNotice } from "@crankfork/decisions";
import {
    type EngineStatus,
    engineStatusSchema,
    type ExportedCache,
    exportedCacheSchema,
    type Order,
    type OrderResponse,
    orderResponseSchema,
    type Step,
    type StepResponse,
} from "@crankfork/schemas";
import crc32 from "crc-32";
import type { Dispatcher } from "undici";
import { startTask } from "../process/startTask.js";
import { fetchJson } from "./httpClient.js";
import { ORDER_RESPONSE_LIMIT_BYTES, PEER_MESSAGE_LIMIT_BYTES, REPORT_LIMIT_BYTES } from "./messageLimits.js";
import { readRateLimit } from "./readRateLimit.js";
import { RunCanceller } from "./runCanceller.js";
import { StepBatcher } from "./stepBatcher.js";
import type { ResponseHead } from "./upstreamExchange.js";

/** Operations of an engine, independent of the transport. */
export interface EngineClient {
    /** Runs one step; rejects with ExchangeError if no matching answer arrives. */
    readonly runStep: (step: Step, signal: AbortSignal) => Promise<StepResponse>;
    /** Ends a run and frees its slot at the engine. */
    readonly cancelRun: (run: string) => void;
    readonly getStatus: () => Promise<EngineStatus>;
    readonly sendOrder: (order: Order) => Promise<OrderResponse>;
    readonly exportCache: (run: string) => Promise<readonly ExportedCache[]>;
    readonly importCache: (caches: readonly ExportedCache[]) => Promise<void>;
    /** Rejects all pending steps because the engine is considered lost. */
    readonly rejectPendingSteps: () => void;
}

/** Options of an engine client. */
export interface EngineClientOptions {
    readonly agent: Dispatcher;
    readonly name: string;
    readonly address: string;
    readonly timeoutMs: number;
    /** Time-out of a status request, in milliseconds. */
    readonly statusTimeoutMs: number;
    /** Called for each answer that matches no pending step: late, duplicate or for another run. */
    readonly handleStrayAnswer: () => void;
    /** Receives the rate limit from the headers of a status response; `requestedAtMs` is the time of the request. */
    readonly handleLimitNotice: (notice: LimitNotice, requestedAtMs: number) => void;
    /** Called if the engine could not be notified of the end of a run. */
    readonly handleCancelFailure: (run: string, reason: string) => void;
}

const jsonHeaders = { "content-type": "application/json" };

/**
 * Creates a client for one engine.
 * @param options - name, address and connections of the engine, time-outs and callbacks
 * @returns the client
 */
export function createEngineClient(options: EngineClientOptions): EngineClient {
    const { agent, name: peer, address, timeoutMs, statusTimeoutMs } = options;
    const base = `http://${address}/v1`;
    const batcher = new StepBatcher({ ...options, url: `${base}/steps` });
    const post = (
        path: string,
        body: unknown,
        limitMs = timeoutMs,
        limitBytes = ORDER_RESPONSE_LIMIT_BYTES,
    ): Promise<unknown> => {
        const url = `${base}/${path}`;
        const text = JSON.stringify(body);
        return fetchJson({ agent, peer, url, method: "POST", headers: jsonHeaders, body: text, limitBytes }, limitMs);
    };
    const canceller = new RunCanceller({
        send: (run) => post("cancel", { run }),
        waitForSteps: (run) => batcher.waitForSteps(run),
        handleFailure: options.handleCancelFailure,
    });
    return {
        runStep: (step, signal) => batcher.run(step, signal),
        cancelRun: (run) => {
            startTask("run-cancel", () => canceller.cancel(run));
        },
        getStatus: async () => {
            const requestedAtMs = performance.now();
            const handleHeaders = (headers: ResponseHead["headers"]): void => {
                options.handleLimitNotice(readRateLimit({ headers }), requestedAtMs);
            };
            const url = `${base}/status`;
            const limitBytes = REPORT_LIMIT_BYTES;
            const raw = await fetchJson(
                { agent, peer, url, method: "GET", limitBytes, handleHeaders },
                statusTimeoutMs,
            );
            return engineStatusSchema.parse(raw);
        },
        sendOrder: async (order) => orderResponseSchema.parse(await post("orders", order)),
        exportCache: async (run) => {
            const raw = await post("export", { run }, statusTimeoutMs, PEER_MESSAGE_LIMIT_BYTES);
            return exportedCacheSchema.array().parse(raw);
        },
        importCache: async (caches) => {
            await post("import", { caches }, statusTimeoutMs);
        },
        rejectPendingSteps: () => {
            batcher.rejectAll();
        },
    };
}

/**
 * Splits a prompt into token ids as the engines' tokenizer does: one token per word.
 * @param prompt - the text
 * @returns at least one token id
 */
export function tokenizePrompt(prompt: string): readonly number[] {
    const words = prompt.split(/\s+/).filter((word) => word !== "");
    return (words.length === 0 ? [""] : words).map((word) => crc32.str(word) >>> 0);
}
