/**
 * Writes the response to a routed request.
 */
import type { ServerResponse } from "node:http";
import type { ExitGuard } from "../connection/exitGuard.js";
import type { OpenExchange, ResponseHead } from "../connection/upstreamExchange.js";
import type { UnreadBudget, UnreadResponse } from "../process/entry/unreadBudget.js";
import { endResponse } from "../process/httpServer.js";
import type { CallCodec, RoutedCall } from "./routedCall.js";
import type { Refusal } from "./routedRefusal.js";
import type { BufferedResponse } from "./upstreamAttempt.js";

/** Hop-by-hop headers (RFC 9110, section 7.6.1), including those that frame the body on one connection. */
const HOP_BY_HOP_HEADERS = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);

const MS_PER_SECOND = 1_000;
const LENGTH_HEADERS: ReadonlySet<string> = new Set(["content-length"]);
const LENGTH_AND_RETRY_HEADERS: ReadonlySet<string> = new Set([...LENGTH_HEADERS, "retry-after"]);
/**
 * Fraction of the remaining time after which a caller would not retry: the platform's documentation states a third,
 * less the transit time.
 */
const RETRY_AFTER_FRACTION = 0.3;
const MIN_RETRY_AFTER_MS = 10;
/** Time for a caller to read the end of an aborted stream. */
const ABORT_FLUSH_MS = 1_000;
/** Part of an event stream that parsers ignore (HTML Living Standard, section 9.2). */
const UNFINISHED_COMMENT = ":";

/**
 * Removes the hop-by-hop headers.
 * @param rawHeaders - alternating names and values
 * @param additional - additional names to remove, in lower case
 * @returns alternating names and values
 */
export function removeHopByHopHeaders(
    rawHeaders: readonly string[],
    additional: ReadonlySet<string> = new Set(),
): string[] {
    const connectionOptions = parseConnectionOptions(rawHeaders);
    const kept: string[] = [];
    for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
        const name = rawHeaders[at] ?? "";
        const lower = name.toLowerCase();
        if (!HOP_BY_HOP_HEADERS.has(lower) && !connectionOptions.has(lower) && !additional.has(lower)) {
            kept.push(name, rawHeaders[at + 1] ?? "");
        }
    }
    return kept;
}

/**
 * Tells whether a response declares where it ends.
 * @param head - its headers
 * @returns false if its end is the close of the connection
 */
export function isSelfDelimited(head: ResponseHead): boolean {
    return head.headers["content-length"] !== undefined || head.headers["transfer-encoding"] !== undefined;
}

/** Input of the Retry-After header, in milliseconds. */
export interface RefusalTimes {
    /** Time until the caller's deadline; it retries within a fraction of that, or not at all. */
    readonly remainingMs: number;
    /** Known Retry-After; sent as it is, since an earlier retry would fail. */
    readonly retryAfterMs?: number | undefined;
}

function drawRetryAfterMs(refusal: Refusal, remainingMs: number): number | undefined {
    if (refusal.retryAfterMs === undefined) {
        return undefined;
    }
    const jitteredMs = refusal.retryAfterMs + (refusal.retryJitterMs ?? 0) * Math.random();
    return Math.min(jitteredMs, remainingMs * RETRY_AFTER_FRACTION);
}

/** Omits Retry-After if it is infinite: a retry would not help. */
function formatRetryAfter(retryAfterMs: number | undefined): readonly string[] {
    return retryAfterMs === undefined || !Number.isFinite(retryAfterMs)
        ? []
        : ["Retry-After", String(Math.ceil(Math.max(MIN_RETRY_AFTER_MS, retryAfterMs)) / MS_PER_SECOND)];
}

/** Writes one response. */
export class RoutedResponse {
    private isCloseDelimited = false;
    private releaseConnection = (): void => undefined;
    private unread: UnreadResponse | undefined;

    /**
     * @param response - the server response; nothing has been written yet
     * @param codec - the codec that creates headers
     * @param isStopping - whether callers should close this connection
     * @param exitGuard - resets the connection of a response that is delimited by it if this process is killed
     */
    constructor(
        private readonly response: ServerResponse,
        private readonly codec: CallCodec,
        private readonly isStopping: () => boolean,
        private readonly exitGuard?: Pick<ExitGuard, "guard">,
    ) {}

    /**
     * Counts what the caller has not read into a budget.
     * @param budget - the budget of all responses
     * @param organisation - name of the caller's organisation, empty for anonymous callers
     */
    limitUnread(budget: UnreadBudget, organisation: string): void {
        this.unread = budget.open(this.response, organisation);
    }

    /** How long the caller has not kept up with the upstream, in milliseconds; 0 once it has caught up. */
    get behindMs(): number {
        return this.unread?.behindMs ?? 0;
    }

    /** Whether the upstream is paused because the caller does not read. */
    get isPaused(): boolean {
        return this.unread?.isPaused === true;
    }

    /**
     * Sets the handler of pauses.
     * @param handle - called when the upstream pauses (true) and resumes (false)
     */
    watchPauses(handle: (isPaused: boolean) => void): void {
        if (this.unread !== undefined) {
            this.unread.handlePause = handle;
        }
    }

    /** Whether the headers have been sent. */
    get hasStarted(): boolean {
        return this.response.headersSent;
    }

    /**
     * Sends an upstream's complete response unchanged.
     * @param buffered - the response
     * @param retryAfterMs - replaces the upstream's Retry-After; the upstream's is kept if undefined
     */
    sendBuffered(buffered: BufferedResponse, retryAfterMs?: number): void {
        const omitted = retryAfterMs === undefined ? LENGTH_HEADERS : LENGTH_AND_RETRY_HEADERS;
        const headers = [
            ...removeHopByHopHeaders(buffered.head.rawHeaders, omitted),
            ...formatRetryAfter(retryAfterMs),
        ];
        if (isSelfDelimited(buffered.head)) {
            headers.push("Content-Length", String(buffered.body.length));
        }
        else {
            this.delimitByClose();
        }
        this.writeHead(buffered.head.status, headers);
        this.releaseAtFinish();
        this.response.end(buffered.body);
        this.unread?.recordWrite(undefined);
    }

    /**
     * Sends a refusal generated by this instance, also to a caller that is still sending its body.
     * @param call - the request
     * @param refusal - the refusal
     * @param times - time until the caller's deadline, and Retry-After if known
     */
    sendRefusal(call: RoutedCall, refusal: Refusal, { remainingMs, retryAfterMs }: RefusalTimes): void {
        const final = refusal.isFinal === true ? { final: true } : {};
        const body = Buffer.from(JSON.stringify({ error: refusal.id, message: refusal.text, ...final }));
        const headers = [...this.codec.createErrorHeaders(call), "Content-Type", "application/json"];
        headers.push(...formatRetryAfter(retryAfterMs ?? drawRetryAfterMs(refusal, remainingMs)));
        headers.push("Content-Length", String(body.length));
        this.writeHead(refusal.status, headers);
        endResponse(this.response, body);
    }

    /**
     * Starts a stream with the headers of an upstream.
     * @param head - the headers
     */
    beginStream(head: ResponseHead): void {
        if (!isSelfDelimited(head)) {
            this.delimitByClose();
        }
        this.writeHead(head.status, removeHopByHopHeaders(head.rawHeaders, LENGTH_HEADERS));
    }

    /**
     * Sends a complete event, and pauses the upstream while the caller does not read.
     * @param bytes - the event
     * @param exchange - the exchange that delivered it
     */
    sendEvent(bytes: Buffer, exchange: OpenExchange): void {
        this.response.write(bytes);
        this.unread?.recordWrite(exchange);
    }

    /** Completes a stream. */
    endStream(): void {
        this.releaseAtFinish();
        this.response.end();
        this.unread?.recordWrite(undefined);
    }

    /** Aborts the connection so that the caller notices that the response is incomplete. */
    abort(): void {
        if (this.isCloseDelimited && !this.isPaused) {
            // The end of the connection is that of a complete stream, unless it comes within an event.
            this.releaseAtFinish();
            this.response.end(UNFINISHED_COMMENT);
            this.response.setTimeout(ABORT_FLUSH_MS, () => this.response.destroy());
        }
        else {
            this.response.destroy();
        }
    }

    /**
     * Sends the response close-delimited. An upstream that crashes closes its connection just like one that has
     * finished, so a response without a length is forwarded without one: it must not claim more than the upstream did.
     */
    private delimitByClose(): void {
        this.response.shouldKeepAlive = false;
        this.response.useChunkedEncodingByDefault = false;
    }

    private writeHead(status: number, headers: string[]): void {
        if (this.isStopping()) {
            headers.push("Connection", "close");
        }
        this.response.writeHead(status, headers);
        this.isCloseDelimited = isDelimitedByClose(this.response, headers);
        const { socket } = this.response;
        if (this.isCloseDelimited && socket !== null) {
            this.releaseConnection = this.exitGuard?.guard(socket) ?? this.releaseConnection;
        }
    }

    /** The connection is closed in order once the whole response has been handed to the kernel. */
    private releaseAtFinish(): void {
        if (this.isCloseDelimited) {
            this.response.once("finish", () => {
                this.releaseConnection();
            });
        }
    }
}

/** Also true for a caller of HTTP/1.0, which does not know chunks. */
function isDelimitedByClose(response: ServerResponse, headers: readonly string[]): boolean {
    const hasLength = headers.some((name, at) => at % 2 === 0 && name.toLowerCase() === "content-length");
    return !hasLength && !response.chunkedEncoding;
}

function parseConnectionOptions(rawHeaders: readonly string[]): ReadonlySet<string> {
    const names = new Set<string>();
    for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
        if (rawHeaders[at]?.toLowerCase() === "connection") {
            (rawHeaders[at + 1] ?? "").split(",").forEach((name) => names.add(name.trim().toLowerCase()));
        }
    }
    return names;
}
