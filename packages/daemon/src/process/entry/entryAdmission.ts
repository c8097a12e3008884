/**
 * Admission control of an entry, by the routing table in force and the time since a leader confirmed it.
 */
import type { FleetSettings } from "@crankfork/schemas";
import { admitCall, type CallAdmission } from "../../request/admitCall.js";
import type { RoutedCall } from "../../request/routedCall.js";
import type { RefusalId } from "../../request/routedRefusal.js";
import { computeMaxWaitMs, TARGET_POLL_MS } from "../../request/waitForTarget.js";
import type { FleetView } from "../../version/fleetView.js";
import type { FleetMetrics } from "../fleetMetrics.js";
import { waitMs } from "../waitMs.js";

/** Dependencies of the admission control. */
export interface EntryAdmissionOptions {
    readonly view: FleetView;
    readonly contract: Pick<FleetSettings["contract"], "apply" | "revocation">;
    readonly getNowMs: () => number;
    readonly random: () => number;
    /** Time since a leader confirmed that the local state is current. */
    readonly getAgeMs: () => number;
    /** Time for which a newer version has been committed; undefined where none is known here. */
    readonly getOutdatedMs: () => number | undefined;
    readonly metrics: Pick<FleetMetrics, "recordAdmissionAgeMs">;
    /** False late in a shutdown, when a request might not complete before the process exits. */
    readonly acceptsRequests: () => boolean;
}

/** Admits or refuses calls. */
export class EntryAdmission {
    /**
     * @param options - routing table, contract and clock
     */
    constructor(private readonly options: EntryAdmissionOptions) {}

    /**
     * Admits a call. Where the reason for a refusal may be transient, such as a state update in progress, the call
     * waits for a short time before it is refused, no longer than until its route's time-out.
     * @param call - the call
     * @param arrivedMs - arrival of its headers, by the monotonic clock
     * @param isCallerGone - whether the caller has disconnected
     * @returns the admitted route, or the reason for the refusal
     */
    async admitOrWait(call: RoutedCall, arrivedMs: number, isCallerGone: () => boolean): Promise<CallAdmission> {
        const { getNowMs, acceptsRequests } = this.options;
        const lastMs = getNowMs() + computeMaxWaitMs(call.deadlineMs ?? 0);
        let admission = this.admit(call);
        while (admission.kind === "refused" && isTransient(admission.refusal) && !isCallerGone()) {
            if (getNowMs() >= Math.min(lastMs, this.computeTimeoutMs(call, arrivedMs)) || !acceptsRequests()) {
                return admission;
            }
            await waitMs(TARGET_POLL_MS);
            admission = this.admit(call);
        }
        this.recordAdmissionAge(admission);
        return admission;
    }

    /** The end of the route's time-out; the route may change while the call waits. */
    private computeTimeoutMs({ host, path }: RoutedCall, arrivedMs: number): number {
        const route = this.options.view.routing?.findRoute(host, path);
        return arrivedMs + (route?.timeout_ms ?? Number.POSITIVE_INFINITY);
    }

    private recordAdmissionAge(admission: CallAdmission): void {
        if (admission.kind === "admitted") {
            const { metrics, contract } = this.options;
            metrics.recordAdmissionAgeMs(admission.basis.ageMs, admission.basis.ageMs >= contract.apply);
        }
    }

    private admit(call: RoutedCall): CallAdmission {
        const { view, contract, getAgeMs, getOutdatedMs, random } = this.options;
        return admitCall(call, {
            routing: view.routing,
            ageMs: getAgeMs(),
            outdatedMs: getOutdatedMs(),
            applyMs: contract.apply,
            revocationMs: contract.revocation,
            random: random(),
        });
    }
}

/** Whether the cause of a refusal may clear within moments. */
function isTransient(refusal: RefusalId): boolean {
    return refusal === "starting" || refusal === "not-confirmed";
}
