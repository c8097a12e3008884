/**
 * Relays requests of other entries to upstreams that those cannot reach. The other entry has admitted the request, chosen the
 * upstream and counts the attempt; a relayed request is never relayed again.
 */
import type { ReachResult } from "@crankfork/schemas";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { RequestDispatcher } from "../../connection/observeDispatch.js";
import {
    decodeRelayedRequest,
    encodeBroken,
    encodeRelayedHead,
    encodeRelayEnd,
    encodeRelayRefusal,
    encodeWithheld,
    type RelayedRequest,
    type RelayEnd,
    type RelayRefusal,
} from "../../connection/relayProtocol.js";
import type { UpstreamEndpoint } from "../../connection/upstreamConnections.js";
import { type OpenExchange, type ResponseHead, startExchange } from "../../connection/upstreamExchange.js";
import type { FleetView } from "../../version/fleetView.js";
import { readCallerBody } from "../callerBody.js";
import type { FleetMetrics } from "../fleetMetrics.js";
import { startTask } from "../startTask.js";
import { PROBE_TIMEOUT_MS } from "./reachMonitor.js";

/** Dependencies of {@link RelayServer}. */
export interface RelayServerOptions {
    readonly view: Pick<FleetView, "getUpstream" | "routing">;
    readonly getNowMs: () => number;
    readonly metrics: Pick<FleetMetrics, "countRelayedRequest" | "recordRelayedRequestMs">;
    /** This entry's own connections to an upstream. */
    readonly getConnections: (endpoint: UpstreamEndpoint) => RequestDispatcher;
    /** Opens a connection to an address within a time-out, in milliseconds. */
    readonly probe: (address: string, timeoutMs: number) => Promise<boolean>;
    /** Remaining backoff of an upstream, in milliseconds; 0 if it accepts requests. */
    readonly getBackoffMs: (upstreamId: string) => number;
    /** Applies the notices in the head of an upstream's response. */
    readonly handleHead: (upstreamId: string, head: ResponseHead) => void;
    /** Checks after a closed connection whether this entry itself is cut off from all upstreams. */
    readonly checkAfterClose: () => Promise<boolean>;
    readonly isStopping: () => boolean;
    /** Memory of this process, in MB; undefined where the settings name none. */
    readonly memoryMb: number | undefined;
}

const HOP_STATUS = 200;
/** Timers that fire this late show that the process cannot keep up with its own callers. */
const BUSY_DELAY_MS = 100;
const DELAY_CHECK_INTERVAL_MS = 50;
/** Share of the memory that relayed exchanges may take, and the buffers of one. */
const MEMORY_SHARE = 0.25;
const EXCHANGE_MB = 0.125;
const DEFAULT_MEMORY_MB = 160;

/** Relays requests. */
export class RelayServer {
    private openCount = 0;
    private delayMs = 0;
    private delayTimer: NodeJS.Timeout | undefined;
    private readonly maxOpen: number;

    /**
     * @param options - upstreams and connections
     */
    constructor(private readonly options: RelayServerOptions) {
        this.maxOpen = Math.floor((options.memoryMb ?? DEFAULT_MEMORY_MB) * MEMORY_SHARE / EXCHANGE_MB);
    }

    /** Number of relayed requests in flight. */
    get openRequests(): number {
        return this.openCount;
    }

    /**
     * Connects to upstreams that another entry cannot reach.
     * @param upstreams - their ids
     * @returns those that could be reached
     */
    async probeUpstreams(upstreams: readonly string[]): Promise<ReachResult> {
        const { view, probe } = this.options;
        const results = await Promise.all(upstreams.map(async (id) => {
            const address = view.getUpstream(id)?.address;
            return address !== undefined && await probe(address, PROBE_TIMEOUT_MS);
        }));
        return { reached: upstreams.filter((_id, at) => results[at]) };
    }

    /**
     * Handles a request of another entry.
     * @param message - the request
     * @param response - its response
     */
    handle(message: IncomingMessage, response: ServerResponse): void {
        const startMs = this.options.getNowMs();
        this.openCount += 1;
        this.watchDelay();
        response.once("close", () => {
            this.openCount -= 1;
            if (this.openCount === 0) {
                clearInterval(this.delayTimer);
                this.delayTimer = undefined;
            }
            this.options.metrics.countRelayedRequest("received", response.writableFinished ? "ended" : "broken-off");
            this.options.metrics.recordRelayedRequestMs(this.options.getNowMs() - startMs);
        });
        this.serve(message, response).catch(() => {
            response.destroy();
        });
    }

    private async serve(message: IncomingMessage, response: ServerResponse): Promise<void> {
        const { view, getBackoffMs } = this.options;
        response.sendDate = false;
        const relayed = decodeRelayedRequest(message.headers, message.rawHeaders);
        const body = await readCallerBody(message, view.routing?.table.limits.body_bytes);
        if (relayed === undefined || body === "too-large" || body === "unreadable") {
            refuse(response, "unreadable");
            return;
        }
        const { upstreamId, address } = relayed.endpoint;
        if (this.options.isStopping() || this.isBusy) {
            refuse(response, this.options.isStopping() ? "stopping" : "busy");
            return;
        }
        if (view.getUpstream(upstreamId)?.address !== address) {
            refuse(response, "unknown-upstream");
            return;
        }
        const backoffMs = getBackoffMs(upstreamId);
        if (backoffMs > 0) {
            response.writeHead(HOP_STATUS, encodeWithheld(backoffMs)).end();
            return;
        }
        this.forward(relayed, body, response);
    }

    private forward({ endpoint, request }: RelayedRequest, body: Buffer | undefined, response: ServerResponse): void {
        const exchange: OpenExchange = startExchange(this.options.getConnections(endpoint), { ...request, body }, {
            shouldSend: () => !response.destroyed,
            handleWithheld: () => undefined,
            handleHead: (head) => {
                this.options.handleHead(endpoint.upstreamId, head);
                response.writeHead(HOP_STATUS, encodeRelayedHead(head));
                response.flushHeaders();
            },
            handleData: (chunk) => {
                if (!response.write(chunk)) {
                    exchange.pause();
                }
            },
            handleEnd: () => {
                endResponse(response, "whole");
            },
            handleError: ({ wasSent, isUpstreamClosed }) => {
                if (!wasSent) {
                    refuse(response, "unreachable");
                }
                else if (isUpstreamClosed) {
                    startTask("relayed-end", () => this.endClosed(response), () => response.destroy());
                }
                else {
                    endResponse(response, "malformed");
                }
            },
        });
        response.on("drain", () => {
            exchange.resume();
        });
        response.once("close", () => {
            if (!response.writableFinished) {
                exchange.cancel();
            }
        });
    }

    /** Where this entry's own links failed, nothing is known about the upstream. */
    private async endClosed(response: ServerResponse): Promise<void> {
        if (await this.options.checkAfterClose()) {
            response.destroy();
        }
        else {
            endResponse(response, "closed");
        }
    }

    /** A process that cannot keep up serves its own callers first. */
    private get isBusy(): boolean {
        return this.openCount > this.maxOpen || this.delayMs > BUSY_DELAY_MS;
    }

    /** Measures how late timers fire while requests are relayed. */
    private watchDelay(): void {
        const { getNowMs } = this.options;
        if (this.delayTimer !== undefined) {
            return;
        }
        let dueMs = getNowMs() + DELAY_CHECK_INTERVAL_MS;
        this.delayMs = 0;
        this.delayTimer = setInterval(() => {
            const nowMs = getNowMs();
            this.delayMs = Math.max(nowMs - dueMs, this.delayMs / 2);
            dueMs = nowMs + DELAY_CHECK_INTERVAL_MS;
        }, DELAY_CHECK_INTERVAL_MS);
    }
}

function refuse(response: ServerResponse, refusal: RelayRefusal): void {
    response.writeHead(HOP_STATUS, encodeRelayRefusal(refusal)).end();
}

function endResponse(response: ServerResponse, end: RelayEnd): void {
    if (response.headersSent) {
        response.addTrailers(encodeRelayEnd(end));
        response.end();
    }
    else {
        response.writeHead(HOP_STATUS, encodeBroken(end)).end();
    }
}
