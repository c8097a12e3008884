import { FleetState } from "@crankfork/coordination";
import { packDocument, type RoutingTable } from "@crankfork/schemas";
import { expect } from "chai";
import { DocumentServices } from "../src/process/voter/documentServices.js";

const table: RoutingTable = {
    version: 1,
    routes: [],
    services: [{ name: "s" }],
    limits: { header_bytes: 1, body_bytes: 1, header_timeout_ms: 1, idle_timeout_ms: 1 },
};

const rows: readonly { readonly title: string; readonly packed: string; }[] = [
    { title: "text that is not packed", packed: "packed" },
    { title: "empty text", packed: "" },
    { title: "a document that the codec refuses", packed: packDocument("refused") },
    { title: "a document on which the codec throws", packed: packDocument("throws") },
];

describe("a stored document that cannot be read does not end a voter, and a newer one replaces it", () => {
    for (const { title, packed } of rows) {
        it(title, () => {
            const state = new FleetState();
            const events: string[] = [];
            const services = new DocumentServices({
                host: { state },
                log: { record: (_level, event) => events.push(event) },
                decodeDocument: (content) => {
                    if (content === "throws") {
                        throw new RangeError("Maximum call stack size exceeded");
                    }
                    return content === "refused" ? undefined : content as RoutingTable;
                },
            });
            expect([services.list(), services.mayRegister("other")]).to.deep.equal([[], true]);
            state.apply({ kind: "put-document", version: 1, packed }, 1);
            expect([services.list(), services.mayRegister("s")]).to.deep.equal([[], true]);
            state.apply({ kind: "put-document", version: 2, packed: packDocument(table) }, 2);
            expect([services.list(), services.mayRegister("s")]).to.deep.equal([table.services, true]);
            expect(services.mayRegister("other")).to.equal(false);
            expect(events).to.deep.equal(["document-unreadable"]);
        });
    }
});
