/**
 * How many engines hold each layer.
 */
import type { LayerSpan } from "@crankfork/schemas";

/** Counts holders by layer. */
export class LayerCoverage {
    private readonly counts: number[];

    /**
     * @param layers - layers of the model
     * @param spans - what engines hold
     */
    constructor(layers: number, spans: readonly LayerSpan[]) {
        this.counts = new Array<number>(layers).fill(0);
        spans.forEach((span) => {
            this.add(span);
        });
    }

    /**
     * Counts one more holder.
     * @param span - what it holds
     */
    add(span: LayerSpan): void {
        this.change(span, 1);
    }

    /**
     * Counts one holder less.
     * @param span - what it held; undefined for nothing
     */
    remove(span: LayerSpan | undefined): void {
        if (span !== undefined) {
            this.change(span, -1);
        }
    }

    /**
     * Finds the layers nearest to the end that too few engines hold.
     * @param depth - holders that each layer should have
     * @returns all such layers that lie together, or undefined where there are none
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
     * Tells whether enough engines hold each of some layers.
     * @param span - the layers
     * @param depth - holders that each should have
     * @returns false where one layer has fewer
     */
    isCovered(span: LayerSpan, depth: number): boolean {
        return this.counts.slice(span.first, span.end).every((count) => count >= depth);
    }

    /**
     * Copies the counts, to try something out.
     * @returns counts of their own
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
