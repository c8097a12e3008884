/**
 * Layers that engines were ordered to release. Their heartbeats keep listing them until the last request that uses them ends.
 */
import type { LayerSpan, UpstreamFacts } from "@crankfork/schemas";
import { isSameSpan } from "./layerSpans.js";

/** Tracks layers under release, by engine. */
export class ReleasedLayers {
    private readonly spans = new Map<string, LayerSpan>();

    /**
     * Records that an engine is releasing its layers.
     * @param id - the engine's incarnation
     * @param span - the layers
     */
    record(id: string, span: LayerSpan): void {
        this.spans.set(id, span);
    }

    /** Drops all records; a newly elected leader has given no orders yet. */
    reset(): void {
        this.spans.clear();
    }

    /**
     * Determines which layers an engine holds, without those under release.
     * @param facts - the engine's heartbeat
     * @returns the layers, or undefined if there are none
     */
    getHeldLayers({ id, held }: UpstreamFacts): LayerSpan | undefined {
        const released = this.spans.get(id);
        if (released !== undefined && isSameSpan(held, released)) {
            return undefined;
        }
        if (held !== undefined) {
            this.spans.delete(id);
        }
        return held;
    }
}
