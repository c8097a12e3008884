/**
 * Route lookup: among a host's routes, the one with the longest matching path prefix.
 */
import type { Route } from "@crankfork/schemas";

/** Routes by host and prefix. */
export type RouteIndex = ReadonlyMap<string, ReadonlyMap<string, Route>>;

/**
 * Creates the index, once per configuration version, so that the lookup does not grow with the number of routes.
 * @param routes - the routes of a version
 * @returns routes by host and prefix
 */
export function createRouteIndex(routes: readonly Route[]): RouteIndex {
    const index = new Map<string, Map<string, Route>>();
    routes.forEach((route) => {
        const prefixes = index.get(route.host) ?? new Map<string, Route>();
        prefixes.set(route.prefix, route);
        index.set(route.host, prefixes);
    });
    return index;
}

/**
 * Finds the route of a request.
 * @param index - routes by host and prefix
 * @param host - the host of the request, in lower case and without a port
 * @param path - the path without a query
 * @returns the route, or undefined where there is none
 */
export function findRoute(index: RouteIndex, host: string, path: string): Route | undefined {
    const prefixes = index.get(host);
    if (prefixes === undefined) {
        return undefined;
    }
    for (let end = path.lastIndexOf("/"); end >= 0; end = end === 0 ? -1 : path.lastIndexOf("/", end - 1)) {
        const route = prefixes.get(path.slice(0, end + 1));
        if (route !== undefined) {
            return route;
        }
    }
    return undefined;
}
