/**
 * Orders for all engines of a service, including those that report layers beyond the model. Such a report is left over from a larger
 * model, or it is wrong; only the engine's answer to an order shows which.
 */
import type { EngineProfile } from "@crankfork/schemas";
import type { LayerOrder } from "./assignableEngine.js";
import type { computeLayerPlan, PlannedEngine } from "./computeLayerPlan.js";
import { isWithinModel } from "./isWithinModel.js";

/**
 * Computes orders. Empty engines are assigned layers first, then those that report layers beyond the model. Where these can't be of
 * use, and in the next plan, engines that hold layers may be moved.
 * @param engines - live engines of one service
 * @param profile - the model and the accelerators
 * @param computePlan - computes a plan; leaves out engines that report layers beyond the model
 * @returns orders; empty where no change is useful
 */
export function computeEngineOrders(
    engines: readonly PlannedEngine[],
    profile: EngineProfile,
    computePlan: typeof computeLayerPlan,
): readonly LayerOrder[] {
    const outside = engines.filter(({ span, mayBeOrdered }) => mayBeOrdered && !isWithinModel(span, profile));
    if (outside.length === 0) {
        return computePlan(engines, profile);
    }
    const staying = engines.filter(({ span }) => isWithinModel(span, profile))
        .map((engine) => ({ ...engine, mayBeOrdered: engine.mayBeOrdered && engine.span === undefined }));
    const orders = computePlan(staying, profile);
    const ordered = new Map(orders.map(({ id, span }) => [id, span]));
    const further = computePlan([
        ...staying.map((one) => ({ ...one, span: ordered.get(one.id) ?? one.span, mayBeOrdered: false })),
        ...outside.map((one) => ({ ...one, span: undefined })),
    ], profile);
    return further.length === 0 ? computePlan(engines, profile) : [...orders, ...further];
}
