/**
 * The HTTP server of the stand-in engine.
 */
import { exportedCacheSchema, orderSchema, stepSchema } from "@crankfork/schemas";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import polka from "polka";
import * as z from "zod";
import { readJson, sendJson } from "../harness/httpBody.js";
import { Engine } from "./engine.js";
import { engineFaultsSchema, type EngineSettings } from "./engineSettings.js";

/** A stand-in engine that listens. */
export interface RunningEngine {
    readonly address: string;
    readonly engine: Engine;
    readonly close: () => void;
}

const stepsSchema = z.object({ steps: z.array(stepSchema) });
const runSchema = z.object({ run: z.string() });
const cachesSchema = z.object({ caches: z.array(exportedCacheSchema) });

/**
 * Starts a stand-in engine on loopback.
 * @param settings - settings of the engine
 * @returns the running engine
 */
export async function openEngine(settings: EngineSettings): Promise<RunningEngine> {
    const engine = new Engine(settings);
    const server = createServer(createHandler(engine, settings));
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(settings.port, "127.0.0.1", resolve);
    });
    return {
        address: `127.0.0.1:${String((server.address() as AddressInfo).port)}`,
        engine,
        close: () => {
            engine.stop();
            server.closeAllConnections();
            server.close();
        },
    };
}

function createHandler(
    engine: Engine,
    settings: EngineSettings,
): (request: IncomingMessage, response: ServerResponse) => void {
    const app = polka();
    const post = (path: string, respond: (body: unknown) => unknown): void => {
        app.post(path, (request, response) => {
            void readJson(request).then((body) => {
                sendJson(response, respond(body));
            }).catch(() => {
                response.writeHead(400).end();
            });
        });
    };
    app.post("/v1/steps", (request, response) => {
        void handleSteps(engine, settings, request, response);
    });
    app.get("/v1/status", (_request, response) => {
        if (!engine.faults.silent) {
            sendJson(response, engine.getStatus());
        }
    });
    app.get("/v1/counts", (_request, response) => {
        sendJson(response, engine.getCounts());
    });
    app.get("/v1/seen", (_request, response) => {
        sendJson(response, engine.getSeenRuns());
    });
    app.get("/v1/events", (request, response) => {
        sendJson(response, engine.getEvents(Number(request.query.after ?? 0)));
    });
    post("/v1/orders", (body) => engine.applyOrder(orderSchema.parse(body)));
    post("/v1/cancel", (body) => {
        engine.cancel(runSchema.parse(body).run);
        return {};
    });
    post("/v1/export", (body) => engine.exportRun(runSchema.parse(body).run));
    post("/v1/import", (body) => {
        engine.importRuns(cachesSchema.parse(body).caches);
        return {};
    });
    post("/control/faults", (body) => {
        engine.faults = engineFaultsSchema.parse(body);
        return engine.faults;
    });
    return (request, response) => {
        app.handler(request as polka.Request, response);
    };
}

async function handleSteps(
    engine: Engine,
    settings: EngineSettings,
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> {
    const { steps } = stepsSchema.parse(await readJson(request));
    await waitMs(settings.link_ms);
    response.writeHead(200, { "content-type": "application/x-ndjson" });
    response.flushHeaders();
    const pendingWrites: Promise<void>[] = [];
    await engine.runSteps(steps, (answer) => {
        pendingWrites.push(sendLine(engine, settings, response, JSON.stringify(answer)));
    });
    await Promise.all(pendingWrites);
    if (!engine.faults.silent) {
        response.end();
    }
}

async function sendLine(
    engine: Engine,
    settings: EngineSettings,
    response: ServerResponse,
    line: string,
): Promise<void> {
    await waitMs(settings.link_ms + engine.faults.late_ms);
    const { silent, rubbish, doubled } = engine.faults;
    if (silent) {
        return;
    }
    response.write(rubbish ? '{"no":"answer"}\n' : `${line}\n`);
    if (doubled) {
        response.write(`${line}\n`);
    }
}

function waitMs(ms: number): Promise<void> {
    return ms === 0 ? Promise.resolve() : new Promise((resolve) => setTimeout(resolve, ms));
}
