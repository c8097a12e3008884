/**
 * Layers that engines listed in their reports. A heartbeat that arrives after a report may have been sent before it, for instance
 * because it waited until this process read it, and then lists older layers.
 */
import type { LayerSpan } from "@crankfork/schemas";
import { isSameSpan } from "./layerSpans.js";

interface ReportedSpan {
    readonly held: LayerSpan;
    /** Whether a heartbeat has arrived since the report. */
    isFollowed: boolean;
}

/** Tracks the layers of the newest report of each engine until its heartbeats are newer than that. */
export class ReportedLayers {
    private readonly spans = new Map<string, ReportedSpan>();

    /**
     * Records the layers that an engine reported.
     * @param id - the engine's incarnation
     * @param held - the layers; undefined if there are none
     */
    record(id: string, held: LayerSpan | undefined): void {
        if (held === undefined) {
            this.spans.delete(id);
        }
        else {
            this.spans.set(id, { held, isFollowed: false });
        }
    }

    /** Drops all records; a newly elected leader has received no reports yet. */
    reset(): void {
        this.spans.clear();
    }

    /**
     * Drops the records of engines that are gone.
     * @param isKnown - whether an incarnation is registered
     */
    prune(isKnown: (id: string) => boolean): void {
        [...this.spans.keys()].filter((id) => !isKnown(id)).forEach((id) => {
            this.spans.delete(id);
        });
    }

    /**
     * Determines which layers an engine holds. An engine sends its next heartbeat after this one was answered, so only the second
     * heartbeat after a report certainly was sent after it.
     * @param id - the engine's incarnation
     * @param held - the layers by its newest heartbeat
     * @returns the layers, or undefined if there are none
     */
    resolveHeldLayers(id: string, held: LayerSpan | undefined): LayerSpan | undefined {
        const reported = this.spans.get(id);
        if (reported === undefined || reported.isFollowed || isSameSpan(reported.held, held)) {
            this.spans.delete(id);
            return held;
        }
        reported.isFollowed = true;
        return reported.held;
    }
}
