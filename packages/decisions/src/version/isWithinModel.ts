/**
 * Whether what an engine reports can be layers of the model. Reports come from engines, the model from the operator, and either may
 * be wrong.
 */
import type { EngineProfile, LayerSpan } from "@crankfork/schemas";

/**
 * Checks whether an engine's layers exist in the model. Where they don't, it is unknown what the engine would run.
 * @param span - the layers that it reports; undefined for none
 * @param profile - the model
 * @returns false for layers beyond the last one, for parts of layers, and for a range that ends before it begins
 */
export function isWithinModel(span: LayerSpan | undefined, { layers }: Pick<EngineProfile, "layers">): boolean {
    return span === undefined || (
        Number.isSafeInteger(span.first) && Number.isSafeInteger(span.end)
        && span.first >= 0 && span.first <= span.end && span.end <= layers
    );
}

/**
 * Checks whether a model has layers that can be assigned.
 * @param profile - the model
 * @returns false unless the number of layers is a positive integer
 */
export function hasLayers({ layers }: Pick<EngineProfile, "layers">): boolean {
    return Number.isSafeInteger(layers) && layers > 0;
}
