/**
 * A stand-in for a worker: it registers itself, sends heartbeats, and serves requests, reports and orders as PROTOCOL.md
 * describes. What it does with a request is given by the case.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Fleet } from "./fleet.js";
import type { CaseRecord } from "./record.js";
import { HEARTBEAT_MS } from "./settings.js";

/** Layers of an order, a report or a heartbeat. */
export interface LayerRange {
    readonly from_revision: number;
    readonly target_version: number;
}

/** What a worker of a model service holds and can hold. */
export interface Card {
    readonly kind: string;
    readonly mb: number;
    readonly layerMb: number;
    readonly model: string;
    /** Time that an order takes. */
    readonly loadMs: number;
}

/** Options of a worker. */
export interface WorkerOptions {
    readonly id: string;
    readonly service: string;
    readonly host: string;
    readonly port: number;
    readonly slots: number;
    readonly card?: Card;
    /** Time from the start to the first heartbeat. */
    readonly firstHeartbeatMs?: number;
    /** Serves a request that is meant for this worker. */
    readonly serve: (message: IncomingMessage, response: ServerResponse, body: Buffer) => void;
    /** Called for each order. */
    readonly handleOrder?: (range: LayerRange, neededMb: number) => void;
}

/** One incarnation of a worker. */
export class Worker {
    held: LayerRange | undefined;
    private server: Server | undefined;
    private sequence = 0;
    private orders = 0;
    private isLoading = false;
    private timer: NodeJS.Timeout | undefined;

    constructor(
        private readonly fleet: Fleet,
        private readonly record: CaseRecord,
        readonly options: WorkerOptions,
    ) {}

    /** Host and port. */
    get address(): string {
        return `${this.options.host}:${String(this.options.port)}`;
    }

    /** Begins to listen, and to send heartbeats. */
    async start(): Promise<void> {
        const server = createServer((message, response) => {
            void this.handle(message, response);
        });
        server.keepAliveTimeout = 60_000;
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(this.options.port, this.options.host, resolve);
        });
        this.server = server;
        this.record.write(`worker ${this.options.id} of ${this.options.service} starts at ${this.address}`);
        this.timer = setTimeout(() => {
            void this.beat();
            this.timer = setInterval(() => void this.beat(), HEARTBEAT_MS);
        }, this.options.firstHeartbeatMs ?? 0);
    }

    /** Ends without a word; does nothing where it has ended. */
    crash(): void {
        clearTimeout(this.timer);
        clearInterval(this.timer);
        if (this.server !== undefined) {
            this.server.closeAllConnections();
            this.server.close();
            this.server = undefined;
            this.record.write(`worker ${this.options.id} at ${this.address} ends`);
        }
    }

    /** Sends a heartbeat. */
    async beat(): Promise<void> {
        const { id, service, slots, card } = this.options;
        this.sequence += 1;
        const answer = await this.fleet.callControl("PUT", `/instances/${id}`, {
            service,
            address: this.address,
            zone: "zone-a",
            version: "v1",
            slots,
            state: "ready",
            cold_remaining_ms: 0,
            sequence: this.sequence,
            ...(card === undefined
                ? {}
                : {
                    stage: "both",
                    models: [{ name: card.model, version: 1, adapters: [] }],
                    route_kind: card.kind,
                    layers: this.describeLayers(),
                }),
        });
        if (this.sequence === 1 || answer.status !== 200) {
            this.record.write(`worker ${id}: heartbeat ${String(this.sequence)} -> ${String(answer.status)}`);
        }
    }

    private describeLayers(): object | null {
        return this.held === undefined ? null : { ...this.held, version: 1 };
    }

    private async handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
        const chunks: Buffer[] = [];
        for await (const chunk of message as AsyncIterable<Buffer>) {
            chunks.push(chunk);
        }
        const body = Buffer.concat(chunks);
        const { id } = this.options;
        if (message.url === "/report") {
            this.sendReport(response);
        }
        else if (message.url === "/order") {
            this.takeOrder(body, response, message.headers["crankfork-expect-instance"]);
        }
        else if (message.url === "/health") {
            response.writeHead(200, { "Crankfork-Instance-Id": id }).end();
        }
        else if (message.headers["crankfork-expect-instance"] === id) {
            this.options.serve(message, response, body);
        }
        else {
            this.record.write(`worker ${id} at ${this.address}: a request for another worker -> 421`);
            response.writeHead(421, {
                "Crankfork-Request-Id": message.headers["crankfork-request-id"] ?? "",
                "Crankfork-Not-Executed": "1",
                "At-Server": this.address,
                "Content-Length": 0,
            }).end();
        }
    }

    private sendReport(response: ServerResponse): void {
        const { card } = this.options;
        response.writeHead(200, { "Content-Type": "application/json" }).end(JSON.stringify({
            stage: "both",
            models: card === undefined ? [] : [{ name: card.model, version: 1, adapters: [] }],
            busy_slots: this.isLoading,
            sequence: this.orders,
            waiting: 0,
            running: 0,
            kv_used: 0,
            kv_capacity: 100_000,
            handles: 0,
            layers: this.describeLayers(),
            stalled: [],
        }));
    }

    /** A 421 answers an order that names another worker, as PROTOCOL.md says for requests and orders alike. */
    private takeOrder(body: Buffer, response: ServerResponse, expected: string | string[] | undefined): void {
        const { id, card } = this.options;
        const order = JSON.parse(body.toString()) as LayerRange & { readonly expected_revision?: number; };
        const range = { from_revision: order.from_revision, target_version: order.target_version };
        const neededMb = (range.target_version - range.from_revision) * (card?.layerMb ?? 0);
        const text = `layers ${String(range.from_revision)}-${String(range.target_version)}, ${
            String(neededMb)
        } MB of ${String(card?.mb ?? 0)}`;
        if (expected !== undefined && expected !== id) {
            this.record.write(`worker ${id} at ${this.address}: order for another worker (${text}) -> 421`);
            response.writeHead(421, { "At-Server": this.address }).end();
            return;
        }
        if (order.expected_revision !== undefined && order.expected_revision !== this.orders) {
            this.record.write(`worker ${id} at ${this.address}: order with another sequence (${text}) -> 409`);
            response.writeHead(409).end();
            return;
        }
        this.record.write(`worker ${id} at ${this.address}: order (${text}) -> 202`);
        this.orders += 1;
        this.isLoading = true;
        this.held = undefined;
        response.writeHead(202).end();
        this.options.handleOrder?.(range, neededMb);
        setTimeout(() => {
            if (this.server !== undefined) {
                this.isLoading = false;
                this.held = range;
                void this.beat();
            }
        }, card?.loadMs ?? 0);
    }
}
