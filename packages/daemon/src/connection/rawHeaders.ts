/**
 * Headers of responses as undici passes them on.
 */

/**
 * Formats the headers of a response.
 * @param raw - alternating names and values as undici gives them, if it does
 * @param headers - the same headers by name
 * @returns alternating names and values
 */
export function formatRawHeaders(
    raw: unknown,
    headers: Readonly<Record<string, string | string[] | undefined>>,
): readonly string[] {
    if (Array.isArray(raw)) {
        return raw.map((part) => Buffer.isBuffer(part) ? part.toString("latin1") : String(part));
    }
    return Object.entries(headers).flatMap(([name, value]) =>
        (Array.isArray(value) ? value : [value ?? ""]).flatMap((one) => [name, one])
    );
}
