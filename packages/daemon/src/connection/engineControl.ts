/**
 * Control operations that a leader performs on an engine, apart from requests: reading its report and assigning layers.
 */
import type { LayerSpan, RegisteredUpstream } from "@crankfork/schemas";
import type { UpstreamNotice } from "../request/routedCall.js";

/** One incarnation of an engine and its address. */
export type EngineEndpoint = Pick<RegisteredUpstream, "id" | "life" | "address">;

/** A result with the notices in the response that carried it. */
interface ResultWithNotice {
    /** Absent if there was no response. */
    readonly notice?: UpstreamNotice | undefined;
}

/** State reported by an engine; it lags by some hundred milliseconds. */
export interface EngineReport {
    readonly kind: "report";
    /** Unix time of the engine's start, in milliseconds; undefined if the engine does not report it. */
    readonly startedAtMs: number | undefined;
    readonly held: LayerSpan | undefined;
    /** Number of orders accepted since its start. */
    readonly orders: number;
    /** Whether an order is in progress: layers are loading, or layers to release are still used by requests. */
    readonly isOrderInProgress: boolean;
    /** Factor by which it is slower than its accelerator's nominal speed. */
    readonly slowness: number;
    /** Requests that make no progress, and the address of the engine on their path that they wait for. */
    readonly stalled: readonly { readonly requestId: string; readonly address: string | undefined; }[];
}

/** A report, or the reason why there is none. */
export type ReportResult =
    & ResultWithNotice
    & (
        | EngineReport
        /** No valid response. */
        | {
            readonly kind: "failed";
            readonly reason: string;
            /** Whether the engine may still run, since its address neither refuses connections nor belongs to another upstream. */
            readonly isSilent?: boolean;
        }
        /** The engine is reachable but asked for a backoff, now or earlier. */
        | { readonly kind: "turned-away"; readonly reason: string; }
        /** The response could not be parsed: it neither describes the engine nor shows that the engine is gone. */
        | { readonly kind: "unreadable"; readonly reason: string; }
    );

/** Outcome of an order. */
export type OrderOutcome =
    & ResultWithNotice
    & (
        | { readonly kind: "begun"; }
        /** Rejected by the engine, or never sent. */
        | { readonly kind: "refused"; readonly reason: string; }
        /** Rejected by another upstream, which has the address now. */
        | { readonly kind: "misdirected"; readonly reason: string; }
        /** No response: the order may be executed now, later or never. */
        | { readonly kind: "unclear"; readonly reason: string; }
    );

/** Values by which an engine tells that an order is out of date and refuses it. */
export interface OrderGuard {
    /** Term of the leader that issues the order. */
    readonly fence: number;
    /** Number of orders that the engine must have accepted so far. */
    readonly expectedOrders: number;
}

/** Operations on engines. The functions never reject. */
export interface EngineControl {
    readonly getReport: (engine: EngineEndpoint) => Promise<ReportResult>;
    readonly placeLayers: (upstream: RegisteredUpstream, span: LayerSpan, guard: OrderGuard) => Promise<OrderOutcome>;
}
