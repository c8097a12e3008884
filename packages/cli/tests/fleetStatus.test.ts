/** Guards against a status that hides whose requests are refused, or that takes an old figure for a new one. */
import { fleetStatusSchema } from "@crankfork/schemas";
import { expect } from "chai";
import { execFile } from "node:child_process";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { fileURLToPath } from "node:url";
import { formatFleetStatus } from "../src/fleetStatus.js";

const status = fleetStatusSchema.parse({
    instance: "e1",
    role: "entry",
    entries: 69,
    reporters: 68,
    services: [{
        service: "drafts",
        is_estimated: false,
        demand_age_ms: 420,
        classes: [{
            rank: 0,
            arrivals_per_s: 90.5,
            refused_per_s: 2,
            waiting: 3,
            room: 0.4,
            room_age_ms: 12,
            refusals: { full: 7, declined: 1 },
            organisations: { "": 5, "large": 800 },
        }],
    }],
});

/** Runs the command against a server that sends one response. */
async function runStatus(
    answer: object,
    flags: readonly string[] = [],
): Promise<{ readonly code: number; readonly text: string; readonly request: unknown; }> {
    let received = "";
    const server = createServer((request, response) => {
        request.on("data", (chunk) => {
            received += String(chunk);
        });
        request.on("end", () => response.end(JSON.stringify({ jsonrpc: "2.0", id: 1, ...answer })));
    });
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${String((server.address() as AddressInfo).port)}`;
    const main = fileURLToPath(new URL("../src/main.js", import.meta.url));
    const ended = await new Promise<{ code: number; text: string; }>((resolve) => {
        execFile(process.execPath, [main, "status", "--fleet", address, ...flags], (error, stdout, stderr) => {
            resolve({ code: error === null ? 0 : Number(error.code), text: stdout + stderr });
        });
    });
    server.close();
    return { ...ended, request: JSON.parse(received) };
}

describe("status --fleet asks the peers' port of an instance", () => {
    it("prints demand, room and refusals by class, with ages", () => {
        expect(formatFleetStatus(status).split("\n").map((line) => line.replace(/\s+/g, " "))).to.deep.equal([
            "e1: entry, 69 entries, 68 of them in the demand",
            "",
            "drafts: summed over the fleet, last sum 420 ms ago",
            "RANK ARRIVE/S SLOW ADMIT/S REFUSE/S WAIT DUE ROOM REFUSED IN 10 S TOKENS/S",
            "0 90.5 - 0 2 3 0 40% (12 ms ago) full=7 declined=1 large=800 (others)=5",
        ]);
    });

    it("prints the result as JSON", async () => {
        const { code, text, request } = await runStatus({ result: status }, ["--json"]);
        expect(code).to.equal(0);
        expect(JSON.parse(text)).to.deep.equal(status);
        expect(request).to.deep.include({ jsonrpc: "2.0", method: "status" });
    });

    it("fails where the instance is of an older build", async () => {
        const { code, text } = await runStatus({ error: { code: -32_601, message: "Method not found" } });
        expect(code).to.equal(1);
        expect(text).to.include("Method not found").and.include("next: ");
    });
});
