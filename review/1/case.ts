/**
 * TWICE: a worker that is full turns a stream away; the surplus copy of that answer comes late, on the kept connection,
 * in the place where the next answer is due. The next request there is the same one again.
 */
import { type IncomingMessage, request, type ServerResponse } from "node:http";
import { createDocument, createModelService, createRoute, HOST, KEY } from "../common/documents.js";
import { Fleet, runCase } from "../common/fleet.js";
import { BROKEN, type CaseRecord, HELD, isCalm, waitMs, waitUntil } from "../common/record.js";
import { Worker } from "../common/worker.js";

const REQUESTS = 8;
const EVENTS = 10;
const EVENT_MS = 20;
const PROMISES: readonly number[] = [408, 421, 429, 503];

interface Run {
    readonly worker: string;
    readonly atMs: number;
}

await runCase("review/1/record.txt", async (record, cleanUps) => {
    const fleet = await Fleet.open(record, 3, 1);
    cleanUps.push(() => fleet.close());
    const runs = new Map<string, Run[]>();
    const worker = createWorker(fleet, record, runs);
    await worker.start();
    cleanUps.push(() => {
        worker.crash();
    });
    await fleet.putConfiguration(createDocument(7, [
        createRoute({
            name: "r-draft",
            prefix: "/lohu930/",
            kind: "streaming",
            service: "huvo11a",
            timeoutMs: 20_000,
            aimMs: 500,
            attempts: 2,
        }),
    ], [createModelService("huvo11a", "daka510000", { kind: "a100s", mb: 36_000, layers: 8, layerMb: 1_750 })]));
    const [entry] = fleet.entries;
    if (entry === undefined) {
        throw new Error("no entry");
    }
    await fleet.waitUntilReady(entry);
    await waitUntil("the worker holds all layers", () => worker.held?.target_version === 8);
    await waitMs(1_500);
    let isBroken = false;
    for (let at = 0; at < REQUESTS; at += 1) {
        const id = `9c41d07be2a3${String(at).padStart(4, "0")}`;
        const status = await sendStream(record, `http://${entry.host}:${String(fleet.ports.front)}`, id);
        await waitMs(600);
        const count = runs.get(id)?.length ?? 0;
        const isTwice = count > 1;
        const isFalsePromise = PROMISES.includes(status) && count > 0;
        record.write(
            `request ${id}: the client got ${String(status)}; run ${String(count)} times${isTwice ? " - TWICE" : ""}${
                isFalsePromise ? " - REFUSED" : ""
            }`,
        );
        isBroken ||= isTwice || isFalsePromise;
    }
    return isBroken ? BROKEN : HELD;
});

/** A worker whose places are taken when a request first comes, and that repeats its refusal on the same connection. */
function createWorker(fleet: Fleet, record: CaseRecord, runs: Map<string, Run[]>): Worker {
    const turnedAway = new Set<string>();
    const surplus = new WeakMap<object, string>();
    const serve = (message: IncomingMessage, response: ServerResponse): void => {
        const id = String(message.headers["crankfork-request-id"]);
        const { socket } = message;
        const late = surplus.get(socket);
        if (late !== undefined) {
            surplus.delete(socket);
            record.write(`worker: a surplus copy of the last answer goes out before the answer to ${id}`);
            socket.write(late);
        }
        if (!turnedAway.has(id)) {
            turnedAway.add(id);
            record.write(`worker: full, turns ${id} away -> 503 with Crankfork-Not-Executed`);
            const headers = {
                "Crankfork-Request-Id": id,
                "Crankfork-Not-Executed": "1",
                "At-Server": worker.address,
                "Content-Length": "0",
            };
            if (!isCalm) {
                const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join("");
                surplus.set(socket, `HTTP/1.1 503 Service Unavailable\r\n${lines}\r\n`);
            }
            response.writeHead(503, headers).end();
            return;
        }
        runs.set(id, [...runs.get(id) ?? [], { worker: worker.options.id, atMs: record.nowMs }]);
        record.write(`worker: runs ${id}`);
        void stream(response, id, worker.options.id);
    };
    const worker = new Worker(fleet, record, {
        id: "i-7f3a91c2",
        service: "huvo11a",
        host: `${fleet.subnet}.100`,
        port: fleet.ports.worker,
        slots: 8,
        card: { kind: "a100s", mb: 36_000, layerMb: 1_750, model: "daka510000", loadMs: 300 },
        serve,
    });
    return worker;
}

async function stream(response: ServerResponse, id: string, worker: string): Promise<void> {
    response.writeHead(200, {
        "Crankfork-Request-Id": id,
        "Crankfork-Server-Stamp": `${worker}.${id}`,
        "Content-Type": "text/event-stream",
        "Versions": "1",
    });
    for (let event = 1; event <= EVENTS && !response.destroyed; event += 1) {
        response.write(`id: ${String(event)}\ndata: piece ${String(event)}\n\n`);
        await waitMs(EVENT_MS);
    }
    response.end();
}

/** Sends one client attempt; returns its status, 0 where the connection ended. */
function sendStream(record: CaseRecord, origin: string, id: string): Promise<number> {
    return new Promise((resolve) => {
        const body = JSON.stringify({ prompt: "explain the rate board" });
        const call = request(`${origin}/lohu930/2f`, {
            method: "POST",
            agent: false,
            headers: {
                "Host": HOST,
                "Crankfork-Request-Id": id,
                "Crankfork-Model": "daka510000",
                "Crankfork-Token-Usage": "60,20",
                "Crankfork-Prompt-Prefix": `5c1e07a2:40,${id}:20`,
                "Crankfork-Deadline-Ms": "20000",
                "Authorization": `Bearer ${KEY}`,
                "Content-Length": Buffer.byteLength(body),
            },
        }, (response) => {
            let text = "";
            response.on("data", (chunk: Buffer) => {
                text += chunk.toString();
            });
            response.on("error", () => {
                resolve(0);
            });
            response.on("end", () => {
                const events = text.split("\n\n").length - 1;
                record.write(`client: ${id} -> ${String(response.statusCode)}, ${String(events)} events`);
                resolve(response.statusCode ?? 0);
            });
        });
        call.on("error", () => {
            resolve(0);
        });
        record.write(`client: sends ${id}`);
        call.end(body);
    });
}
