/**
 * Consistency checks of a routing table as a whole.
 */
import type { RoutingTable } from "@crankfork/schemas";

/**
 * Checks a table.
 * @param table - a table that matches its schema
 * @returns a line for each fault; empty for a valid table
 */
export function checkRoutingTable(table: RoutingTable): readonly string[] {
    return [...checkTargets(table), ...checkPlaces(table), ...checkKeys(table)];
}

function checkTargets({ routes, services }: RoutingTable): readonly string[] {
    const known = new Set(services.map((service) => service.name));
    return routes.flatMap((route) => {
        const unknown = route.targets.filter((target) => !known.has(target.service));
        const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
        return [
            ...unknown.map((target) => `route ${route.name}: found the unknown service ${target.service}`),
            ...(total > 0
                ? []
                : [`route ${route.name}: found weights with the sum ${String(total)}; expected more than 0`]),
        ];
    });
}

function checkPlaces({ routes }: RoutingTable): readonly string[] {
    return findRepeated(routes.map((route) => `${route.host} ${route.prefix}`))
        .map((place) => `found two routes for ${place}; expected one`);
}

function checkKeys({ organisations }: RoutingTable): readonly string[] {
    const keys = (organisations ?? []).flatMap((organisation) => [...new Set(organisation.keys)]);
    return findRepeated(keys).map(() => "found a key that two organisations hold; expected one holder");
}

function findRepeated(names: readonly string[]): readonly string[] {
    const seen = new Set<string>();
    const repeated = new Set<string>();
    names.forEach((name) => {
        (seen.has(name) ? repeated : seen).add(name);
    });
    return [...repeated];
}
