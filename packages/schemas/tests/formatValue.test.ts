import { expect } from "chai";
import fc from "fast-check";
import * as z from "zod";
import { createListSchema, formatValue, MAX_FAULTS, validateValue } from "../src/index.js";

/** Creates the JSON of nested arrays. */
function nest(depth: number): string {
    return "[".repeat(depth) + "]".repeat(depth);
}

describe("a fault names what was found in a text of bounded length", () => {
    const rows: readonly { readonly title: string; readonly value: unknown; readonly text?: string; }[] = [
        { title: "a small value as JSON", value: { a: [1, "b", null, true] }, text: `{"a":[1,"b",null,true]}` },
        { title: "a date", value: new Date(0), text: `"1970-01-01T00:00:00.000Z"` },
        { title: "a deep value", value: JSON.parse(nest(100_000)), text: "[[[[...]]]]" },
        { title: "a long list", value: Array.from({ length: 1_000_000 }, () => 1), text: "[1,1,1,1,1,1,1,1,...]" },
        { title: "long text", value: "x".repeat(1_000_000), text: `"${"x".repeat(80)}..."` },
        { title: "a long key", value: { ["k".repeat(1_000_000)]: 1 } },
        { title: "an object without prototype", value: Object.create(null) as unknown, text: "{}" },
    ];
    for (const { title, value, text } of rows) {
        it(title, () => {
            const formatted = formatValue(value);
            expect(formatted.length).to.be.below(130);
            expect(formatted).to.equal(text ?? formatted);
        });
    }

    it("any value", () => {
        fc.assert(
            fc.property(fc.anything({ withBigInt: true, withDate: true, withNullPrototype: true }), (value) => {
                expect(formatValue(value).length).to.be.below(130);
            }),
            { seed: 21, numRuns: 500 },
        );
    });

    it("a deep value where text is expected does not exhaust the stack", () => {
        const checked = validateValue(
            z.object({ a: z.string() }),
            { a: JSON.parse(nest(100_000)) as unknown },
            "message",
        );
        expect(checked).to.have.property("kind", "invalid");
    });

    it("a long list of invalid items is reported by its first ones", () => {
        const schema = z.object({ items: createListSchema(z.object({ a: z.string(), b: z.int() }), 1_000_000) });
        const items = Array.from({ length: 500_000 }, () => ({}));
        const checked = validateValue(schema, { items }, "message");
        expect(checked.kind === "invalid" ? checked.faults : []).to.have.length(MAX_FAULTS)
            .and.to.include(
                "message: items.0.a: found nothing; expected otherwise: "
                    + "Invalid input: expected string, received undefined",
            );
    });

    it("a list of valid items is read as by the schema of arrays", () => {
        fc.assert(
            fc.property(fc.array(fc.oneof(fc.integer(), fc.string()), { maxLength: 10 }), (items) => {
                const bounded = createListSchema(z.number(), 8).safeParse(items);
                expect(bounded.data).to.deep.equal(z.array(z.number()).max(8).safeParse(items).data);
            }),
            { seed: 22, numRuns: 300 },
        );
    });
});
