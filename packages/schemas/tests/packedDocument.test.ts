import { expect } from "chai";
import { packDocument, unpackDocument } from "../src/index.js";

describe("a packed document is the document again", () => {
    const routes = Array.from(
        { length: 1_000 },
        (_unused, number) => ({ name: `r-${String(number)}`, timeout_ms: 20_000 }),
    );
    const valid = [
        { title: "plain data", content: { version: 1, routes: [{ host: "a", weight: 0.5 }], more: [true] } },
        { title: "text beyond ASCII", content: { name: "Αθήνα \u0000 \n" } },
        { title: "a large one", content: { routes } },
    ];
    for (const { title, content } of valid) {
        it(`valid: ${title}`, () => {
            expect(unpackDocument(packDocument(content))).to.deep.equal(content);
        });
    }

    const packed = packDocument({ version: 1 });
    const invalid = [
        { title: "cut short", text: packed.slice(0, packed.length / 2) },
        { title: "another byte", text: `${packed.slice(0, 20)}${packed[20] === "A" ? "B" : "A"}${packed.slice(21)}` },
        { title: "nothing", text: "" },
    ];
    for (const { title, text } of invalid) {
        it(`invalid: ${title}`, () => {
            expect(() => unpackDocument(text)).to.throw();
        });
    }

    it("is smaller", () => {
        expect(packDocument({ routes }).length).to.be.below(JSON.stringify({ routes }).length / 3);
    });
});
