/**
 * Search for chains without common engines, the cheapest first. Engines name the spans, and the search runs on the event loop of an
 * entry, so the time of each chain is bounded by layers x engines.
 */
import type { EngineProfile } from "@crankfork/schemas";
import type { ChainStage, HoldingEngine } from "./computeChains.js";
import { computeUnboundedStepMs, getAccelerator, limitMs } from "./stageTimes.js";

/**
 * Cost of a link between failure domains, in milliseconds of a step: high enough that one is used only where there is no
 * alternative.
 */
const CROSS_DOMAIN_COST_MS = 1_000;
/** Cost of each stage, so that the shorter of two equal chains wins. */
const STAGE_COST_MS = 0.01;

/** An engine that is in no chain yet. */
interface FreeEngine {
    readonly engine: HoldingEngine;
    readonly stepFactor: number;
    /** Time of a step over all layers, by which engines are compared. */
    readonly stepMs: number;
}

/** The cheapest way to a layer. */
interface SearchNode {
    readonly costMs: number;
    readonly stage: ChainStage;
    readonly previous: SearchNode | undefined;
}

/** Finds chains one after another; each takes its engines out of the search. */
export class ChainSearch {
    /** The fastest first; of equal ones in the given order. */
    private free: readonly FreeEngine[];
    /** Layers at which the span of a free engine begins or ends, and how many do. */
    private readonly boundCounts = new Map<number, number>();
    private bounds: readonly number[] = [];

    /**
     * @param engines - engines that hold layers of the model
     * @param profile - the model and the accelerators
     */
    constructor(engines: readonly HoldingEngine[], private readonly profile: EngineProfile) {
        this.free = sortBySpeed(engines, profile);
        this.changeBound(0, 1);
        this.changeBound(profile.layers, 1);
        engines.forEach((engine) => {
            this.changeBounds(engine, 1);
        });
        this.updateBounds();
    }

    /**
     * Takes the cheapest chain.
     * @returns its stages, or undefined where no free engine holds some layer
     */
    takeNext(): readonly ChainStage[] | undefined {
        const last = this.findPath();
        if (last === undefined) {
            return undefined;
        }
        const stages = listStages(last);
        const used = new Set(stages.map(({ engine }) => engine.id));
        this.free = this.free.filter(({ engine }) => {
            if (used.has(engine.id)) {
                this.changeBounds(engine, -1);
            }
            return !used.has(engine.id);
        });
        this.updateBounds();
        return stages;
    }

    /** Shortest path over the bounds (dynamic programming). */
    private findPath(): SearchNode | undefined {
        const best: (SearchNode | undefined)[] = [];
        this.bounds.forEach((_from, at) => {
            if (at === 0 || best[at] !== undefined) {
                this.extendPath(best, at);
            }
        });
        return best[this.bounds.length - 1];
    }

    /**
     * Extends the path to one bound by each engine, as far as no faster one reaches. An engine of another failure domain costs more than
     * one of the same, so it is of use only beyond what any faster engine reaches, and one of the same domain beyond what the
     * faster ones of that domain reach.
     */
    private extendPath(best: (SearchNode | undefined)[], at: number): void {
        const { bounds } = this;
        const from = bounds[at] ?? 0;
        const here = best[at];
        const domain = here?.stage.engine.failureDomain;
        let reached = at;
        let reachedInside = at;
        for (const free of this.free) {
            const { span, failureDomain } = free.engine;
            const isInside = domain === undefined || domain === failureDomain;
            let to = isInside ? reachedInside : reached;
            if (span.first > from || span.end <= (bounds[to] ?? from) || hasVisited(here, free.engine.id)) {
                continue;
            }
            for (; (bounds[to + 1] ?? Number.POSITIVE_INFINITY) <= span.end; to += 1) {
                this.setIfCheaper(best, to + 1, { here, from, free, isInside });
            }
            reached = Math.max(reached, to);
            reachedInside = isInside ? to : reachedInside;
            if (reachedInside === bounds.length - 1) {
                return;
            }
        }
    }

    private setIfCheaper(
        best: (SearchNode | undefined)[],
        to: number,
        { here, from, free, isInside }: {
            readonly here: SearchNode | undefined;
            readonly from: number;
            readonly free: FreeEngine;
            readonly isInside: boolean;
        },
    ): void {
        const { engine, stepFactor } = free;
        const span = { first: from, end: this.bounds[to] ?? from };
        const stepMs = limitMs(computeUnboundedStepMs(span, engine.slowness, stepFactor, this.profile));
        const costMs = (here?.costMs ?? 0) + (stepMs + STAGE_COST_MS + (isInside ? 0 : CROSS_DOMAIN_COST_MS));
        const known = best[to];
        if (known === undefined || costMs < known.costMs) {
            best[to] = { costMs, stage: { engine, span }, previous: here };
        }
    }

    private changeBounds({ span }: HoldingEngine, by: number): void {
        this.changeBound(span.first, by);
        this.changeBound(span.end, by);
    }

    private changeBound(layer: number, by: number): void {
        const count = (this.boundCounts.get(layer) ?? 0) + by;
        if (count === 0) {
            this.boundCounts.delete(layer);
        }
        else {
            this.boundCounts.set(layer, count);
        }
    }

    private updateBounds(): void {
        if (this.bounds.length !== this.boundCounts.size) {
            this.bounds = [...this.boundCounts.keys()].sort((left, right) => left - right);
        }
    }
}

function sortBySpeed(engines: readonly HoldingEngine[], profile: EngineProfile): readonly FreeEngine[] {
    return engines.map((engine) => {
        const stepFactor = getAccelerator(engine, profile).step_factor;
        const all = { first: 0, end: profile.layers };
        const stepMs = computeUnboundedStepMs(all, engine.slowness, stepFactor, profile);
        return { engine, stepFactor, stepMs: stepMs >= 0 ? stepMs : Number.POSITIVE_INFINITY };
    }).sort((left, right) => left.stepMs < right.stepMs ? -1 : Number(left.stepMs > right.stepMs));
}

function hasVisited(last: SearchNode | undefined, id: string): boolean {
    let node = last;
    while (node !== undefined && node.stage.engine.id !== id) {
        node = node.previous;
    }
    return node !== undefined;
}

function listStages(last: SearchNode): readonly ChainStage[] {
    const stages: ChainStage[] = [];
    for (let node: SearchNode | undefined = last; node !== undefined; node = node.previous) {
        stages.unshift(node.stage);
    }
    return stages;
}
