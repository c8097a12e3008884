/**
 * How an engine gives up layers for others: whether what passes is waited for, or cut.
 *
 * Load pattern: full load, and an engine of the later layers goes dark. Copies of first stages are ordered to take its
 * layers, and hold requests of the paths that broke; these stand still until the engines cut them, 2.5 s later by the
 * contract in force. Waiting for them, a load of 8 layers took 3.1 s in place of 1.4 s (replay of 41 engines). Where no path
 * leads through the engine's failure domain any more, nothing that passes can move, so it is cut at once.
 */
import type { EngineProfile } from "@crankfork/schemas";
import { computeChains, type HoldingEngine } from "./computeChains.js";
import { LayerCoverage } from "./layerCoverage.js";

/** `wait`: the load begins once nothing uses what is given up. `cut`: at once. */
export type GiveUp = "wait" | "cut";

/**
 * Chooses how an engine gives up what it holds.
 * @param engine - the engine
 * @param holding - all engines that are heard of and hold layers, itself and those that are leaving among them
 * @param profile - the model and the accelerators
 * @returns `cut` where no path leads through it, nor any through its failure domain
 */
export function chooseGiveUp(
    engine: HoldingEngine,
    holding: readonly HoldingEngine[],
    profile: EngineProfile,
): GiveUp {
    const nearby = holding.filter(({ failureDomain }) => failureDomain === engine.failureDomain);
    const isBroken = new LayerCoverage(profile.layers, nearby.map(({ span }) => span)).findLastGap(1) !== undefined;
    if (!isBroken) {
        return "wait";
    }
    // A failure domain that never held the model has its paths across others.
    const chains = computeChains(holding, profile);
    return chains.some(({ stages }) => stages.some((stage) => stage.engine.id === engine.id)) ? "wait" : "cut";
}
