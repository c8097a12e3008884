/**
 * The fleet's demand in the form in which the room of a class is computed from it.
 */
import type { RankDemand, ServiceDemand } from "@crankfork/decisions";
import type { FleetClassDemand, FleetDemandView } from "./fleetDemand.js";

/** Conversions of sums, which are the same for many choices. */
const converted = new WeakMap<FleetDemandView["classes"], ServiceDemand>();

/**
 * Converts the demand of a service.
 * @param view - its classes by rank
 * @returns demand by rank; undefined where nothing is known yet
 */
export function createServiceDemand({ classes }: FleetDemandView): ServiceDemand | undefined {
    if (classes.length === 0) {
        return undefined;
    }
    const demand = converted.get(classes) ?? new Map(classes.map((one, rank) => [rank, createRankDemand(one)]));
    converted.set(classes, demand);
    return demand;
}

function createRankDemand(demand: FleetClassDemand): RankDemand {
    return {
        arrivals_per_s: demand.arrivalsPerS,
        refused_per_s: demand.refusedPerS,
        prompt_tokens_per_s: demand.promptTokensPerS,
        answer_tokens_per_s: demand.answerTokensPerS,
        waiting: demand.waiting,
        organisations: Object.fromEntries(demand.organisations),
    };
}
