import type { ConfigurationFreshness } from "./configurationFreshness.js";

/**
 * Whether an entry may admit requests under its version. An entry that lost contact with the voters goes on, since most
 * often nothing has changed; one that knows of a newer version stops using the older one once the newer one has to be
 * in force.
 * @param freshness - how fresh the entry's configuration is
 * @returns false once a newer version has been known for as long as a version may take to be applied
 */
export function mayAdmitUnlessSuperseded({ outdatedMs, applyMs }: ConfigurationFreshness): boolean {
    return outdatedMs === undefined || outdatedMs < applyMs;
}
