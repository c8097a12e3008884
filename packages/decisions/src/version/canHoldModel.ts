/**
 * Whether a set of engines can hold a model, whatever layers they hold now.
 */
import type { EngineProfile } from "@crankfork/schemas";
import { computeLayerCapacity, TIGHT_CONTEXT_SHARE } from "./computeLayerCapacity.js";

/**
 * Tells whether there is memory for every layer. A request that no placement can serve is refused at once, with a delay
 * in which engines may be added, instead of waiting for a chain that can't be formed.
 * @param accelerators - one name per engine
 * @param profile - the model and the accelerators
 * @returns false where some layer would be missing even with the least memory for requests
 */
export function canHoldModel(accelerators: readonly string[], profile: EngineProfile): boolean {
    const rooms = new Map(
        profile.accelerators.map((one) => [one.name, computeLayerCapacity(one, profile, TIGHT_CONTEXT_SHARE)]),
    );
    const room = accelerators.reduce((sum, name) => sum + (rooms.get(name) ?? 0), 0);
    return room >= profile.layers;
}
