/**
 * Admission of routed requests: matches the route, checks the key, and takes into account how recently this entry's
 * configuration was confirmed.
 */
import { mayAdmitUnlessSuperseded } from "@crankfork/decisions";
import type { Route, RoutedOrganisation, RoutedService } from "@crankfork/schemas";
import type { RoutingView } from "../version/fleetView.js";
import type { RoutedCall } from "./routedCall.js";
import type { RefusalId } from "./routedRefusal.js";

/** State of the entry at the arrival of a request. */
export interface AdmissionView {
    readonly routing: RoutingView | undefined;
    /** Time since a leader last confirmed the entry's configuration, in milliseconds. */
    readonly ageMs: number;
    /** Time since a newer version was committed, in milliseconds; undefined if none is known. */
    readonly outdatedMs: number | undefined;
    /** Time within which a configuration takes effect on all instances, in milliseconds. */
    readonly applyMs: number;
    /** Time within which a revoked key stops working, in milliseconds. */
    readonly revocationMs: number;
    /** A random number in [0, 1) that selects among the services of a split route. */
    readonly random: number;
}

/** The configuration that a request was admitted with. */
export interface AdmissionBasis {
    /** Version of the routing table. */
    readonly version: number;
    /** Time since a leader had confirmed it, in milliseconds. */
    readonly ageMs: number;
}

/** Outcome of the admission. */
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
 * Fraction of the revocation time for which a confirmed key is accepted. The remainder covers the transit time of the
 * request and of the confirmation.
 */
const KEY_LEASE_FRACTION = 0.85;

/**
 * Admits a request.
 * @param call - the request
 * @param view - state of the entry
 * @returns route and service, or the reason for the refusal
 */
export function admitCall(call: RoutedCall, view: AdmissionView): CallAdmission {
    const { routing } = view;
    if (routing === undefined) {
        return { kind: "refused", refusal: "starting" };
    }
    // A configuration known to be superseded decides nothing, neither an admission nor a final refusal.
    if (!mayAdmitUnlessSuperseded(view)) {
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
 * @param view - time since the last confirmation, and the revocation time, in milliseconds
 * @returns false if a key may have been revoked in the meantime
 */
export function isKeyLeaseValid(view: { readonly ageMs: number; readonly revocationMs: number; }): boolean {
    return view.ageMs < view.revocationMs * KEY_LEASE_FRACTION;
}

/**
 * Gives a final refusal only if the configuration was confirmed recently; otherwise the missing route or key may have
 * been added since.
 */
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
