/**
 * A route: upstreams whose layer ranges together are exactly the layers of a model, each once and in order.
 */
import { chooseCandidate } from "./chooseCandidate.js";

/** A range of layers that an upstream can run. */
export interface Holder {
    readonly upstream: string;
    readonly firstLayer: number;
    /** One past the last layer. */
    readonly endLayer: number;
}

/** A stage of a route. */
export interface RouteStage {
    readonly upstream: string;
    readonly firstLayer: number;
    readonly endLayer: number;
}

/** Holders of one model version, indexed once, so that choosing a route scans only usable holders. */
export interface HolderIndex {
    readonly layers: number;
    /** Holders by first layer, without those from which no route reaches the last layer. */
    readonly byFirstLayer: ReadonlyMap<number, readonly Holder[]>;
}

/**
 * Builds the index; called when holders change, not for each request.
 * @param holders - all that hold a part of the model version
 * @param layers - layers of the model
 * @returns the index
 */
export function createHolderIndex(holders: readonly Holder[], layers: number): HolderIndex {
    const sorted = [...holders]
        .filter((holder) => holder.firstLayer < holder.endLayer && holder.endLayer <= layers)
        .sort((left, right) => right.firstLayer - left.firstLayer);
    const byFirstLayer = new Map<number, Holder[]>();
    for (const holder of sorted) {
        const reachesEnd = holder.endLayer === layers || byFirstLayer.has(holder.endLayer);
        if (reachesEnd) {
            const present = byFirstLayer.get(holder.firstLayer) ?? [];
            byFirstLayer.set(holder.firstLayer, [...present, holder]);
        }
    }
    return { layers, byFirstLayer };
}

/**
 * Chooses a route.
 * @param index - the holders
 * @param computeScore - load of a holder; lower is better
 * @param isUsable - whether a holder may be used now
 * @param random - a number from 0 up to 1
 * @returns the stages in order, or undefined where the layers can't be covered
 */
export function chooseRoute(
    index: HolderIndex,
    computeScore: (holder: Holder) => number,
    isUsable: (holder: Holder) => boolean,
    random: () => number,
): readonly RouteStage[] | undefined {
    const stages: RouteStage[] = [];
    const ends = createUsableEnds(index, isUsable);
    for (let layer = 0; layer < index.layers;) {
        const holders = (index.byFirstLayer.get(layer) ?? []).filter((one) => isUsable(one) && ends.has(one.endLayer));
        const chosen = chooseCandidate(holders, computeScore, random);
        if (chosen === undefined) {
            return undefined;
        }
        stages.push(chosen);
        layer = chosen.endLayer;
    }
    return stages;
}

/**
 * Chooses another holder of exactly the layers of one stage.
 * @param index - the holders
 * @param stage - the stage to replace
 * @param computeScore - load of a holder; lower is better
 * @param isUsable - whether a holder may be used now
 * @param random - a number from 0 up to 1
 * @returns the stage at another upstream, or undefined where there is none
 */
export function chooseReplacement(
    index: HolderIndex,
    stage: RouteStage,
    computeScore: (holder: Holder) => number,
    isUsable: (holder: Holder) => boolean,
    random: () => number,
): RouteStage | undefined {
    const candidates = (index.byFirstLayer.get(stage.firstLayer) ?? []).filter((holder) =>
        holder.endLayer === stage.endLayer && holder.upstream !== stage.upstream && isUsable(holder)
    );
    return chooseCandidate(candidates, computeScore, random);
}

/**
 * Tells whether stages are the layers of a model, each once and in order.
 * @param stages - the stages
 * @param layers - layers of the model
 * @returns true where they tile `[0, layers)` exactly
 */
export function isExactTiling(stages: readonly RouteStage[], layers: number): boolean {
    const end = stages.reduce(
        (layer, stage) => stage.firstLayer === layer && stage.endLayer > layer ? stage.endLayer : Number.NaN,
        0,
    );
    return end === layers;
}

/** Layers from which the last layer can be reached over usable holders, including the end itself. */
function createUsableEnds(index: HolderIndex, isUsable: (holder: Holder) => boolean): ReadonlySet<number> {
    const ends = new Set([index.layers]);
    // The map was filled from the last layer to the first and keeps that insertion order.
    for (const [firstLayer, holders] of index.byFirstLayer) {
        if (holders.some((holder) => ends.has(holder.endLayer) && isUsable(holder))) {
            ends.add(firstLayer);
        }
    }
    return ends;
}
