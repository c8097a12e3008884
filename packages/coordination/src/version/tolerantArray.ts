/**
 * Lists of records in snapshots, which other builds may have written.
 */
import * as z from "zod";

/**
 * Creates the schema of a list that leaves out records that cannot be parsed, so that one of them does not cost the whole state.
 * What is left out depends on the snapshot alone, so all replicas that restore it leave out the same.
 * @param schema - a record
 * @returns schema of the list
 */
export function createTolerantArray<Item>(schema: z.ZodType<Item>): z.ZodType<Item[]> {
    return z.array(z.unknown()).transform((records) =>
        records.flatMap((record) => {
            const parsed = schema.safeParse(record);
            return parsed.success ? [parsed.data] : [];
        })
    );
}

/**
 * Counts the records of a snapshot.
 * @param state - the snapshot, or its parsed form
 * @returns length of all lists in it, those within records excluded
 */
export function countRecords(state: object): number {
    return Object.values(state).reduce<number>((sum, value: unknown) => {
        if (Array.isArray(value)) {
            return sum + value.length;
        }
        return sum + (typeof value === "object" && value !== null ? countRecords(value) : 0);
    }, 0);
}
