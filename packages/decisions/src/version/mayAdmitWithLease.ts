import type { ConfigurationFreshness } from "./configurationFreshness.js";

/**
 * Whether an entry admits requests by the version in force here, where each admission needs a lease.
 * @param view - what the entry holds
 * @returns false once the confirmation is older than the time to apply a version
 */
export function mayAdmitWithLease({ ageMs, applyMs }: ConfigurationFreshness): boolean {
    return ageMs < applyMs;
}
