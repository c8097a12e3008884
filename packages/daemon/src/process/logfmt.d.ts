/** Type of the only logfmt module in use; importing the whole package would load a dozen more files at each start. */
declare module "logfmt/lib/stringify.js" {
    /**
     * Formats an object as a logfmt line.
     * @param data - names and values
     * @returns `key=value` pairs
     */
    export function stringify(data: object): string;
}
