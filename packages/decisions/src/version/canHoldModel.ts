/**
 * Whether engines hold a model together, whatever their layers are.
 */
import type { EngineProfile } from "@crankfork/schemas";
import { computeLayerCapacity, TIGHT_CONTEXT_SHARE } from "./computeLayerCapacity.js";

/**
 * Tells whether there is room for every layer. Purpose: a request that no placement can serve is refused at once, and
 * its caller is told to come back when engines may have been added, instead of waiting for a path that can't come.
 * @param accelerators - names, one for each engine
 * @param profile - the model and the accelerators
 * @returns false where some layer would be left out even with the least memory for requests
 */
export function canHoldModel(accelerators: readonly string[], profile: EngineProfile): boolean {
    const rooms = new Map(
        profile.accelerators.map((one) => [one.name, computeLayerCapacity(one, profile, TIGHT_CONTEXT_SHARE)]),
    );
    const room = accelerators.reduce((sum, name) => sum + (rooms.get(name) ?? 0), 0);
    return room >= profile.layers;
}
