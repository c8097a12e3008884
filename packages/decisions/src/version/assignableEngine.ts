/**
 * What the parts of the layer plan share.
 */
import type { LayerSpan } from "@crankfork/schemas";

/** An engine that may take layers, or more than it holds. */
export interface AssignableEngine {
    readonly id: string;
    readonly failureDomain: string;
    /** Layers that it holds beside the memory for requests. */
    readonly layerCapacity: number;
    /** Layers that it holds beside the least memory for requests. */
    readonly tightLayerCapacity: number;
    /** Time of a step against the fastest accelerator there could be; grows with the engine's slowness. */
    readonly stepFactor: number;
    readonly mayBeOrdered: boolean;
    /** What it holds, or was ordered to hold; undefined for an empty engine. */
    readonly span: LayerSpan | undefined;
}

/** An engine is to take layers; what it held before is given up. */
export interface LayerOrder {
    readonly id: string;
    readonly span: LayerSpan;
}
