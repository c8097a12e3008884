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
    const placements = configuration.placements.filter((one) =>
        one.model === model.name && one.version === model.version && one.first_layer < one.end_layer
    );
    // The number of holders changes only where a placement begins or ends.
    const starts = new Set([0, ...placements.flatMap((one) => [one.first_layer, one.end_layer])]);
    return [...starts].filter((layer) => layer < model.layers).map((layer) =>
        placements.filter((one) => one.first_layer <= layer && layer < one.end_layer)
            .reduce((sum, { upstream }) => sum + (slotsOf.get(upstream) ?? 0), 0)
    ).reduce((least, slots) => Math.min(least, slots), Number.POSITIVE_INFINITY);
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
