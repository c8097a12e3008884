/**
 * One attempt of a routed request at one upstream. Complete responses are read to their end before anything is
 * forwarded; streams are forwarded event by event.
 */
import type { AttemptOutcome } from "@crankfork/decisions";
import { ByteBuffer } from "../connection/byteBuffer.js";
import type { RequestDispatcher } from "../connection/observeDispatch.js";
import { type OpenExchange, type ResponseHead, startExchange } from "../connection/upstreamExchange.js";
import { startTask } from "../process/startTask.js";
import type { RequestContext, StopReason } from "./requestContext.js";
import type { NoticeFunctions } from "./requestFunctions.js";
import type { CallCodec, CallTarget, ResponseVerdict, UpstreamNotice } from "./routedCall.js";
import { isSelfDelimited } from "./routedResponse.js";

/** A complete response of an upstream. */
export interface BufferedResponse {
    readonly head: ResponseHead;
    readonly body: Buffer;
}

/** Result of an attempt. */
export type AttemptResult =
    | { readonly kind: "answered"; readonly response: BufferedResponse; }
    /** A stream that was completed; a close-delimited one may have been truncated between two events. */
    | { readonly kind: "streamed"; readonly isSelfDelimited: boolean; }
    | { readonly kind: "stopped"; readonly stop: StopReason; }
    /** Aborted because another attempt delivered. */
    | { readonly kind: "superseded"; readonly reason: string; }
    | {
        readonly kind: "ended";
        readonly end: AttemptOutcome;
        readonly reason: string;
        readonly response?: BufferedResponse;
        readonly faultAddress?: string | undefined;
        /** Set if the upstream closed its connection before the end of its response. */
        readonly hasConnectionEnded?: boolean;
        /** Set if the way to the upstream failed, so that nothing is known about the upstream itself. */
        readonly isLinkFault?: boolean;
    };

/** Aborts an attempt with a result. */
export type AbortAttempt = (result: Extract<AttemptResult, { kind: "ended" | "superseded"; }>) => void;

/** Receives a stream. */
export interface StreamSink {
    /** The upstream started a stream. */
    readonly handleHead: (head: ResponseHead) => void;
    /** Returns why the bytes are not a valid part of the stream, or undefined if they were accepted. */
    readonly handleData: (chunk: Buffer, exchange: OpenExchange) => string | undefined;
    /** Returns why the stream is incomplete, or undefined if it is complete. */
    readonly handleEnd: () => string | undefined;
}

/** Options of an attempt. */
export interface AttemptOptions {
    /** Connections to the target. */
    readonly connections: RequestDispatcher;
    readonly codec: CallCodec;
    readonly context: RequestContext;
    readonly target: CallTarget;
    /** Receives a successful response as a stream; undefined for a response that is read completely. */
    readonly sink?: StreamSink | undefined;
    readonly notices: NoticeFunctions;
    /** Whether the target accepts connections; assumed if absent. */
    readonly isReachable?: (() => Promise<boolean>) | undefined;
    /** The monotonic clock. */
    readonly getNowMs: () => number;
    /** Called with a function that aborts the attempt. */
    readonly handleStart?: (abort: AbortAttempt) => void;
}

/** Maximum size of a buffered response; an entry's memory does not hold many larger ones. */
const MAX_BUFFERED_RESPONSE_BYTES = 8 * 1_024 * 1_024;
/** Interval between checks of the body of a failure. */
const FAILURE_CHECK_MS = 250;
/** Checks with further bytes after which it is not awaited. Silence does not count: a sound upstream may go on after it. */
const MAX_FAILURE_CHECKS = 2;
const FIRST_SERVER_ERROR_STATUS = 500;

/**
 * Sends a request to an upstream and processes the response to its end.
 * @param options - request, target and callbacks
 * @returns the result; never rejects
 */
export function runAttempt(options: AttemptOptions): Promise<AttemptResult> {
    return new Promise((resolve) => {
        const exchange = new UpstreamAttempt(options, resolve);
        exchange.start();
    });
}

class UpstreamAttempt {
    private exchange: OpenExchange | undefined;
    private head: ResponseHead | undefined;
    private sentMs = Number.NEGATIVE_INFINITY;
    private verdict: ResponseVerdict | undefined;
    private readonly body = new ByteBuffer();
    private failureTimer: NodeJS.Timeout | undefined;
    private isSettled = false;
    private removeStopHandler: () => void = () => undefined;

    constructor(private readonly options: AttemptOptions, private readonly resolve: (result: AttemptResult) => void) {}

    start(): void {
        const { connections, codec, context, target } = this.options;
        const { call, body } = context.admitted;
        const { notices } = this.options;
        this.removeStopHandler = context.onStop((stop) => {
            this.cancel({ kind: "stopped", stop });
        });
        this.exchange = startExchange(connections, {
            address: target.address,
            method: call.method,
            path: call.target,
            headers: codec.createUpstreamHeaders(call, target),
            body,
        }, {
            shouldSend: () => {
                const maySend = notices.maySend(target);
                if (maySend) {
                    this.sentMs = this.options.getNowMs();
                    notices.recordSend(target);
                }
                return maySend;
            },
            handleWithheld: () => {
                this.settle({ kind: "ended", end: "kept-back", reason: "upstream in backoff or at its limit" });
            },
            handleHead: (head) => {
                this.handleHead(head);
            },
            handleData: (chunk) => {
                this.handleData(chunk);
            },
            handleEnd: () => {
                startTask("response-end", () => this.verifyEnd(), (error) => {
                    this.settle(createTruncatedResult(String(error)));
                });
            },
            handleError: ({ reason, wasSent, isUpstreamClosed, isLinkFault }) => {
                this.settle({
                    kind: "ended",
                    end: wasSent ? "broken" : "not-sent",
                    reason,
                    hasConnectionEnded: isUpstreamClosed,
                    isLinkFault,
                });
            },
        });
        this.options.handleStart?.((result) => {
            this.cancel(result);
        });
    }

    private get isStreaming(): boolean {
        const isSuccess = this.head !== undefined && this.head.status >= 200 && this.head.status < 300;
        return this.options.sink !== undefined && isSuccess && this.verdict?.kind === "answer";
    }

    private handleHead(head: ResponseHead): void {
        const { codec, context, target, notices } = this.options;
        const { call } = context.admitted;
        this.head = head;
        this.verdict = codec.classifyHead(call, head);
        notices.receive(target, codec.readNotice(head), {
            requestId: call.requestId,
            verdict: this.verdict,
            status: head.status,
            sentMs: this.sentMs,
        });
        if (this.verdict.kind === "stray") {
            this.cancel({ kind: "ended", end: "broken", reason: `stray response with status ${String(head.status)}` });
        }
        else if (this.isStreaming) {
            this.options.sink?.handleHead(head);
        }
        else if (this.isFailure(head)) {
            this.watchFailure(head);
        }
    }

    private isFailure(head: ResponseHead): boolean {
        return this.verdict?.kind === "declined" || head.status >= FIRST_SERVER_ERROR_STATUS;
    }

    private watchFailure(head: ResponseHead): void {
        let receivedBytes = 0;
        let checks = 0;
        this.failureTimer = setInterval(() => {
            const isSilent = this.body.length === receivedBytes;
            receivedBytes = this.body.length;
            // Nothing of the body of a declined request is needed.
            checks += isSilent && this.verdict?.kind !== "declined" ? 0 : 1;
            if (checks >= MAX_FAILURE_CHECKS) {
                startTask("response-end", () => {
                    this.endFailure(head);
                });
            }
        }, FAILURE_CHECK_MS);
    }

    /** Ends a failure whose body does not end: the next attempt depends on the head only. */
    private endFailure(head: ResponseHead): void {
        this.cancel({
            kind: "ended",
            end: this.verdict?.kind === "declined" ? "declined" : "failed",
            reason: `status ${String(head.status)}, body without end`,
            faultAddress: this.verdict?.faultAddress,
        });
    }

    private handleData(chunk: Buffer): void {
        if (this.isStreaming && this.exchange !== undefined) {
            const problem = this.options.sink?.handleData(chunk, this.exchange);
            if (problem !== undefined) {
                this.cancel({ kind: "ended", end: "broken", reason: problem });
            }
            return;
        }
        this.body.append(chunk);
        if (this.body.length > MAX_BUFFERED_RESPONSE_BYTES) {
            this.cancel({ kind: "ended", end: "broken", reason: "response larger than 8 MiB" });
        }
    }

    /** A crash closes the connection as the end of a close-delimited response does, but it also closes the port. */
    private async verifyEnd(): Promise<void> {
        const { isReachable } = this.options;
        const isDelimited = this.head === undefined || isSelfDelimited(this.head);
        if (!isDelimited && isReachable !== undefined && !await isReachable()) {
            this.settle(createTruncatedResult("the upstream accepts no connections after a close-delimited response"));
            return;
        }
        this.handleEnd();
    }

    private handleEnd(): void {
        const { head, verdict } = this;
        if (this.isSettled) {
            return;
        }
        if (head === undefined || verdict === undefined) {
            this.settle(createTruncatedResult("no response"));
            return;
        }
        if (this.isStreaming) {
            const problem = this.options.sink?.handleEnd();
            this.settle(
                problem === undefined
                    ? { kind: "streamed", isSelfDelimited: isSelfDelimited(head) }
                    : createTruncatedResult(problem),
            );
            return;
        }
        const response = { head, body: this.body.take() };
        const { faultAddress } = verdict;
        const reason = describeHead(head, this.options.codec.readNotice(head));
        if (verdict.kind === "declined") {
            this.settle({ kind: "ended", end: "declined", reason, response, faultAddress });
        }
        else if (head.status >= FIRST_SERVER_ERROR_STATUS) {
            this.settle({ kind: "ended", end: "failed", reason, response, faultAddress });
        }
        else {
            this.settle({ kind: "answered", response });
        }
    }

    private cancel(result: AttemptResult): void {
        this.exchange?.cancel();
        this.settle(result);
    }

    private settle(result: AttemptResult): void {
        if (!this.isSettled) {
            this.isSettled = true;
            clearInterval(this.failureTimer);
            this.removeStopHandler();
            this.resolve(result);
        }
    }
}

/** Adds the upstream's notices to the status, so that the log line of a request explains why it went elsewhere. */
function describeHead({ status }: ResponseHead, { backoff, leaving, limit }: UpstreamNotice): string {
    return [
        `status ${String(status)}`,
        ...(backoff.kind === "rest" ? [`backoff of ${String(backoff.backoffMs)} ms`] : []),
        ...(leaving === "said" ? ["leaving"] : []),
        ...(limit.kind === "limit" ? [`limit of ${String(limit.requestsPerSecond)} requests/s`] : []),
    ].join(", ");
}

function createTruncatedResult(reason: string): AttemptResult {
    return { kind: "ended", end: "broken", reason, hasConnectionEnded: true };
}
