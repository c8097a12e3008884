/**
 * The answer to a routed request, as it is written to the caller.
 */
import type { ServerResponse } from "node:http";
import type { OpenExchange, UpstreamHead } from "../connection/upstreamExchange.js";
import type { CallCodec, RoutedCall } from "./routedCall.js";
import type { Refusal } from "./routedRefusal.js";
import type { WholeAnswer } from "./routedTry.js";

/** Headers that belong to one connection only (RFC 9110, section 7.6.1), or to how a body is framed there. */
const CONNECTION_HEADERS = new Set([
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
const MOST_UNREAD_BYTES = 256 * 1_024;
const MS_A_SECOND = 1_000;
const LENGTH_HEADERS: ReadonlySet<string> = new Set(["content-length"]);
const RETURN_HEADERS: ReadonlySet<string> = new Set([...LENGTH_HEADERS, "retry-after"]);
/** Part of its time left after which a caller would not come back: a third (the users' pages), less the way. */
const RETRY_SHARE = 0.3;
const LEAST_RETRY_MS = 10;

/**
 * Leaves out the headers that concern one connection only.
 * @param rawHeaders - names and values in turn
 * @param others - more names, in lower case, that are left out
 * @returns names and values in turn
 */
export function removeConnectionHeaders(
    rawHeaders: readonly string[],
    others: ReadonlySet<string> = new Set(),
): string[] {
    const named = getConnectionNames(rawHeaders);
    const kept: string[] = [];
    for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
        const name = rawHeaders[at] ?? "";
        const lower = name.toLowerCase();
        if (!CONNECTION_HEADERS.has(lower) && !named.has(lower) && !others.has(lower)) {
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
export function isFramed(head: UpstreamHead): boolean {
    return head.headers["content-length"] !== undefined || head.headers["transfer-encoding"] !== undefined;
}

/** What the time to come back follows from, in milliseconds. */
export interface RefusalTimes {
    /** The caller's time until its deadline; it comes back within a part of that, or not at all. */
    readonly leftMs: number;
    /** When to come back where that is known: told as it is, since coming sooner is in vain. */
    readonly returnMs?: number | undefined;
}

function drawReturnMs(refusal: Refusal, leftMs: number): number | undefined {
    if (refusal.retryAfterMs === undefined) {
        return undefined;
    }
    const laterMs = refusal.retryAfterMs + (refusal.retrySpreadMs ?? 0) * Math.random();
    return Math.min(laterMs, leftMs * RETRY_SHARE);
}

/** A time without an end is not told: coming back won't help. */
function formatReturn(returnMs: number | undefined): readonly string[] {
    return returnMs === undefined || !Number.isFinite(returnMs)
        ? []
        : ["Retry-After", String(Math.ceil(Math.max(LEAST_RETRY_MS, returnMs)) / MS_A_SECOND)];
}

/** Writes one answer. */
export class RoutedAnswer {
    private hasNoFrame = false;

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
    get isBegun(): boolean {
        return this.response.headersSent;
    }

    /**
     * Sends an upstream's whole answer unchanged.
     * @param answer - head and body
     * @param returnMs - when the caller should come back, in place of what the upstream said of that; its notice where left out
     */
    sendWhole(answer: WholeAnswer, returnMs?: number): void {
        const left = returnMs === undefined ? LENGTH_HEADERS : RETURN_HEADERS;
        const headers = [...removeConnectionHeaders(answer.head.rawHeaders, left), ...formatReturn(returnMs)];
        if (isFramed(answer.head)) {
            headers.push("Content-Length", String(answer.body.length));
        }
        else {
            this.leaveUnframed();
        }
        this.writeHead(answer.head.status, headers);
        this.response.end(answer.body);
    }

    /**
     * Sends an answer of our own.
     * @param call - the request
     * @param refusal - what is said
     * @param times - the caller's time until its deadline, and when it should come back
     */
    sendRefusal(call: RoutedCall, refusal: Refusal, { leftMs, returnMs }: RefusalTimes): void {
        const final = refusal.isFinal === true ? { final: true } : {};
        const body = Buffer.from(JSON.stringify({ error: refusal.id, message: refusal.text, ...final }));
        const headers = [...this.codec.createErrorHeaders(call), "Content-Type", "application/json"];
        headers.push(...formatReturn(returnMs ?? drawReturnMs(refusal, leftMs)));
        headers.push("Content-Length", String(body.length));
        this.writeHead(refusal.status, headers);
        this.response.end(body);
    }

    /**
     * Begins a stream with an upstream's head.
     * @param head - as it came
     */
    beginStream(head: UpstreamHead): void {
        if (!isFramed(head)) {
            this.leaveUnframed();
        }
        this.writeHead(head.status, removeConnectionHeaders(head.rawHeaders, LENGTH_HEADERS));
    }

    /** Whether the answer ends with its connection, so that nobody can take an early end for a whole answer. */
    get isUnframed(): boolean {
        return this.hasNoFrame;
    }

    /**
     * Sends a whole event, and holds the upstream up while the caller does not read.
     * @param bytes - the event
     * @param exchange - where it came from
     */
    sendEvent(bytes: Buffer, exchange: OpenExchange): void {
        this.response.write(bytes);
        if (this.response.writableLength > MOST_UNREAD_BYTES) {
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
    breakOff(): void {
        this.response.destroy();
    }

    /**
     * An upstream that crashes ends its connection as one does that has said everything. An answer without a length is
     * handed on without one, so that it claims no more than the upstream did.
     */
    private leaveUnframed(): void {
        this.hasNoFrame = true;
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

function getConnectionNames(rawHeaders: readonly string[]): ReadonlySet<string> {
    const names = new Set<string>();
    for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
        if (rawHeaders[at]?.toLowerCase() === "connection") {
            (rawHeaders[at + 1] ?? "").split(",").forEach((name) => names.add(name.trim().toLowerCase()));
        }
    }
    return names;
}
