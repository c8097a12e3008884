/**
 * How many requests the upstreams of a configuration can run concurrently, for all entries together.
 */
import type { Configuration, Model, Service } from "@crankfork/schemas";

/**
 * Computes how many requests of a model may run concurrently: the capacity of its narrowest layer.
 * @param configuration - the active version
 * @param model - the model
 * @returns requests over all entries
 */
export function computeModelSlots(configuration: Configuration, model: Model): number {
    const slotsOf = new Map(configuration.upstreams.map((upstream) => [upstream.name, upstream.slots]));
    const byLayer = new Array<number>(model.layers).fill(0);
    for (const placement of configuration.placements) {
        if (placement.model === model.name && placement.version === model.version) {
            const slots = slotsOf.get(placement.upstream) ?? 0;
            for (let layer = placement.first_layer; layer < placement.end_layer; layer += 1) {
                byLayer[layer] = (byLayer[layer] ?? 0) + slots;
            }
        }
    }
    return Math.min(...byLayer);
}

/**
 * Computes how many calls of a plain service may run concurrently.
 * @param configuration - the active version
 * @param service - the service
 * @returns calls over all entries
 */
export function computeServiceSlots(configuration: Configuration, service: Service): number {
    return configuration.upstreams
        .filter((upstream) => service.upstreams.includes(upstream.name))
        .reduce((sum, upstream) => sum + upstream.slots, 0);
}
