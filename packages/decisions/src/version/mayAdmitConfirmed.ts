import type { ConfigurationView } from "./configurationView.js";

/**
 * Whether an entry admits requests by the version in force here, where each admission needs a lease.
 * @param view - what the entry holds
 * @returns false once the confirmation is older than the time to apply a version
 */
export function mayAdmitConfirmed({ ageMs, applyMs }: ConfigurationView): boolean {
    return ageMs < applyMs;
}
