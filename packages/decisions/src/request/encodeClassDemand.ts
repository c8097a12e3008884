/**
 * Encodes the demand of one class for a message, so that its size is bounded whatever was measured or summed.
 */
import {
    type ClassDemand,
    MAX_DEMAND_NAME_LENGTH,
    MAX_DEMAND_ORGANISATIONS,
    type SentClassDemand,
} from "@crankfork/schemas";

/** Numbers are sent with one decimal place. */
const STEPS_PER_UNIT = 10;

/**
 * Rounds the demand of a class to one decimal place and leaves out what is 0. Keeps the largest organisations; the
 * others are summed under the empty name.
 * @param demand - the demand as measured or summed
 * @returns the members to send; undefined where there are neither requests nor callers who are due
 */
export function encodeClassDemand(demand: ClassDemand): SentClassDemand | undefined {
    const { organisations, ...quantities } = demand;
    const { arrivals_per_s, admitted_per_s, refused_per_s, waiting, returns } = demand;
    if ([arrivals_per_s, admitted_per_s, refused_per_s, waiting, returns].every((value) => round(value) === 0)) {
        // Token rates decay for some seconds longer, and would take most of the report of an entry with few requests.
        return undefined;
    }
    const sent = keepPositive(Object.entries(quantities));
    const names = encodeOrganisations(organisations ?? {});
    return { ...Object.fromEntries(sent), ...(names.length === 0 ? {} : { organisations: Object.fromEntries(names) }) };
}

type Amount = readonly [name: string, value: number];

function encodeOrganisations(organisations: Readonly<Record<string, number>>): readonly Amount[] {
    const total = sumAmounts(Object.entries(organisations));
    const named = Object.entries(organisations)
        .filter(([name]) => name !== "" && name.length <= MAX_DEMAND_NAME_LENGTH)
        .sort(([, left], [, right]) => right - left)
        .slice(0, MAX_DEMAND_ORGANISATIONS);
    return keepPositive([...named, ["", total - sumAmounts(named)]]);
}

function sumAmounts(amounts: readonly Amount[]): number {
    return amounts.reduce((sum, [, value]) => sum + value, 0);
}

function keepPositive(amounts: readonly Amount[]): readonly Amount[] {
    return amounts.map(([name, value]) => [name, round(value)] as const).filter(([, value]) => value > 0);
}

function round(value: number): number {
    return Math.round(value * STEPS_PER_UNIT) / STEPS_PER_UNIT;
}
