import type { ConfigurationFreshness } from "./configurationFreshness.js";

/**
 * Whether an entry may admit requests under its version where each admission needs a lease.
 * @param freshness - how fresh the entry's configuration is
 * @returns false once the confirmation is older than the time within which a version has to be applied
 */
export function mayAdmitWithLease({ ageMs, applyMs }: ConfigurationFreshness): boolean {
    return ageMs < applyMs;
}
