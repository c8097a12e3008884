/**
 * Assigns engines to the gaps of chains: empty engines first, then those whose layers others hold as well. A chain that
 * has to cross failure domains stays in one as long as it can: each crossing adds the transfer time of a link to every
 * token.
 */
import type { LayerSpan } from "@crankfork/schemas";
import type { AssignableEngine, LayerOrder } from "./assignableEngine.js";
import { LayerCoverage } from "./layerCoverage.js";

/** Orders that fill the gaps, and the state that they lead to. */
export interface FilledChains {
    readonly orders: readonly LayerOrder[];
    /** Engines without an order. */
    readonly rest: readonly AssignableEngine[];
    /** Layers that are held and loaded, less those that the orders release. */
    readonly loaded: LayerCoverage;
    /** Chains that are complete once the orders are carried out; the only one may still have a gap. */
    readonly chains: number;
    /** Whether each layer is held once the orders are carried out. */
    readonly isComplete: boolean;
}

/**
 * Layers that are held or ordered, and layers that are held and loaded: only the latter can replace a released layer.
 */
interface Coverages {
    readonly coverage: LayerCoverage;
    readonly loaded: LayerCoverage;
}

interface Fill extends Coverages {
    readonly orders: readonly LayerOrder[];
    readonly isComplete: boolean;
}

/**
 * Fills gaps, chain by chain; a further chain that can't be completed is not begun.
 * @param engines - healthy engines, in order of preference where no neighbour decides
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
    for (let chains = 0;; chains += 1) {
        const isComplete = coverages.coverage.findLastGap(1) === undefined;
        const fill = chains === 0 ? fillFirstChain(coverages, rest) : fillUpTo(coverages, chains + 1, rest);
        if (!fill.isComplete && (chains > 0 || fill.orders.length === 0)) {
            return { orders, rest, loaded: coverages.loaded, chains, isComplete };
        }
        coverages = fill;
        fill.orders.forEach((order) => orders.push(order));
        const used = new Set(fill.orders.map(({ id }) => id));
        rest = rest.filter((engine) => !used.has(engine.id));
    }
}

/**
 * A first chain that can't be completed with the usual memory for requests is completed with less. Where that does not
 * help either, it is filled as far as possible: the next engine may complete it.
 */
function fillFirstChain(coverages: Coverages, engines: readonly AssignableEngine[]): Fill {
    const usual = fillUpTo(coverages, 1, engines);
    if (usual.isComplete) {
        return usual;
    }
    const tight = fillUpTo(
        coverages,
        1,
        engines.map((engine) => ({ ...engine, layerCapacity: engine.tightLayerCapacity })),
    );
    return tight.isComplete ? tight : usual;
}

/** Fills layers that fewer than `depth` engines hold, as far as the engines suffice. */
function fillUpTo(coverages: Coverages, depth: number, engines: readonly AssignableEngine[]): Fill {
    const coverage = coverages.coverage.copy();
    const loaded = coverages.loaded.copy();
    const orders: LayerOrder[] = [];
    const used = new Set<string>();
    let last: LayerOrder & { readonly failureDomain: string; } | undefined;
    for (let gap = coverage.findLastGap(depth); gap !== undefined; gap = coverage.findLastGap(depth)) {
        const candidates = engines.filter((one) => !used.has(one.id) && isAssignable(one, loaded, depth));
        const nearby = last?.span.first === gap.end
            ? new Set([last.failureDomain])
            : listNeighbourDomains(gap, engines);
        const engine = candidates.find((one) => one.span === undefined && nearby.has(one.failureDomain))
            ?? candidates[0];
        if (engine === undefined) {
            return { coverage, loaded, orders, isComplete: false };
        }
        const span = { first: Math.max(gap.first, gap.end - engine.layerCapacity), end: gap.end };
        coverage.remove(engine.span);
        loaded.remove(engine.span);
        coverage.add(span);
        used.add(engine.id);
        orders.push({ id: engine.id, span });
        last = { id: engine.id, span, failureDomain: engine.failureDomain };
    }
    return { coverage, loaded, orders, isComplete: true };
}

/** Failure domains of the engines that hold the layers next to a gap. */
function listNeighbourDomains(gap: LayerSpan, engines: readonly AssignableEngine[]): ReadonlySet<string> {
    const neighbours = engines.filter(({ span }) => span?.first === gap.end || span?.end === gap.first);
    return new Set(neighbours.map(({ failureDomain }) => failureDomain));
}

/** An engine that holds layers is assigned to a gap only where others hold all of them as well. */
function isAssignable(engine: AssignableEngine, loaded: LayerCoverage, depth: number): boolean {
    if (engine.layerCapacity === 0) {
        return false;
    }
    return engine.span === undefined || (engine.mayBeOrdered && loaded.isCovered(engine.span, depth + 1));
}
