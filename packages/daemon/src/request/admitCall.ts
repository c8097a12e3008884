/**
 * Whether a routed request is let in: its route, its key, and how sure this entry is of both.
 */
import { mayAdmitUnlessOvertaken } from "@crankfork/decisions";
import type { Route, RoutedOrganisation, RoutedService } from "@crankfork/schemas";
import type { RoutingView } from "../version/fleetView.js";
import type { RoutedCall } from "./routedCall.js";
import type { RefusalId } from "./routedRefusal.js";

/** What an entry knows when a request comes. */
export interface AdmissionView {
    readonly routing: RoutingView | undefined;
    /** How long ago a leader confirmed what this entry knows, in milliseconds. */
    readonly ageMs: number;
    /** Since when a newer version is committed; undefined where none is known here. */
    readonly newerMs: number | undefined;
    /** How soon a configuration is in force everywhere. */
    readonly applyMs: number;
    /** How soon a key that was taken away stops to work. */
    readonly revocationMs: number;
    /** A number from 0 up to 1, which draws among the services of a split route. */
    readonly random: number;
}

/** What a request was admitted by. */
export interface AdmissionBasis {
    /** Version of the routing table. */
    readonly version: number;
    /** How long ago a leader had confirmed it, in milliseconds. */
    readonly ageMs: number;
}

/** The outcome. */
export type CallAdmission =
    | {
        readonly kind: "admitted";
        readonly route: Route;
        readonly service: RoutedService;
        readonly organisation: RoutedOrganisation | undefined;
        readonly basis: AdmissionBasis;
    }
    | { readonly kind: "refused"; readonly refusal: RefusalId; };

/**
 * Part of the revocation time for which a confirmed key is used. The rest covers the way of the request and of the
 * confirmation.
 */
const KEY_LEASE_FRACTION = 0.85;

/**
 * Admits a request.
 * @param call - the request
 * @param view - what this entry knows
 * @returns where it goes, or why it is refused
 */
export function admitCall(call: RoutedCall, view: AdmissionView): CallAdmission {
    const { routing } = view;
    if (routing === undefined) {
        return { kind: "refused", refusal: "starting" };
    }
    // A version that is known to be overtaken decides nothing any more, neither a run nor a final refusal.
    if (!mayAdmitUnlessOvertaken(view)) {
        return { kind: "refused", refusal: "not-confirmed" };
    }
    const route = routing.findRoute(call.host, call.path);
    if (route === undefined) {
        return refuseIfConfirmed("unknown-route", view);
    }
    const needsKey = routing.organisations !== undefined && !route.is_anonymous;
    const organisation = call.key === undefined ? undefined : routing.organisations?.get(call.key);
    if (needsKey && organisation === undefined) {
        return refuseIfConfirmed("unknown-key", view);
    }
    if (needsKey && !isKeyLeaseValid(view)) {
        return { kind: "refused", refusal: "not-confirmed" };
    }
    const service = routing.services.get(chooseWeightedService(route, view.random));
    return service === undefined
        ? refuseIfConfirmed("unknown-route", view)
        : {
            kind: "admitted",
            route,
            service,
            organisation: needsKey ? organisation : undefined,
            basis: { version: routing.table.version, ageMs: view.ageMs },
        };
}

/**
 * Tells whether requests with keys may be sent to upstreams.
 * @param view - how long ago the configuration was confirmed, and how long that holds
 * @returns false where a key may have been taken away meanwhile
 */
export function isKeyLeaseValid(view: { readonly ageMs: number; readonly revocationMs: number; }): boolean {
    return view.ageMs < view.revocationMs * KEY_LEASE_FRACTION;
}

/** A final no is given only by an entry that is sure; what it does not know may have been added meanwhile. */
function refuseIfConfirmed(refusal: RefusalId, view: AdmissionView): CallAdmission {
    return { kind: "refused", refusal: view.ageMs < view.applyMs ? refusal : "not-confirmed" };
}

function chooseWeightedService(route: Route, random: number): string {
    const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
    let remaining = random * total;
    for (const target of route.targets) {
        remaining -= target.weight;
        if (remaining < 0) {
            return target.service;
        }
    }
    return route.targets.at(-1)?.service ?? "";
}
