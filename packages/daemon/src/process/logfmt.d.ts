/** The one part of logfmt that is used; the whole library would load a dozen files more at each start. */
declare module "logfmt/lib/stringify.js" {
    /**
     * Formats values as a line.
     * @param data - names and values
     * @returns `key=value` pairs
     */
    export function stringify(data: object): string;
}
