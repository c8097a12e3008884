/**
 * Ages in log lines.
 */

/**
 * Formats how long ago something was confirmed.
 * @param ageMs - the age in milliseconds; infinite before the first time
 * @returns whole milliseconds; undefined, so that the line leaves it out, where there is none
 */
export function formatAgeMs(ageMs: number): number | undefined {
    return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
}
