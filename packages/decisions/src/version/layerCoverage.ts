/**
 * How many engines hold each layer.
 */
import type { LayerSpan } from "@crankfork/schemas";

/** Counts the holders of each layer. */
export class LayerCoverage {
    private readonly counts: number[];

    /**
     * @param layers - layers of the model
     * @param spans - layers that engines hold
     */
    constructor(layers: number, spans: readonly LayerSpan[]) {
        this.counts = new Array<number>(layers).fill(0);
        spans.forEach((span) => {
            this.add(span);
        });
    }

    /**
     * Adds a holder.
     * @param span - what it holds
     */
    add(span: LayerSpan): void {
        this.change(span, 1);
    }

    /**
     * Removes a holder.
     * @param span - what it held; undefined for nothing
     */
    remove(span: LayerSpan | undefined): void {
        if (span !== undefined) {
            this.change(span, -1);
        }
    }

    /**
     * Finds the last gap: adjacent layers that too few engines hold.
     * @param depth - holders that each layer should have
     * @returns the gap nearest to the last layer, or undefined where there is none
     */
    findLastGap(depth: number): LayerSpan | undefined {
        const last = this.counts.findLastIndex((count) => count < depth);
        if (last === -1) {
            return undefined;
        }
        const before = this.counts.slice(0, last).findLastIndex((count) => count >= depth);
        return { first: before + 1, end: last + 1 };
    }

    /**
     * Tells whether enough engines hold each layer of a span.
     * @param span - the layers
     * @param depth - holders that each should have
     * @returns false where one layer has fewer
     */
    isCovered(span: LayerSpan, depth: number): boolean {
        return this.counts.slice(span.first, span.end).every((count) => count >= depth);
    }

    /**
     * Copies the counts, for a trial assignment.
     * @returns an independent copy
     */
    copy(): LayerCoverage {
        const copy = new LayerCoverage(this.counts.length, []);
        copy.counts.splice(0, copy.counts.length, ...this.counts);
        return copy;
    }

    private change(span: LayerSpan, by: number): void {
        for (let layer = span.first; layer < span.end; layer += 1) {
            this.counts[layer] = (this.counts[layer] ?? 0) + by;
        }
    }
}
