import { expect } from "chai";
import { gzipSync } from "node:zlib";
import { packDocument, unpackDocument } from "../src/index.js";

describe("packDocument and unpackDocument", () => {
    const routes = Array.from(
        { length: 1_000 },
        (_unused, number) => ({ name: `r-${String(number)}`, timeout_ms: 20_000 }),
    );
    const valid = [
        { title: "plain data", content: { version: 1, routes: [{ host: "a", weight: 0.5 }], more: [true] } },
        { title: "text beyond ASCII", content: { name: "Αθήνα \u0000 \n" } },
        { title: "a large document", content: { routes } },
    ];
    for (const { title, content } of valid) {
        it(`round-trips ${title}`, () => {
            expect(unpackDocument(packDocument(content))).to.deep.equal(content);
        });
    }

    const packed = packDocument({ version: 1 });
    const invalid = [
        { title: "truncated text", text: packed.slice(0, packed.length / 2) },
        {
            title: "a corrupted byte",
            text: `${packed.slice(0, 20)}${packed[20] === "A" ? "B" : "A"}${packed.slice(21)}`,
        },
        { title: "empty text", text: "" },
    ];
    for (const { title, text } of invalid) {
        it(`rejects ${title}`, () => {
            expect(() => unpackDocument(text)).to.throw();
        });
    }

    it("compresses to less than a third of the JSON size", () => {
        expect(packDocument({ routes }).length).to.be.below(JSON.stringify({ routes }).length / 3);
    });
});

describe("unpackDocument", () => {
    it("rejects a document that is larger than any that is accepted", () => {
        const packed = gzipSync(Buffer.alloc(256 * 1_024 * 1_024 + 1, " ")).toString("base64");
        expect(() => unpackDocument(packed)).to.throw(RangeError, /larger than 268435456 bytes/);
    });
});
