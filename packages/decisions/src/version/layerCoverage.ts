/**
 * How many engines hold each layer.
 */
import type { LayerSpan } from "@crankfork/schemas";

/**
 * Counts the holders of each layer. Stored as runs of adjacent layers with the same count, so that the size depends on the number
 * of engines and not on the number of layers that somebody reports.
 */
export class LayerCoverage {
    /** First layer of each run, ascending; a run ends where the next one begins, the last one at the last layer. */
    private firsts: number[] = [0];
    private counts: number[] = [0];

    /**
     * @param layers - layers of the model
     * @param spans - layers that engines hold; those beyond the model are ignored
     */
    constructor(private readonly layers: number, spans: readonly LayerSpan[]) {
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
        const before = this.counts.findLastIndex((count, run) => run < last && count >= depth);
        return { first: this.firsts[before + 1] ?? 0, end: this.getEnd(last) };
    }

    /**
     * Tells whether enough engines hold each layer of a span.
     * @param span - the layers
     * @param depth - holders that each should have
     * @returns false where one layer has fewer
     */
    isCovered(span: LayerSpan, depth: number): boolean {
        return this.counts.every((count, run) =>
            count >= depth || this.getEnd(run) <= span.first || (this.firsts[run] ?? 0) >= span.end
        );
    }

    /**
     * Copies the counts, for a trial assignment.
     * @returns an independent copy
     */
    copy(): LayerCoverage {
        const copy = new LayerCoverage(this.layers, []);
        copy.firsts = [...this.firsts];
        copy.counts = [...this.counts];
        return copy;
    }

    private getEnd(run: number): number {
        return this.firsts[run + 1] ?? this.layers;
    }

    private change(span: LayerSpan, by: number): void {
        const first = Math.max(0, span.first);
        const end = Math.min(this.layers, span.end);
        if (first < end) {
            const from = this.splitAt(first);
            const to = this.splitAt(end);
            for (let run = from; run < to; run += 1) {
                this.counts[run] = (this.counts[run] ?? 0) + by;
            }
        }
    }

    /** Returns the run that begins at a layer. */
    private splitAt(layer: number): number {
        if (layer >= this.layers) {
            return this.counts.length;
        }
        const run = this.firsts.findLastIndex((first) => first <= layer);
        if (this.firsts[run] === layer) {
            return run;
        }
        this.firsts.splice(run + 1, 0, layer);
        this.counts.splice(run + 1, 0, this.counts[run] ?? 0);
        return run + 1;
    }
}
