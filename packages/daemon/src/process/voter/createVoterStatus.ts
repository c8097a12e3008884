/**
 * Describes a voter for operators: the demand that entries report to it, where it leads.
 */
import { classDemandSchema, type FleetStatus } from "@crankfork/schemas";
import type { EntryRegistry } from "./entryRegistry.js";
import type { FleetReplicaHost } from "./fleetProposal.js";

/**
 * Creates the status of a voter.
 * @param instance - its id
 * @param host - its replica
 * @param entries - entries and their reports
 * @returns demand by class; without any services at a voter that does not lead
 */
export function createVoterStatus(
    instance: string,
    { replica }: Pick<FleetReplicaHost, "replica">,
    entries: Pick<EntryRegistry, "demand" | "listActiveEntries">,
): FleetStatus {
    if (!replica.hasLeaderLease()) {
        return { instance, role: "voter", entries: 0, reporters: 0, services: [] };
    }
    const { services, reporters } = entries.demand.summarise();
    const demand_age_ms = Math.round(entries.demand.summaryAgeMs);
    return {
        instance,
        role: "leader",
        entries: entries.listActiveEntries().length,
        reporters,
        services: Object.entries(services).map(([service, { classes }]) => ({
            service,
            is_estimated: false,
            demand_age_ms,
            classes: Object.entries(classes).map(([rank, sent]) => ({
                ...classDemandSchema.parse(sent),
                rank: Number(rank),
                refusals: {},
            })),
        })),
    };
}
