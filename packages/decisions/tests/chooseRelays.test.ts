import { expect } from "chai";
import { chooseRelays } from "../src/index.js";

describe("relays are chosen from the entry's own failure domain first, and never from it alone", () => {
    const near = ["n1", "n2", "n3"];
    const far = ["f1", "f2", "f3"];
    const rows: readonly {
        readonly title: string;
        readonly near: readonly string[];
        readonly far: readonly string[];
        readonly offset: number;
        readonly chosen: readonly string[];
    }[] = [
        { title: "both", near, far, offset: 0, chosen: ["n1", "n2", "f1", "f2"] },
        { title: "another entry starts elsewhere", near, far, offset: 2, chosen: ["n3", "n1", "f3", "f1"] },
        { title: "none in the domain", near: [], far, offset: 1, chosen: ["f2", "f3", "f1"] },
        { title: "one domain only", near, far: [], offset: 1, chosen: ["n2", "n3", "n1"] },
        { title: "one in another domain", near, far: ["f1"], offset: 0, chosen: ["n1", "n2", "n3", "f1"] },
        { title: "none", near: [], far: [], offset: 5, chosen: [] },
    ];
    for (const row of rows) {
        it(row.title, () => {
            const candidates = [
                ...row.far.map((address) => ({ address, domain: "other" })),
                ...row.near.map((address) => ({ address, domain: "own" })),
            ];
            expect(chooseRelays(candidates, "own", row.offset)).to.deep.equal(row.chosen);
        });
    }
});
