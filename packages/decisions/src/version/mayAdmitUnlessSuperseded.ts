import type { ConfigurationFreshness } from "./configurationFreshness.js";

/**
 * Whether an entry admits requests by the version in force here. One that lost the voters goes on, since most often nothing has changed;
 * one that knows of a newer version does not use the older one once the newer has to be in force.
 * @param view - what the entry holds
 * @returns false once a newer version is known for the time to apply it
 */
export function mayAdmitUnlessSuperseded({ newerMs, applyMs }: ConfigurationFreshness): boolean {
    return newerMs === undefined || newerMs < applyMs;
}
