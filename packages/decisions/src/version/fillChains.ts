/**
 * Which engines fill the gaps of paths: empty ones first, then those that hold what others hold too. A path that has to
 * cross failure domains stays in one as long as it can: each crossing costs every token its way over the pipe.
 */
import type { LayerSpan } from "@crankfork/schemas";
import type { AssignableEngine, LayerOrder } from "./assignableEngine.js";
import { LayerCoverage } from "./layerCoverage.js";

/** What was filled. */
export interface FilledChains {
    readonly orders: readonly LayerOrder[];
    /** Engines that got no order. */
    readonly rest: readonly AssignableEngine[];
    /** What is held and loaded, less what the orders give up. */
    readonly loaded: LayerCoverage;
    /** Paths that are whole once the orders are carried out; the only one may still have a hole. */
    readonly chains: number;
    /** Whether each layer is held once the orders are carried out. */
    readonly isComplete: boolean;
}

/** What is held or ordered, and what is held and loaded: only the latter can replace what is given up. */
interface Coverages {
    readonly coverage: LayerCoverage;
    readonly loaded: LayerCoverage;
}

interface Fill extends Coverages {
    readonly orders: readonly LayerOrder[];
    readonly isWhole: boolean;
}

/**
 * Fills gaps, path by path; the last path that can't be completed is not begun.
 * @param engines - sound engines, in the order in which they are to be used where no neighbour decides
 * @param layers - layers of the model
 * @returns orders and what is left
 */
export function fillChains(engines: readonly AssignableEngine[], layers: number): FilledChains {
    let rest = engines;
    let coverages: Coverages = {
        coverage: new LayerCoverage(layers, engines.flatMap(({ span }) => span ?? [])),
        loaded: new LayerCoverage(layers, engines.flatMap(({ span, mayBeOrdered }) => mayBeOrdered ? span ?? [] : [])),
    };
    const orders: LayerOrder[] = [];
    for (let paths = 0;; paths += 1) {
        const isWhole = coverages.coverage.findLastGap(1) === undefined;
        const fill = paths === 0 ? fillFirstPath(coverages, rest) : fillUpTo(coverages, paths + 1, rest);
        if (!fill.isWhole && (paths > 0 || fill.orders.length === 0)) {
            return { orders, rest, loaded: coverages.loaded, chains: paths, isComplete: isWhole };
        }
        coverages = fill;
        orders.push(...fill.orders);
        const used = new Set(fill.orders.map(({ id }) => id));
        rest = rest.filter((engine) => !used.has(engine.id));
    }
}

/**
 * A first path that can't be closed with the usual memory for requests is closed with less. Where that does not help
 * either it is filled as far as it goes: the next engine may close it.
 */
function fillFirstPath(coverages: Coverages, engines: readonly AssignableEngine[]): Fill {
    const usual = fillUpTo(coverages, 1, engines);
    if (usual.isWhole) {
        return usual;
    }
    const tight = fillUpTo(
        coverages,
        1,
        engines.map((engine) => ({ ...engine, layerCapacity: engine.tightLayerCapacity })),
    );
    return tight.isWhole ? tight : usual;
}

/** Fills layers that fewer than `depth` engines hold, as far as the engines reach. */
function fillUpTo(coverages: Coverages, depth: number, engines: readonly AssignableEngine[]): Fill {
    const coverage = coverages.coverage.copy();
    const loaded = coverages.loaded.copy();
    const orders: LayerOrder[] = [];
    const used = new Set<string>();
    let last: LayerOrder & { readonly failureDomain: string; } | undefined;
    for (let gap = coverage.findLastGap(depth); gap !== undefined; gap = coverage.findLastGap(depth)) {
        const takers = engines.filter((one) => !used.has(one.id) && canBeTaken(one, loaded, depth));
        const nearby = last?.span.first === gap.end
            ? new Set([last.failureDomain])
            : listNeighbourDomains(gap, engines);
        const engine = takers.find((one) => one.span === undefined && nearby.has(one.failureDomain)) ?? takers[0];
        if (engine === undefined) {
            return { coverage, loaded, orders, isWhole: false };
        }
        const span = { first: Math.max(gap.first, gap.end - engine.layerCapacity), end: gap.end };
        coverage.remove(engine.span);
        loaded.remove(engine.span);
        coverage.add(span);
        used.add(engine.id);
        orders.push({ id: engine.id, span });
        last = { id: engine.id, span, failureDomain: engine.failureDomain };
    }
    return { coverage, loaded, orders, isWhole: true };
}

/** Failure domains of the engines that hold the layers next to a gap. */
function listNeighbourDomains(gap: LayerSpan, engines: readonly AssignableEngine[]): ReadonlySet<string> {
    const neighbours = engines.filter(({ span }) => span?.first === gap.end || span?.end === gap.first);
    return new Set(neighbours.map(({ failureDomain }) => failureDomain));
}

/** An engine that holds layers is taken for a gap only where others hold all of them as well. */
function canBeTaken(engine: AssignableEngine, loaded: LayerCoverage, depth: number): boolean {
    if (engine.layerCapacity === 0) {
        return false;
    }
    return engine.span === undefined || (engine.mayBeOrdered && loaded.isCovered(engine.span, depth + 1));
}
