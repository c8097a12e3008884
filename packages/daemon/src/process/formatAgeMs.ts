/**
 * Formatting of ages in log lines.
 */

/**
 * Formats the age of a confirmation.
 * @param ageMs - the age in milliseconds; infinite before the first confirmation
 * @returns whole milliseconds, or undefined if there is no finite age, so that the log line omits the field
 */
export function formatAgeMs(ageMs: number): number | undefined {
    return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
}
