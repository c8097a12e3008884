/**
 * Runs a plain service as a process, which counts each POST as one effect, such as a printed slip.
 * `node main.js '{"port":0}'` prints the address of the service as JSON.
 */
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import * as z from "zod";
import { readText, sendJson } from "../harness/httpBody.js";

const settingsSchema = z.strictObject({
    port: z.int().nonnegative().default(0),
    /** Duration of a call. */
    work_ms: z.number().nonnegative().default(5),
});

const faultsSchema = z.strictObject({
    /** Runs calls, and closes the connection instead of answering. */
    drop_answers: z.boolean().default(false),
    /** Refuses calls as not run. */
    not_run: z.boolean().default(false),
    silent: z.boolean().default(false),
});

const settings = settingsSchema.parse(JSON.parse(process.argv[2] ?? "{}"));
const effects = new Map<string, number>();
let faults = faultsSchema.parse({});

const server = createServer((request, response) => {
    void handle(request, response);
});
server.listen(settings.port, "127.0.0.1", () => {
    const { port } = server.address() as AddressInfo;
    process.stdout.write(`${JSON.stringify({ address: `127.0.0.1:${String(port)}` })}\n`);
});

async function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readText(request);
    if (request.url === "/control/faults") {
        faults = faultsSchema.parse(JSON.parse(body));
        sendJson(response, faults);
    }
    else if (request.url === "/control/effects") {
        sendJson(response, Object.fromEntries(effects));
    }
    else if (faults.not_run) {
        response.writeHead(503, { "x-not-run": "true" }).end();
    }
    else {
        await run(request, response, body);
    }
}

async function run(request: IncomingMessage, response: ServerResponse, body: string): Promise<void> {
    if (request.method === "POST") {
        effects.set(body, (effects.get(body) ?? 0) + 1);
    }
    await new Promise((resolve) => setTimeout(resolve, settings.work_ms));
    if (faults.silent) {
        return;
    }
    if (faults.drop_answers) {
        response.destroy();
        return;
    }
    sendJson(response, { done: body, count: effects.get(body) ?? 0 });
}
