/**
 * One try of a routed request at one upstream: whole answers are read to their end before anything is handed on;
 * streams are handed on event by event.
 */
import type { AttemptOutcome } from "@crankfork/decisions";
import type { Dispatcher } from "undici";
import { type OpenExchange, startExchange, type UpstreamHead } from "../connection/upstreamExchange.js";
import type { NoticeFunctions } from "./requestFunctions.js";
import type { CallCodec, CallTarget, HeadVerdict, UpstreamNotice } from "./routedCall.js";
import type { RoutedRun, RunStop } from "./routedRun.js";

/** Why a try is given up from outside, and the address of the engine at fault where it is known. */
export interface TryStall {
    readonly end: Extract<AttemptOutcome, "stalled" | "left">;
    readonly reason: string;
    readonly faultAddress?: string | undefined;
}

/** A whole answer of an upstream. */
export interface WholeAnswer {
    readonly head: UpstreamHead;
    readonly body: Buffer;
}

/** How a try ended. */
export type TryResult =
    | { readonly kind: "answered"; readonly answer: WholeAnswer; }
    /** A stream that came to its own end. */
    | { readonly kind: "streamed"; }
    | { readonly kind: "stopped"; readonly stop: RunStop; }
    | {
        readonly kind: "ended";
        readonly end: AttemptOutcome;
        readonly reason: string;
        readonly answer?: WholeAnswer;
        readonly faultAddress?: string | undefined;
        /** Set where the upstream ended its connection before the end of its answer. */
        readonly hasConnectionEnded?: boolean;
    };

/** Takes a stream as it comes. */
export interface StreamSink {
    /** The upstream began a stream. */
    readonly handleHead: (head: UpstreamHead) => void;
    /** Returns why the bytes can't be part of the stream, or undefined where they were taken. */
    readonly handleData: (chunk: Buffer, exchange: OpenExchange) => string | undefined;
    /** Returns why the stream is not complete, or undefined where it is. */
    readonly handleEnd: () => string | undefined;
}

/** What a try needs. */
export interface TryOptions {
    /** Connections to the target. */
    readonly connections: Dispatcher;
    readonly codec: CallCodec;
    readonly run: RoutedRun;
    readonly target: CallTarget;
    /** Takes a successful answer as a stream; left out for whole answers. */
    readonly sink?: StreamSink | undefined;
    readonly notices: NoticeFunctions;
    /** The monotonic clock. */
    readonly getNowMs: () => number;
    /** Called with a function that gives the try up from outside. */
    readonly handleStart?: (giveUp: (stall: TryStall) => void) => void;
}

/** The largest whole answer that is taken; larger ones don't fit the memory of an entry many times. */
const MOST_ANSWER_BYTES = 8 * 1_024 * 1_024;
const FIRST_FAILURE_STATUS = 500;

/**
 * Sends a request to an upstream and sees the answer to its end.
 * @param options - request, target, and where a stream goes
 * @returns how it ended; never rejects
 */
export function runTry(options: TryOptions): Promise<TryResult> {
    return new Promise((resolve) => {
        const exchange = new TryExchange(options, resolve);
        exchange.start();
    });
}

class TryExchange {
    private exchange: OpenExchange | undefined;
    private head: UpstreamHead | undefined;
    private sentMs = Number.NEGATIVE_INFINITY;
    private verdict: HeadVerdict | undefined;
    private readonly chunks: Buffer[] = [];
    private length = 0;
    private isSettled = false;
    private forgetStop: () => void = () => undefined;

    constructor(private readonly options: TryOptions, private readonly resolve: (result: TryResult) => void) {}

    start(): void {
        const { connections, codec, run, target } = this.options;
        const { call, body } = run.admitted;
        const { notices } = this.options;
        this.forgetStop = run.handleStop((stop) => {
            this.cancel({ kind: "stopped", stop });
        });
        this.exchange = startExchange(connections, {
            address: target.address,
            method: call.method,
            path: call.target,
            headers: codec.createUpstreamHeaders(call, target),
            body,
        }, {
            mayStart: () => {
                const isFree = notices.maySend(target);
                if (isFree) {
                    this.sentMs = this.options.getNowMs();
                    notices.recordSend(target);
                }
                return isFree;
            },
            handleKeptBack: () => {
                this.settle({ kind: "ended", end: "kept-back", reason: "its upstream rests" });
            },
            handleHead: (head) => {
                this.handleHead(head);
            },
            handleData: (chunk) => {
                this.handleData(chunk);
            },
            handleEnd: () => {
                this.handleEnd();
            },
            handleBreak: (reason, wasSent, isUnreadable) => {
                const hasConnectionEnded = wasSent && !isUnreadable;
                this.settle({ kind: "ended", end: wasSent ? "broken" : "not-sent", reason, hasConnectionEnded });
            },
        });
        this.options.handleStart?.((stall) => {
            this.cancel({ kind: "ended", ...stall });
        });
    }

    private get streams(): boolean {
        const isSuccess = this.head !== undefined && this.head.status >= 200 && this.head.status < 300;
        return this.options.sink !== undefined && isSuccess && this.verdict?.kind === "answer";
    }

    private handleHead(head: UpstreamHead): void {
        const { codec, run, target, notices } = this.options;
        const { call } = run.admitted;
        this.head = head;
        this.verdict = codec.judgeHead(call, head);
        notices.receive(target, codec.readNotice(head), {
            requestId: call.requestId,
            verdict: this.verdict,
            status: head.status,
            sentMs: this.sentMs,
        });
        if (this.verdict.kind === "stray") {
            this.cancel({ kind: "ended", end: "broken", reason: `stray answer with status ${String(head.status)}` });
        }
        else if (this.streams) {
            this.options.sink?.handleHead(head);
        }
    }

    private handleData(chunk: Buffer): void {
        if (this.streams && this.exchange !== undefined) {
            const fault = this.options.sink?.handleData(chunk, this.exchange);
            if (fault !== undefined) {
                this.cancel({ kind: "ended", end: "broken", reason: fault });
            }
            return;
        }
        this.length += chunk.length;
        this.chunks.push(chunk);
        if (this.length > MOST_ANSWER_BYTES) {
            this.cancel({ kind: "ended", end: "broken", reason: "the answer is larger than allowed" });
        }
    }

    private handleEnd(): void {
        const { head, verdict } = this;
        if (head === undefined || verdict === undefined) {
            this.settle(createCutOff("no answer"));
            return;
        }
        if (this.streams) {
            const fault = this.options.sink?.handleEnd();
            this.settle(fault === undefined ? { kind: "streamed" } : createCutOff(fault));
            return;
        }
        const answer = { head, body: Buffer.concat(this.chunks) };
        const { faultAddress } = verdict;
        const reason = describeHead(head, this.options.codec.readNotice(head));
        if (verdict.kind === "declined") {
            this.settle({ kind: "ended", end: "declined", reason, answer, faultAddress });
        }
        else if (head.status >= FIRST_FAILURE_STATUS) {
            this.settle({ kind: "ended", end: "failed", reason, answer, faultAddress });
        }
        else {
            this.settle({ kind: "answered", answer });
        }
    }

    private cancel(result: TryResult): void {
        this.exchange?.cancel();
        this.settle(result);
    }

    private settle(result: TryResult): void {
        if (!this.isSettled) {
            this.isSettled = true;
            this.forgetStop();
            this.resolve(result);
        }
    }
}

/** What the upstream said of itself stands beside the status, so that a request's line tells why it went elsewhere. */
function describeHead({ status }: UpstreamHead, { rest, leaving, limit }: UpstreamNotice): string {
    return [
        `status ${String(status)}`,
        ...(rest.kind === "rest" ? [`rests for ${String(rest.restMs)} ms`] : []),
        ...(leaving === "said" ? ["leaving"] : []),
        ...(limit.kind === "limit" ? [`takes ${String(limit.requestsASecond)} a second`] : []),
    ].join(", ");
}

function createCutOff(reason: string): TryResult {
    return { kind: "ended", end: "broken", reason, hasConnectionEnded: true };
}
