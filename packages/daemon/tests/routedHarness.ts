import type { EngineProfile, Route } from "@crankfork/schemas";
import { createServer, type Server } from "node:http";
import { type AddressInfo, createServer as createTcpServer, type Server as TcpServer, type Socket } from "node:net";
import { probeConnection } from "../src/connection/probeConnection.js";
import { readRetryAfter } from "../src/connection/readRetryAfter.js";
import { UpstreamConnections } from "../src/connection/upstreamConnections.js";
import { PathStallDetector } from "../src/process/entry/pathStallDetector.js";
import type { UnreadBudget } from "../src/process/entry/unreadBudget.js";
import type { RequestEnd } from "../src/request/refuseRequest.js";
import { RequestContext } from "../src/request/requestContext.js";
import type {
    CrashFunctions,
    NoticeFunctions,
    RoutedRequestFunctions,
    StallReport,
} from "../src/request/requestFunctions.js";
import type { CallCodec, CallTarget } from "../src/request/routedCall.js";
import { handleRoutedRequest } from "../src/request/routedRequest.js";
import { removeHopByHopHeaders, RoutedResponse } from "../src/request/routedResponse.js";
import { confirmedBasis } from "./configurationFakes.js";

const PROBE_MS = 250;

/** A codec with short header names in place of a platform's. */
export const testCodec: CallCodec = {
    parseCall: (message) => ({
        requestId: String(message.headers["x-id"] ?? ""),
        method: message.method ?? "GET",
        host: "h",
        target: message.url ?? "/",
        path: message.url ?? "/",
        key: undefined,
        deadlineMs: message.headers["x-deadline"] === undefined ? undefined : Number(message.headers["x-deadline"]),
        size: undefined,
        lastEventId: undefined,
        rawHeaders: message.rawHeaders,
    }),
    createUpstreamHeaders: (call, target) => [
        ...removeHopByHopHeaders(call.rawHeaders, new Set(["content-length"])),
        ...(target.lastEventId === undefined ? [] : ["last-event-id", target.lastEventId]),
        "x-left",
        String(target.remainingMs),
    ],
    classifyHead: (call, head) => {
        if (head.headers["x-id"] !== call.requestId) {
            return { kind: "stray", faultAddress: undefined };
        }
        const faultHeader = head.headers["x-fault"];
        const faultAddress = typeof faultHeader === "string" ? faultHeader : undefined;
        return { kind: head.headers["x-not-run"] === undefined ? "answer" : "declined", faultAddress };
    },
    readNotice: (head) => ({
        backoff: readRetryAfter(head),
        leaving: head.headers["x-leaving"] === undefined ? "not-said" : "said",
        limit: { kind: "none" },
    }),
    createErrorHeaders: (call) => ["x-id", call.requestId],
};

/** Behaviour of a stub upstream, given the text of the request. */
export type UpstreamScript = (socket: Socket, requestId: string, request: string) => void;

/** A stub upstream that writes bytes as its script says. */
export class ScriptedUpstream {
    readonly requests: string[] = [];
    private readonly sockets = new Set<Socket>();

    private constructor(readonly name: string, readonly address: string, private readonly server: TcpServer) {}

    static async open(name: string, script: UpstreamScript): Promise<ScriptedUpstream> {
        const server = createTcpServer();
        await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
        const upstream = new ScriptedUpstream(
            name,
            `127.0.0.1:${String((server.address() as AddressInfo).port)}`,
            server,
        );
        server.on("connection", (socket) => {
            upstream.sockets.add(socket);
            socket.on("error", () => undefined);
            socket.on("data", (chunk) => {
                const text = chunk.toString();
                upstream.requests.push(text);
                script(socket, /x-id: (\S+)/i.exec(text)?.[1] ?? "", text);
            });
        });
        return upstream;
    }

    /** Ends the upstream as a crash does: its connections are closed in order, and it accepts no more. */
    crash(): void {
        this.server.close();
        this.sockets.forEach((socket) => socket.end());
    }

    close(): void {
        this.server.close();
        this.sockets.forEach((socket) => socket.destroy());
    }
}

/** An upstream that refuses connections. The port of one that was closed may be given to another server of the test. */
export const goneUpstream: Pick<ScriptedUpstream, "name" | "address"> = { name: "gone", address: "127.0.0.1:1" };

/** Formats a response with a Content-Length. */
export function formatResponse(status: number, requestId: string, body: string, headers: string = ""): string {
    return `HTTP/1.1 ${String(status)} X\r\nx-id: ${requestId}\r\n${headers}content-length: ${
        String(body.length)
    }\r\n\r\n${body}`;
}

/** Formats the head of a stream. */
export function formatStreamHead(requestId: string): string {
    return `HTTP/1.1 200 OK\r\nx-id: ${requestId}\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n`;
}

/** Formats a chunk of a chunked body; an empty text ends the body. */
export function formatChunk(text: string): string {
    return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** Formats an event. */
export function formatEvent(id: number): string {
    return `id: ${String(id)}\ndata: token${String(id)}\n\n`;
}

/** A response as the caller received it. */
export interface ReceivedResponse {
    readonly status: number | undefined;
    readonly body: string;
    readonly isComplete: boolean;
    readonly retryAfter?: string | undefined;
    readonly length?: string | undefined;
    readonly encoding?: string | undefined;
}

/** Options of a test entry. */
export interface EntryOptions {
    readonly upstreams: readonly Pick<ScriptedUpstream, "name" | "address">[];
    readonly route: Partial<Route>;
    readonly isPath?: boolean;
    /** Names of upstreams that have terminated, as known to the voters. */
    readonly ended?: readonly string[];
    /** Whether a stream may switch its path because of silence alone; yes by default. */
    readonly maySwitchPath?: boolean;
    /** The choice if no upstream is left; "none" by default. */
    readonly fallback?: "none" | "full" | "too-few-engines" | "limited";
    /** Whether an upstream may be attempted again where no other is left; not by default. */
    readonly mayRepeatUpstream?: boolean;
    /** Number of checks after which no upstream is left. */
    readonly lostAfterChecks?: number;
    /** If set, upstreams are in backoff for this long once none is left. */
    readonly backoffMs?: number;
    /** For how many checks the upstreams' rate limits are used up, and what these checks return. */
    readonly limited?: { readonly checks: number; readonly remainingMs: number; readonly isHeld: boolean; };
    /** For how many checks all paths are at capacity; 0 by default. */
    readonly fullChecks?: number;
    /** Overrides of the crash functions; by default nothing is quarantined. */
    readonly crashes?: Partial<CrashFunctions>;
    /** Overrides of the notice functions; by default upstreams send no notices. */
    readonly notices?: Partial<NoticeFunctions>;
    /** For how many checks the caller's key is valid; undefined for a route without keys. */
    readonly validKeyChecks?: number;
    /** How long the machine sleeps after the request has arrived; 0 by default. */
    readonly sleepMs?: number;
    /** Whether the memory of engines is checked; not by default. */
    readonly isMemoryChecked?: boolean;
    /** Profile of the service's engines; by default it runs no model. */
    readonly engine?: EngineProfile;
    /** Budget of the unread bytes; none by default. */
    readonly unread?: UnreadBudget;
    /** Whether an upstream can be chosen now; always by default. */
    readonly isAvailable?: (name: string) => boolean;
    /** Takes a retry from the retry budget; always possible by default. */
    readonly claimRetry?: () => boolean;
    /** Returns a retry to the budget; ignored by default. */
    readonly releaseRetry?: () => void;
    readonly queryStall?: (target: CallTarget) => Promise<StallReport>;
    readonly isPathResponsive?: (target: CallTarget) => Promise<boolean>;
    /** The way to an upstream; a direct connection by default. */
    readonly getConnections?: RoutedRequestFunctions["getConnections"];
    /** Observes the links of streams; none by default. */
    readonly followLink?: NonNullable<RoutedRequestFunctions["followLink"]>;
}

/** A test entry with one route that attempts the upstreams in their order. */
export class TestEntry {
    readonly ends: RequestEnd[] = [];
    readonly suspects: string[] = [];
    readonly declines: string[] = [];
    /** Tokens recorded at the start of each attempt. */
    readonly startedTokens: (number | undefined)[] = [];
    /** Number of checks for a target. */
    targetChecks = 0;
    private keyChecks = 0;
    private readonly stallDetector = new PathStallDetector({
        getNowMs: () => performance.now(),
        handleStall: () => undefined,
    });

    private constructor(
        private readonly server: Server,
        readonly url: string,
        private readonly connections: UpstreamConnections,
    ) {}

    static async open(options: EntryOptions): Promise<TestEntry> {
        const connections = new UpstreamConnections();
        const server = createServer();
        await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
        const url = `http://127.0.0.1:${String((server.address() as AddressInfo).port)}`;
        const entry = new TestEntry(server, url, connections);
        server.on("request", (request, response) => {
            const chunks: Buffer[] = [];
            request.on("data", (chunk: Buffer) => chunks.push(chunk));
            request.on("end", () => {
                let asleepMs = 0;
                const context = new RequestContext({
                    call: testCodec.parseCall(request),
                    route: createTestRoute(options.route),
                    service: { name: "s", ...(options.engine === undefined ? {} : { engine: options.engine }) },
                    organisation: options.validKeyChecks === undefined ? undefined : {
                        name: String(request.headers["x-organisation"] ?? "o"),
                        keys: ["k"],
                    },
                    body: chunks.length === 0 ? undefined : Buffer.concat(chunks),
                    basis: confirmedBasis,
                    arrivedMs: performance.now(),
                }, () => performance.now() + asleepMs);
                asleepMs = options.sleepMs ?? 0;
                response.once("close", () => {
                    if (!response.writableFinished) {
                        context.stop("caller-left");
                    }
                });
                const routedResponse = new RoutedResponse(response, testCodec, () => false);
                void handleRoutedRequest(context, routedResponse, entry.createFunctions(options)).then((end) => {
                    context.close();
                    entry.ends.push(end);
                });
            });
        });
        return entry;
    }

    /** Counts the open connections of callers. */
    async countConnections(): Promise<number> {
        return await new Promise((resolve) => {
            this.server.getConnections((_error, count) => {
                resolve(count);
            });
        });
    }

    async close(): Promise<void> {
        this.stallDetector.stop();
        this.server.close();
        this.server.closeAllConnections();
        await this.connections.destroy();
    }

    private createFunctions(options: EntryOptions): RoutedRequestFunctions {
        return {
            getConnections: options.getConnections ?? ((target) => this.connections.get(target)),
            isReachable: ({ address }) => probeConnection(address, PROBE_MS),
            codec: testCodec,
            getNowMs: () => performance.now(),
            chooseTarget: (context, lastEventId) => {
                this.targetChecks += 1;
                if (this.targetChecks <= (options.fullChecks ?? 0)) {
                    return { kind: "full" };
                }
                if (options.limited !== undefined && this.targetChecks <= options.limited.checks) {
                    return { kind: "limited", ...options.limited, upstreams: ["u0"] };
                }
                const isLost = this.targetChecks > (options.lostAfterChecks ?? Number.POSITIVE_INFINITY);
                const next = isLost
                    ? undefined
                    : options.upstreams.find((one) =>
                        !context.attemptedUpstreams.has(one.name) && !context.unresponsiveUpstreams.has(one.name)
                        && options.isAvailable?.(one.name) !== false
                    )
                        ?? (options.mayRepeatUpstream === true ? options.upstreams[0] : undefined);
                if (next === undefined && options.backoffMs !== undefined) {
                    return { kind: "resting", remainingMs: options.backoffMs, upstreams: [] };
                }
                const { fallback = "none" } = options;
                if (next === undefined) {
                    return fallback === "limited"
                        ? { kind: fallback, remainingMs: 50, isHeld: false, upstreams: [] }
                        : { kind: fallback };
                }
                return {
                    kind: "target",
                    target: {
                        upstreamId: next.name,
                        upstreamName: next.name,
                        address: next.address,
                        stages: options.isPath === true ? [] : undefined,
                        remainingMs: Math.round(context.remainingMs),
                        organisation: undefined,
                        priority: 1,
                        lastEventId,
                    },
                };
            },
            isKeyUsable: () => {
                this.keyChecks += 1;
                return this.keyChecks <= (options.validKeyChecks ?? 0);
            },
            isMemoryChecked: () => options.isMemoryChecked === true,
            recordStart: (_id, _rank, tokens) => this.startedTokens.push(tokens),
            recordFirstOutput: () => undefined,
            recordEnd: () => undefined,
            recordAnswer: () => undefined,
            suspect: (id) => this.suspects.push(id),
            recordMissingReport: (id) => this.suspects.push(id),
            recordProgress: () => undefined,
            recordDecline: (id) => this.declines.push(id),
            findIdAt: (address) => options.upstreams.find((one) => one.address === address)?.name ?? address,
            claimRetry: options.claimRetry ?? (() => true),
            releaseRetry: options.releaseRetry ?? (() => undefined),
            queryStall: options.queryStall ?? (() => Promise.resolve({ kind: "moving" })),
            ...(options.isPathResponsive === undefined ? {} : { isPathResponsive: options.isPathResponsive }),
            watchPath: (target, pauseMs, leave) =>
                this.stallDetector.follow(
                    { id: target.upstreamId, laterStages: "" },
                    pauseMs,
                    options.maySwitchPath === false ? () => undefined : leave,
                ),
            ...(options.followLink === undefined ? {} : { followLink: options.followLink }),
            hasOtherPath: (context) => options.upstreams.some((one) => !context.attemptedUpstreams.has(one.name)),
            hasEnded: (id) => options.ended?.includes(id) === true,
            notices: {
                receive: () => undefined,
                maySend: () => true,
                recordSend: () => undefined,
                recordOutcome: () => undefined,
                computeRetryAfterMs: (_service, remainingMs) => remainingMs,
                ...options.notices,
            },
            crashes: {
                isQuarantined: () => false,
                claimTrial: () => Promise.resolve(false),
                needsResendGrant: () => false,
                claimResend: () => Promise.resolve("granted"),
                waitUntilStored: () => Promise.resolve(),
                recordCrash: () => undefined,
                recordUnanswered: () => undefined,
                recordUnconfirmed: () => undefined,
                recordSuccess: () => undefined,
                ...options.crashes,
            },
            ...(options.unread === undefined ? {} : { unread: options.unread }),
            record: () => undefined,
        };
    }
}

function createTestRoute(change: Partial<Route>): Route {
    return {
        name: "r",
        host: "h",
        prefix: "/",
        kind: "call",
        is_repeatable: true,
        timeout_ms: 5_000,
        objective_ms: 100,
        pause_objective_ms: 40,
        priority: 1,
        most_attempts: 2,
        is_anonymous: true,
        targets: [{ service: "s", weight: 1 }],
        ...change,
    };
}
