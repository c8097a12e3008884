/**
 * Whether an entry lets a call in, by the routing table in force and by how long ago a leader confirmed it.
 */
import type { FleetSettings } from "@crankfork/schemas";
import { admitCall, type CallAdmission } from "../../request/admitCall.js";
import type { RoutedCall } from "../../request/routedCall.js";
import type { RefusalId } from "../../request/routedRefusal.js";
import { computeMaxWaitMs, TARGET_POLL_MS } from "../../request/waitForTarget.js";
import type { FleetView } from "../../version/fleetView.js";
import type { FleetMetrics } from "../fleetMetrics.js";
import { waitMs } from "../waitMs.js";

/** What an admission rests on. */
export interface EntryAdmissionOptions {
    readonly view: FleetView;
    readonly contract: FleetSettings["contract"];
    readonly getNowMs: () => number;
    readonly random: () => number;
    /** How long ago a leader confirmed what this entry knows. */
    readonly getAgeMs: () => number;
    /** Since when a newer version is committed; undefined where none is known here. */
    readonly getNewerMs: () => number | undefined;
    readonly metrics: Pick<FleetMetrics, "recordAdmissionAgeMs">;
    /** False once a stop has been under way for so long that a request might not end before the process does. */
    readonly takesRequests: () => boolean;
}

/** Lets calls in. */
export class EntryAdmission {
    /**
     * @param options - table, contract and clock
     */
    constructor(private readonly options: EntryAdmissionOptions) {}

    /**
     * Admits a call. An entry that is about to learn what it lacks lets it wait a little rather than send it away.
     * @param call - the call
     * @param isGone - whether its caller has left
     * @returns what it goes to, or why it is refused
     */
    async admitPatiently(call: RoutedCall, isGone: () => boolean): Promise<CallAdmission> {
        const { getNowMs, takesRequests } = this.options;
        const untilMs = getNowMs() + computeMaxWaitMs(call.deadlineMs ?? 0);
        let admission = this.admit(call);
        while (admission.kind === "refused" && isPassing(admission.refusal) && !isGone()) {
            if (getNowMs() >= untilMs || !takesRequests()) {
                return admission;
            }
            await waitMs(TARGET_POLL_MS);
            admission = this.admit(call);
        }
        this.recordAge(admission);
        return admission;
    }

    private recordAge(admission: CallAdmission): void {
        if (admission.kind === "admitted") {
            const { metrics, contract } = this.options;
            metrics.recordAdmissionAgeMs(admission.basis.ageMs, admission.basis.ageMs >= contract.apply);
        }
    }

    private admit(call: RoutedCall): CallAdmission {
        const { view, contract, getAgeMs, getNewerMs, random } = this.options;
        return admitCall(call, {
            routing: view.routing,
            ageMs: getAgeMs(),
            newerMs: getNewerMs(),
            applyMs: contract.apply,
            revocationMs: contract.revocation,
            random: random(),
        });
    }
}

/** A refusal that may be over in a moment. */
function isPassing(refusal: RefusalId): boolean {
    return refusal === "starting" || refusal === "not-confirmed";
}
