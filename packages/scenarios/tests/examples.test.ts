import { createPlan } from "@crankfork/decisions";
import { type Intent, intentSchema, parseToml, settingsSchema } from "@crankfork/schemas";
import { emptyConfiguration } from "@crankfork/schemas";
import { expect } from "chai";
import { readdirSync, readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";

const folder = fileURLToPath(new URL("../../../../examples/", import.meta.url));
const files = readdirSync(folder, { recursive: true, encoding: "utf8" }).filter((name) => name.endsWith(".toml"))
    .sort();

describe("every example is valid", () => {
    for (const file of files) {
        const isIntent = file.endsWith("intent.toml");
        it(file, () => {
            const text = readFileSync(folder + file, "utf8");
            const checked = isIntent ? parseToml(intentSchema, text, file) : parseToml(settingsSchema, text, file);
            expect(checked.kind === "invalid" ? checked.faults : []).to.deep.equal([]);
            if (isIntent && checked.kind === "valid") {
                expect(createPlan(checked.value as Intent, emptyConfiguration).kind).to.equal("planned");
            }
        });
    }
});
