/**
 * Types shared by the parts of the layer plan.
 */
import type { LayerSpan } from "@crankfork/schemas";

/** An engine that may be assigned layers, or more than it holds. */
export interface AssignableEngine {
    readonly id: string;
    readonly failureDomain: string;
    /** Layers that fit beside the usual memory for requests. */
    readonly layerCapacity: number;
    /** Layers that fit beside the least memory for requests. */
    readonly tightLayerCapacity: number;
    /** Step time as a multiple of the profile's `step_ms`, including the slowness of the engine. */
    readonly stepFactor: number;
    readonly mayBeOrdered: boolean;
    /** Layers that it holds or was ordered to hold; undefined for an empty engine. */
    readonly span: LayerSpan | undefined;
}

/** Orders an engine to hold layers; layers outside the span are released. */
export interface LayerOrder {
    readonly id: string;
    readonly span: LayerSpan;
}
