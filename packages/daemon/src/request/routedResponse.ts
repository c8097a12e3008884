/**
 * The answer to a routed request, as it is written to the caller.
 */
import type { ServerResponse } from "node:http";
import type { OpenExchange, ResponseHead } from "../connection/upstreamExchange.js";
import type { CallCodec, RoutedCall } from "./routedCall.js";
import type { Refusal } from "./routedRefusal.js";
import type { BufferedResponse } from "./upstreamAttempt.js";

/** Headers that belong to one connection only (RFC 9110, section 7.6.1), or to how a body is framed there. */
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

/** Bytes that a caller may leave unread before the upstream is held up. */
const MAX_UNREAD_BYTES = 256 * 1_024;
const MS_PER_SECOND = 1_000;
const LENGTH_HEADERS: ReadonlySet<string> = new Set(["content-length"]);
const LENGTH_AND_RETRY_HEADERS: ReadonlySet<string> = new Set([...LENGTH_HEADERS, "retry-after"]);
/** Part of its time left after which a caller would not come back: a third (the users' pages), less the way. */
const RETRY_AFTER_FRACTION = 0.3;
const MIN_RETRY_AFTER_MS = 10;

/**
 * Leaves out the headers that concern one connection only.
 * @param rawHeaders - names and values in turn
 * @param additional - more names, in lower case, that are left out
 * @returns names and values in turn
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
 * Tells whether an answer says where it ends.
 * @param head - its head
 * @returns false where it ends with its connection
 */
export function isSelfDelimited(head: ResponseHead): boolean {
    return head.headers["content-length"] !== undefined || head.headers["transfer-encoding"] !== undefined;
}

/** What the time to come back follows from, in milliseconds. */
export interface RefusalTimes {
    /** The caller's time until its deadline; it comes back within a part of that, or not at all. */
    readonly remainingMs: number;
    /** When to come back where that is known: told as it is, since coming sooner is in vain. */
    readonly retryAfterMs?: number | undefined;
}

function drawRetryAfterMs(refusal: Refusal, remainingMs: number): number | undefined {
    if (refusal.retryAfterMs === undefined) {
        return undefined;
    }
    const jitteredMs = refusal.retryAfterMs + (refusal.retryJitterMs ?? 0) * Math.random();
    return Math.min(jitteredMs, remainingMs * RETRY_AFTER_FRACTION);
}

/** A time without an end is not told: coming back won't help. */
function formatRetryAfter(retryAfterMs: number | undefined): readonly string[] {
    return retryAfterMs === undefined || !Number.isFinite(retryAfterMs)
        ? []
        : ["Retry-After", String(Math.ceil(Math.max(MIN_RETRY_AFTER_MS, retryAfterMs)) / MS_PER_SECOND)];
}

/** Writes one answer. */
export class RoutedResponse {
    private closeDelimited = false;

    /**
     * @param response - nothing written yet
     * @param codec - names of headers
     * @param isStopping - whether callers should leave this connection
     */
    constructor(
        private readonly response: ServerResponse,
        private readonly codec: CallCodec,
        private readonly isStopping: () => boolean,
    ) {}

    /** Whether the head has been sent. */
    get hasStarted(): boolean {
        return this.response.headersSent;
    }

    /**
     * Sends an upstream's whole answer unchanged.
     * @param buffered - head and body
     * @param retryAfterMs - when the caller should come back, in place of what the upstream said of that; its notice where left out
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
        this.response.end(buffered.body);
    }

    /**
     * Sends an answer of our own.
     * @param call - the request
     * @param refusal - what is said
     * @param times - the caller's time until its deadline, and when it should come back
     */
    sendRefusal(call: RoutedCall, refusal: Refusal, { remainingMs, retryAfterMs }: RefusalTimes): void {
        const final = refusal.isFinal === true ? { final: true } : {};
        const body = Buffer.from(JSON.stringify({ error: refusal.id, message: refusal.text, ...final }));
        const headers = [...this.codec.createErrorHeaders(call), "Content-Type", "application/json"];
        headers.push(...formatRetryAfter(retryAfterMs ?? drawRetryAfterMs(refusal, remainingMs)));
        headers.push("Content-Length", String(body.length));
        this.writeHead(refusal.status, headers);
        this.response.end(body);
    }

    /**
     * Begins a stream with an upstream's head.
     * @param head - as it came
     */
    beginStream(head: ResponseHead): void {
        if (!isSelfDelimited(head)) {
            this.delimitByClose();
        }
        this.writeHead(head.status, removeHopByHopHeaders(head.rawHeaders, LENGTH_HEADERS));
    }

    /** Whether the answer ends with its connection, so that nobody can take an early end for a whole answer. */
    get isCloseDelimited(): boolean {
        return this.closeDelimited;
    }

    /**
     * Sends a whole event, and holds the upstream up while the caller does not read.
     * @param bytes - the event
     * @param exchange - where it came from
     */
    sendEvent(bytes: Buffer, exchange: OpenExchange): void {
        this.response.write(bytes);
        if (this.response.writableLength > MAX_UNREAD_BYTES) {
            exchange.pause();
            this.response.once("drain", () => {
                exchange.resume();
            });
        }
    }

    /** Ends a stream as complete. */
    endStream(): void {
        this.response.end();
    }

    /** Ends a stream so that the caller sees that it is not complete. */
    abort(): void {
        this.response.destroy();
    }

    /**
     * An upstream that crashes ends its connection as one does that has said everything. An answer without a length is
     * handed on without one, so that it claims no more than the upstream did.
     */
    private delimitByClose(): void {
        this.closeDelimited = true;
        this.response.shouldKeepAlive = false;
        this.response.useChunkedEncodingByDefault = false;
    }

    private writeHead(status: number, headers: string[]): void {
        if (this.isStopping()) {
            headers.push("Connection", "close");
        }
        this.response.writeHead(status, headers);
    }
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
