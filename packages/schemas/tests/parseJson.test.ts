import { expect } from "chai";
import fc from "fast-check";
import {
    formatJson,
    MAX_JSON_CONTAINERS,
    MAX_JSON_DEPTH,
    MAX_JSON_NAMES,
    MAX_JSON_VALUES,
    packDocument,
    parseJson,
    unpackDocument,
} from "../src/index.js";

/** Creates the JSON of nested arrays. */
function nest(depth: number): string {
    return "[".repeat(depth) + "]".repeat(depth);
}

describe("JSON beyond the limits is not parsed, and the fault names the limit", () => {
    const names = Array.from({ length: MAX_JSON_NAMES }, (_none, at) => `"${String(at)}":0`).join(",");
    const rows: readonly { readonly title: string; readonly text: string; readonly fault?: RegExp; }[] = [
        { title: "as deep as allowed", text: `{"a":${nest(MAX_JSON_DEPTH - 1)}}` },
        {
            title: "deeper",
            text: `{"a":1,"b":${nest(MAX_JSON_DEPTH)}}`,
            fault: /^body: b: found more at byte 110; expected at most 100 nested/,
        },
        { title: "deeper by far", text: nest(1_000_000), fault: /^body: found more at byte 100; .* 100 nested/ },
        { title: "brackets in text", text: JSON.stringify({ a: "[{".repeat(1_000), b: '\\"[' }) },
        { title: "as many names as allowed", text: `{${names}}` },
        { title: "more names", text: `{${names},"x":0}`, fault: /100000 different names/ },
        { title: "as many containers as allowed", text: `[${"{},".repeat(MAX_JSON_CONTAINERS - 2)}[]]` },
        { title: "more containers", text: `[${"{},".repeat(MAX_JSON_CONTAINERS)}0]`, fault: /objects and arrays/ },
        { title: "as many values as allowed", text: `[${"0,".repeat(MAX_JSON_VALUES - 1)}0]` },
        { title: "more values", text: `[${"0,".repeat(MAX_JSON_VALUES)}0]`, fault: /at most 2000000 values/ },
        { title: "an open string", text: `"abc`, fault: /^body: found no JSON$/ },
        { title: "an escape at the end", text: `"\\`, fault: /^body: found no JSON$/ },
        { title: "nothing", text: "", fault: /^body: found no JSON$/ },
    ];
    for (const { title, text, fault } of rows) {
        it(title, () => {
            const parsed = parseJson(Buffer.from(text), "body");
            expect(parsed.kind).to.equal(fault === undefined ? "valid" : "invalid");
            expect(parsed.kind === "invalid" ? parsed.faults.join() : "").to.match(fault ?? /^$/);
        });
    }

    it("other texts are read as by JSON.parse", () => {
        fc.assert(
            fc.property(fc.json({ maxDepth: 8 }), (text) => {
                const parsed = parseJson(Buffer.from(text), "body");
                expect(parsed).to.deep.equal({ kind: "valid", value: JSON.parse(text) as unknown });
            }),
            { seed: 23, numRuns: 500 },
        );
    });
});

describe("a document that was stored before its depth was limited is served", () => {
    it("nested arrays and objects", () => {
        const text = `{"a":${`{"b":[1,`.repeat(50_000)}null${`],"c":"\\""}`.repeat(50_000)},"d":[]}`;
        const content: unknown = JSON.parse(text);
        expect(formatJson(content)).to.equal(text);
        expect(formatJson(unpackDocument(packDocument(content)))).to.equal(text);
    });
});
