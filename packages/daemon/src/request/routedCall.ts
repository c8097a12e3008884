/**
 * A request that is routed by host and path, free of the names that its protocol has on the wire. A codec, passed in,
 * reads and writes those.
 */
import type { ChainStage, LimitNotice, RequestSize, RestNotice } from "@crankfork/decisions";
import type { IncomingMessage } from "node:http";
import type { ResponseHead } from "../connection/upstreamExchange.js";

/** A request as it was read from the caller. */
export interface RoutedCall {
    /** The caller's id of this attempt; an answer of an upstream must carry it. */
    readonly requestId: string;
    readonly method: string;
    /** Lower case, without a port. */
    readonly host: string;
    /** Path and query as they came. */
    readonly target: string;
    /** Path without the query. */
    readonly path: string;
    readonly key: string | undefined;
    /** How long the caller waits, from its first byte. */
    readonly deadlineMs: number | undefined;
    /** Size of a generation; undefined for a request that runs no model. */
    readonly size: RequestSize | undefined;
    /** Event after which the caller resumes a stream. */
    readonly lastEventId: string | undefined;
    /** Headers as they came, names and values in turn. */
    readonly rawHeaders: readonly string[];
}

/** Where a try goes, and what the upstream is told. */
export interface CallTarget {
    /** Names one life of the upstream. */
    readonly upstreamId: string;
    /** What it registers under; any other upstream at its address declines what is meant for it. */
    readonly upstreamName: string;
    readonly address: string;
    /** Engines that the request passes, for a service that runs a model. */
    readonly stages: readonly ChainStage[] | undefined;
    readonly remainingMs: number;
    readonly organisation: string | undefined;
    readonly priority: number;
    readonly lastEventId: string | undefined;
}

/** What the head of an answer says. */
export interface ResponseVerdict {
    /**
     * `answer`: the upstream ran this request. `declined`: it says that it did not. `stray`: it belongs to another
     * request, or is no answer of an upstream.
     */
    readonly kind: "answer" | "declined" | "stray";
    /** Address of another upstream that is at fault, where the answer names one. */
    readonly faultAddress: string | undefined;
}

/** What an upstream says of itself in the head of an answer, whatever it was asked. */
export interface UpstreamNotice {
    /** For how long it wants nothing more from this instance; only a request that it turned away says so. */
    readonly rest: RestNotice;
    /** `unreadable` where the head says something else than yes or no. */
    readonly leaving: "said" | "not-said" | "unreadable";
    /** The rate that it takes from all instances together, for as long as its answers say so. */
    readonly limit: LimitNotice;
}

/** Reads and writes what the protocol calls these things. */
export interface CallCodec {
    readonly parseCall: (message: IncomingMessage) => RoutedCall;
    readonly createUpstreamHeaders: (call: RoutedCall, target: CallTarget) => readonly string[];
    readonly classifyHead: (call: RoutedCall, head: ResponseHead) => ResponseVerdict;
    readonly readNotice: (head: ResponseHead) => UpstreamNotice;
    /** Headers of an answer of our own, names and values in turn. */
    readonly createErrorHeaders: (call: RoutedCall) => readonly string[];
}
