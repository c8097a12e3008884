/**
 * Describes an entry for operators: demand, room and refusals by class.
 */
import type { ClassStatus, FleetStatus } from "@crankfork/schemas";
import type { ClassRoom } from "./admissionLevels.js";
import type { EntryDemand } from "./entryDemand.js";
import type { FleetClassDemand } from "./fleetDemand.js";
import type { RefusalWindow } from "./refusalWindow.js";

/** Gets the share of its service's room that a class may take; undefined where it is not limited. */
export type GetClassRoom = (service: string, rank: number) => ClassRoom | undefined;

/** What an entry's status is created from. */
export interface EntryStatusSources {
    readonly instance: string;
    readonly countEntries: () => number;
    readonly demand: EntryDemand;
    readonly refusals: RefusalWindow;
    readonly getClassRoom: GetClassRoom;
}

/**
 * Creates the status of an entry.
 * @param sources - demand, room and refusals
 * @returns services that are reported, or have requests or refusals here
 */
export function createEntryStatus(sources: EntryStatusSources): FleetStatus {
    const { instance, countEntries, demand, refusals } = sources;
    const names = new Set([...demand.listServices(), ...refusals.list().map(({ service }) => service)]);
    return {
        instance,
        role: "entry",
        entries: countEntries(),
        reporters: demand.fleet.reporterCount,
        services: [...names].sort().map((service) => {
            const { classes, ageMs, isEstimated } = demand.fleet.get(service);
            return {
                service,
                is_estimated: isEstimated,
                ...(Number.isFinite(ageMs) ? { demand_age_ms: Math.round(ageMs) } : {}),
                classes: createClasses(sources, service, classes),
            };
        }),
    };
}

function createClasses(
    { refusals, getClassRoom }: EntryStatusSources,
    service: string,
    classes: readonly FleetClassDemand[],
): ClassStatus[] {
    const refused = refusals.list().filter((one) => one.service === service);
    const count = Math.max(classes.length, ...refused.map(({ rank }) => rank + 1));
    return Array.from({ length: count }, (_unused, rank) => {
        const demand = classes[rank];
        const room = getClassRoom(service, rank);
        return {
            rank,
            arrivals_per_s: round(demand?.arrivalsPerS),
            slow_arrivals_per_s: round(demand?.slowArrivalsPerS),
            admitted_per_s: round(demand?.admittedPerS),
            refused_per_s: round(demand?.refusedPerS),
            prompt_tokens_per_s: round(demand?.promptTokensPerS),
            answer_tokens_per_s: round(demand?.answerTokensPerS),
            waiting: demand?.waiting ?? 0,
            returns: demand?.returns ?? 0,
            organisations: Object.fromEntries(
                [...demand?.organisations ?? []].map(([name, tokens]) => [name, round(tokens)]),
            ),
            ...(room === undefined ? {} : { room: room.share, room_age_ms: Math.round(room.ageMs) }),
            refusals: Object.fromEntries(
                refused.filter((one) => one.rank === rank).map(({ reason, count: times }) => [reason, times]),
            ),
        };
    });
}

const STEPS_PER_UNIT = 10;

function round(value = 0): number {
    return Math.round(value * STEPS_PER_UNIT) / STEPS_PER_UNIT;
}
