import type { Route, RoutingTable } from "@crankfork/schemas";
import { expect } from "chai";
import { checkRoutingTable, createRouteIndex, findRoute } from "../src/index.js";

const createRoute = (
    name: string,
    host: string,
    prefix: string,
    targets: Route["targets"] = [target("a", 1)],
): Route => ({
    name,
    host,
    prefix,
    kind: "call",
    is_repeatable: true,
    timeout_ms: 1_000,
    objective_ms: 100,
    priority: 1,
    most_attempts: 2,
    is_anonymous: false,
    targets,
});
const target = (service: string, weight: number): Route["targets"][number] => ({ service, weight });

const routes = [
    createRoute("root", "one.example", "/"),
    createRoute("short", "one.example", "/a/"),
    createRoute("long", "one.example", "/a/b/"),
    createRoute("only", "two.example", "/x/"),
];

const findRows: readonly { readonly host: string; readonly path: string; readonly route: string | undefined; }[] = [
    { host: "one.example", path: "/a/b/c", route: "long" },
    { host: "one.example", path: "/a/bc", route: "short" },
    { host: "one.example", path: "/a/b", route: "short" },
    { host: "one.example", path: "/a/b/", route: "long" },
    { host: "one.example", path: "/z", route: "root" },
    { host: "two.example", path: "/x/y/z", route: "only" },
    { host: "two.example", path: "/x", route: undefined },
    { host: "two.example", path: "/", route: undefined },
    { host: "three.example", path: "/a/", route: undefined },
    { host: "two.example", path: "", route: undefined },
];

describe("the route of a host with the longest matching prefix is taken", () => {
    const index = createRouteIndex(routes);
    for (const { host, path, route } of findRows) {
        it(`${host}${path} takes ${route ?? "none"}`, () => {
            expect(findRoute(index, host, path)?.name).to.equal(route);
        });
    }
});

const service = (name: string): RoutingTable["services"][number] => ({ name });
const limits = { header_bytes: 1, body_bytes: 1, header_timeout_ms: 1, idle_timeout_ms: 1 };

const tableRows: readonly {
    readonly title: string;
    readonly table: Partial<RoutingTable>;
    readonly faults: number;
}[] = [
    { title: "valid: routes, services, keys", table: {}, faults: 0 },
    {
        title: "valid: a weight of 0 beside another",
        table: { routes: [createRoute("r", "h", "/", [target("a", 0), target("a", 2)])] },
        faults: 0,
    },
    {
        title: "valid: one organisation names its key twice",
        table: { organisations: [{ name: "o", keys: ["k", "k"] }] },
        faults: 0,
    },
    {
        title: "invalid: an unknown service",
        table: { routes: [createRoute("r", "h", "/", [target("b", 1)])] },
        faults: 1,
    },
    {
        title: "invalid: weights with the sum 0",
        table: { routes: [createRoute("r", "h", "/", [target("a", 0)])] },
        faults: 1,
    },
    { title: "invalid: no target", table: { routes: [createRoute("r", "h", "/", [])] }, faults: 1 },
    {
        title: "invalid: two routes for the same host and prefix",
        table: { routes: [createRoute("r", "h", "/"), createRoute("s", "h", "/")] },
        faults: 1,
    },
    {
        title: "invalid: a key with two holders",
        table: { organisations: [{ name: "o", keys: ["k"] }, { name: "p", keys: ["k"] }] },
        faults: 1,
    },
];

describe("an inconsistent routing table is reported with its faults", () => {
    for (const { title, table, faults } of tableRows) {
        it(title, () => {
            const whole = {
                version: 1,
                routes: [createRoute("r", "h", "/")],
                services: [service("a")],
                limits,
                ...table,
            };
            expect(checkRoutingTable(whole)).to.have.length(faults);
        });
    }
});
