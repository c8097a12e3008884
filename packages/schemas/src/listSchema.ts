/**
 * Schemas of lists whose length another party chooses.
 */
import * as z from "zod";

/** Faults of one value that are reported. */
export const MAX_FAULTS = 20;

/**
 * Creates the schema of a list. Unlike `z.array`, it stops after some faults: each costs many times the memory of the invalid
 * item.
 * @param item - schema of an item
 * @param maxLength - maximum number of items
 * @returns schema of the list
 */
export function createListSchema<Item>(item: z.ZodType<Item>, maxLength: number): z.ZodType<Item[]> {
    return z.array(z.unknown()).max(maxLength).transform((values, context) => {
        const items: Item[] = [];
        for (const [index, value] of values.entries()) {
            const result = item.safeParse(value);
            if (result.success) {
                items.push(result.data);
                continue;
            }
            for (const { code, message, path } of result.error.issues) {
                context.issues.push({
                    code: "custom",
                    params: { code },
                    message,
                    input: value,
                    path: [index, ...path],
                });
            }
            if (context.issues.length >= MAX_FAULTS) {
                return z.NEVER;
            }
        }
        return items;
    });
}
