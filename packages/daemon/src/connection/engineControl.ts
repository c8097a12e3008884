/**
 * What a leader asks of an engine beside requests: a report, and layers to take.
 */
import type { LayerSpan, RegisteredUpstream } from "@crankfork/schemas";
import type { UpstreamNotice } from "../request/routedCall.js";

/** One life of an engine and where it is. */
export type EngineEndpoint = Pick<RegisteredUpstream, "id" | "life" | "address">;

/** What came back, with what the engine said of itself beside it. */
interface ResultWithNotice {
    /** Left out where nothing came back. */
    readonly notice?: UpstreamNotice | undefined;
}

/** What an engine says of itself; it lags by some hundred milliseconds. */
export interface EngineReport {
    readonly kind: "report";
    /** Unix time of the engine's start, in milliseconds; undefined where it doesn't tell. */
    readonly startedAtMs: number | undefined;
    readonly held: LayerSpan | undefined;
    /** Orders that it has taken since its start. */
    readonly orders: number;
    /** Whether it still works on an order: it loads, or waits for requests that use what it gives up. */
    readonly isOrderInProgress: boolean;
    /** How many times slower it is than its accelerator should be. */
    readonly slowness: number;
    /** Requests that stand still, and the address of the engine on their path that they wait for. */
    readonly stalled: readonly { readonly requestId: string; readonly address: string | undefined; }[];
}

/** A report, or why there is none. */
export type ReportResult =
    & ResultWithNotice
    & (
        | EngineReport
        /** No answer. */
        | { readonly kind: "failed"; readonly reason: string; }
        /** It is there and asked for rest, now or before. */
        | { readonly kind: "turned-away"; readonly reason: string; }
        /** Something answers there, and what it says makes no sense: the engine is neither described by it nor gone. */
        | { readonly kind: "unreadable"; readonly reason: string; }
    );

/** How an order ended. */
export type OrderOutcome =
    & ResultWithNotice
    & (
        | { readonly kind: "begun"; }
        /** The engine said no, or nothing was sent. */
        | { readonly kind: "refused"; readonly reason: string; }
        /** No answer: it may be carried out now, later or never. */
        | { readonly kind: "unclear"; readonly reason: string; }
    );

/** What guards an order against older ones. */
export interface OrderGuard {
    /** Term of the leader that gives the order. */
    readonly fence: number;
    /** Orders that the engine must have taken so far. */
    readonly expectedOrders: number;
}

/** Speaks to engines. The functions never reject. */
export interface EngineControl {
    readonly getReport: (engine: EngineEndpoint) => Promise<ReportResult>;
    readonly placeLayers: (upstream: RegisteredUpstream, span: LayerSpan, guard: OrderGuard) => Promise<OrderOutcome>;
}
