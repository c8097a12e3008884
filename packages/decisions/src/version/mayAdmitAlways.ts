/**
 * Whether an entry admits requests by the version in force here, without a confirmation. Keys have a lease of their own.
 * @returns true however old the confirmation is
 */
export function mayAdmitAlways(): boolean {
    return true;
}
