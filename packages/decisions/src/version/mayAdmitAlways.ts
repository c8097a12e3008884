/**
 * Whether an entry may admit requests under its version, with no confirmation needed. API keys have a lease of their
 * own.
 * @returns true, however old the confirmation is
 */
export function mayAdmitAlways(): boolean {
    return true;
}
