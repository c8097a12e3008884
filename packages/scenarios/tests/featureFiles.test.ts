import { expect } from "chai";
import { readdirSync } from "node:fs";
import { fileURLToPath } from "node:url";

describe("every feature has tests", () => {
    it("has its own test file", () => {
        const folder = fileURLToPath(new URL("../../tests/", import.meta.url));
        const features = readdirSync(`${folder}features`).map((file) => `${file}.test.ts`);
        expect(readdirSync(folder)).to.include.members(features);
    });
});
