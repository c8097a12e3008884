/**
 * The protocol by which an entry sends a request to an upstream through another entry. The request and its response are
 * the bodies of an HTTP exchange between the two; headers describe them. The response body is always chunked and ends with a
 * trailer, which distinguishes an upstream that closed its connection from a relay that failed.
 */
import type { IncomingHttpHeaders } from "node:http";
import { isSelfDelimited, removeHopByHopHeaders } from "../request/routedResponse.js";
import { decodeHeaderText, encodeHeaderText } from "./headerText.js";
import { assertValidHead, InvalidHeadError, isInterim } from "./responseRule.js";
import type { UpstreamEndpoint } from "./upstreamConnections.js";
import type { ResponseHead, UpstreamRequest } from "./upstreamExchange.js";

/** Path on the peers' port. */
export const RELAY_PATH = "/relay";

const PREFIX = "x-crankfork-relay-";
const names = {
    upstream: `${PREFIX}upstream`,
    address: `${PREFIX}address`,
    connection: `${PREFIX}connection`,
    method: `${PREFIX}method`,
    path: `${PREFIX}path`,
    result: `${PREFIX}result`,
    reason: `${PREFIX}reason`,
    backoffMs: `${PREFIX}backoff-ms`,
    status: `${PREFIX}status`,
    framing: `${PREFIX}framing`,
    end: `${PREFIX}end`,
} as const;

const NEW_CONNECTION = "new";
const STATUS_PATTERN = /^\d{3}$/;

/** Headers that the HTTP server or client of a hop adds by itself. */
const HOP_HEADERS: ReadonlySet<string> = new Set(["content-length", "connection", "keep-alive", "transfer-encoding"]);

/** A request that is relayed. */
export interface RelayedRequest {
    readonly endpoint: UpstreamEndpoint;
    readonly request: Omit<UpstreamRequest, "body">;
}

/** Why a relay sent nothing to the upstream. */
export type RelayRefusal =
    /** It could not connect to the upstream either. */
    | "unreachable"
    | "unknown-upstream"
    | "busy"
    | "stopping"
    | "unreadable";

/** What a relay did with a request. */
export type RelayResult =
    | { readonly kind: "answer"; readonly head: ResponseHead; }
    /** The head of the upstream's response is invalid, which a relay of another build may not have checked. */
    | { readonly kind: "invalid"; readonly reason: string; }
    | { readonly kind: "not-sent"; readonly refusal: string; }
    /** Nothing was sent, because the upstream asked the relay to back off. */
    | { readonly kind: "withheld"; readonly backoffMs: number; }
    /** The request was sent, and the upstream gave no response. */
    | { readonly kind: "broken"; readonly end: RelayEnd | undefined; }
    /** The peer is of a build that does not relay. */
    | { readonly kind: "unsupported"; };

/** How the response of the upstream ended. */
export type RelayEnd = "whole" | "closed" | "malformed";

/**
 * Encodes a request.
 * @param endpoint - the upstream
 * @param request - method, path and headers for the upstream
 * @returns the headers of the hop, alternating names and values
 */
export function encodeRelayedRequest(
    { upstreamId, address, needsNewConnection }: UpstreamEndpoint,
    { method, path, headers }: Omit<UpstreamRequest, "body" | "address">,
): string[] {
    return [
        ...removeRelayHeaders(headers),
        names.upstream,
        encodeHeaderText(upstreamId),
        names.address,
        address,
        names.method,
        method,
        names.path,
        path,
        ...(needsNewConnection === true ? [names.connection, NEW_CONNECTION] : []),
    ];
}

/**
 * Decodes a request.
 * @param headers - the headers of the hop
 * @param rawHeaders - the same, alternating names and values
 * @returns the request, or undefined if a part is missing
 */
export function decodeRelayedRequest(
    headers: IncomingHttpHeaders,
    rawHeaders: readonly string[],
): RelayedRequest | undefined {
    const upstreamId = getText(headers[names.upstream]);
    const address = getText(headers[names.address]);
    const method = getText(headers[names.method]);
    const path = getText(headers[names.path]);
    if (upstreamId === undefined || address === undefined || method === undefined || path === undefined) {
        return undefined;
    }
    const forwarded = removeRelayHeaders(removeHopByHopHeaders(rawHeaders, HOP_HEADERS));
    const needsNewConnection = getText(headers[names.connection]) === NEW_CONNECTION;
    return {
        endpoint: { upstreamId: decodeHeaderText(upstreamId), address, needsNewConnection },
        request: { address, method, path, headers: forwarded },
    };
}

/**
 * Encodes the head of an upstream's response.
 * @param head - the head
 * @returns the headers of the hop, alternating names and values
 */
export function encodeRelayedHead(head: ResponseHead): string[] {
    const length = getText(head.headers["content-length"]);
    const framing = length ?? (isSelfDelimited(head) ? "chunked" : "close");
    return [
        ...removeRelayHeaders(removeHopByHopHeaders(head.rawHeaders, HOP_HEADERS)),
        names.result,
        "answer",
        names.status,
        String(head.status),
        names.framing,
        framing,
    ];
}

/**
 * Encodes that nothing was sent.
 * @param refusal - the reason
 * @returns the headers of the hop, alternating names and values
 */
export function encodeRelayRefusal(refusal: RelayRefusal): string[] {
    return [names.result, "not-sent", names.reason, refusal];
}

/**
 * Encodes that nothing was sent because the upstream asked for a backoff.
 * @param backoffMs - its remaining time, in milliseconds
 * @returns the headers of the hop, alternating names and values
 */
export function encodeWithheld(backoffMs: number): string[] {
    return [names.result, "withheld", names.backoffMs, String(Math.ceil(backoffMs))];
}

/**
 * Encodes that the request was sent and the upstream gave no response.
 * @param end - how its connection ended
 * @returns the headers of the hop, alternating names and values
 */
export function encodeBroken(end: RelayEnd): string[] {
    return [names.result, "broken", names.end, end];
}

/**
 * Encodes how a response ended.
 * @param end - how it ended
 * @returns the trailer
 */
export function encodeRelayEnd(end: RelayEnd): Record<string, string> {
    return { [names.end]: end };
}

/**
 * Decodes the head of a relay's response.
 * @param headers - the headers of the hop
 * @param rawHeaders - the same, alternating names and values
 * @returns what the relay did
 */
export function decodeRelayResult(headers: ResponseHead["headers"], rawHeaders: readonly string[]): RelayResult {
    switch (getText(headers[names.result])) {
        case "not-sent":
            return { kind: "not-sent", refusal: getText(headers[names.reason]) ?? "" };
        case "withheld":
            return { kind: "withheld", backoffMs: decodeBackoffMs(getText(headers[names.backoffMs])) };
        case "broken":
            return { kind: "broken", end: decodeRelayEnd(headers) };
        case "answer":
            return decodeAnswer(headers, rawHeaders);
        case undefined:
        default:
            return { kind: "unsupported" };
    }
}

/**
 * Decodes how a response ended.
 * @param trailers - the trailers of the hop, or its headers where the upstream gave no response
 * @returns how it ended; undefined if the relay failed before the end
 */
export function decodeRelayEnd(trailers: ResponseHead["headers"]): RelayEnd | undefined {
    const end = getText(trailers[names.end]);
    return end === "whole" || end === "closed" || end === "malformed" ? end : undefined;
}

/** Without a valid time, the upstream is asked again at once. */
function decodeBackoffMs(text: string | undefined): number {
    const backoffMs = Number(text);
    return backoffMs > 0 ? backoffMs : 0;
}

function decodeAnswer(headers: ResponseHead["headers"], rawHeaders: readonly string[]): RelayResult {
    const head = decodeHead(headers, rawHeaders);
    try {
        assertValidHead(head.status, head.rawHeaders);
        return isInterim(head.status)
            ? { kind: "invalid", reason: `interim status ${String(head.status)}` }
            : { kind: "answer", head };
    }
    catch (error) {
        if (error instanceof InvalidHeadError) {
            return { kind: "invalid", reason: error.message };
        }
        throw error;
    }
}

function decodeHead(headers: ResponseHead["headers"], rawHeaders: readonly string[]): ResponseHead {
    const framing = getText(headers[names.framing]) ?? "close";
    const framingHeader = framing === "close"
        ? []
        : framing === "chunked"
        ? ["transfer-encoding", "chunked"]
        : ["content-length", framing];
    const raw = [...removeRelayHeaders(removeHopByHopHeaders(rawHeaders, HOP_HEADERS)), ...framingHeader];
    const kept = Object.entries(headers).filter(([name]) => !HOP_HEADERS.has(name) && !name.startsWith(PREFIX));
    const [name, value] = framingHeader;
    return {
        status: decodeStatus(getText(headers[names.status])),
        rawHeaders: raw,
        headers: Object.fromEntries(name === undefined ? kept : [...kept, [name, value]]),
    };
}

/** NaN for a text that is no status. */
function decodeStatus(text: string = ""): number {
    return STATUS_PATTERN.test(text) ? Number(text) : Number.NaN;
}

/** A caller's header of such a name means nothing, and is not forwarded. */
function removeRelayHeaders(rawHeaders: readonly string[]): string[] {
    return rawHeaders.flatMap((name, at) =>
        at % 2 === 1 || name.toLowerCase().startsWith(PREFIX) ? [] : [name, rawHeaders[at + 1] ?? ""]
    );
}

function getText(value: string | string[] | undefined): string | undefined {
    return Array.isArray(value) ? value[0] : value;
}
