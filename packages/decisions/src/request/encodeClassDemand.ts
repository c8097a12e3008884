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
 * @returns the members to send; undefined where all are 0
 */
export function encodeClassDemand(demand: ClassDemand): SentClassDemand | undefined {
    const { organisations, ...quantities } = demand;
    const sent = Object.entries(quantities).map(([name, value]) => [name, round(value)] as const)
        .filter(([, value]) => value !== 0);
    if (sent.length === 0) {
        return undefined;
    }
    const names = encodeOrganisations(organisations ?? {});
    return { ...Object.fromEntries(sent), ...(names.length === 0 ? {} : { organisations: Object.fromEntries(names) }) };
}

function encodeOrganisations(organisations: Readonly<Record<string, number>>): readonly (readonly [string, number])[] {
    const named = Object.entries(organisations)
        .filter(([name]) => name !== "" && name.length <= MAX_DEMAND_NAME_LENGTH)
        .sort(([, left], [, right]) => right - left)
        .slice(0, MAX_DEMAND_ORGANISATIONS);
    const sum = (values: readonly number[]): number => values.reduce((total, one) => total + one, 0);
    const others = sum(Object.values(organisations)) - sum(named.map(([, value]) => value));
    return [...named, ["", others] as const].map(([name, value]) => [name, round(value)] as const)
        .filter(([, value]) => value !== 0);
}

function round(value: number): number {
    return Math.round(value * STEPS_PER_UNIT) / STEPS_PER_UNIT;
}
