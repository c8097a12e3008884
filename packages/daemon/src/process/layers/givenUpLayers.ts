/**
 * Layers that engines were ordered to give up; their heartbeats tell them until nothing uses them any more.
 */
import type { LayerSpan, UpstreamFacts } from "@crankfork/schemas";
import { isSameSpan } from "./layerSpans.js";

/** Remembers what was given up, by engine. */
export class GivenUpLayers {
    private readonly spans = new Map<string, LayerSpan>();

    /**
     * Notes that an engine gives its layers up.
     * @param id - names one start of the engine
     * @param span - the layers
     */
    record(id: string, span: LayerSpan): void {
        this.spans.set(id, span);
    }

    /** Forgets everything: a new leader gave no orders yet. */
    reset(): void {
        this.spans.clear();
    }

    /**
     * Reads which layers an engine holds, without those that it gives up.
     * @param facts - what its heartbeat told
     * @returns the layers, or undefined where there are none
     */
    readHeld({ id, held }: UpstreamFacts): LayerSpan | undefined {
        const givenUp = this.spans.get(id);
        if (givenUp !== undefined && isSameSpan(held, givenUp)) {
            return undefined;
        }
        if (held !== undefined) {
            this.spans.delete(id);
        }
        return held;
    }
}
