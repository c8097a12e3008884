import type { Route } from "@crankfork/schemas";
import { createServer, type Server } from "node:http";
import { type AddressInfo, createServer as createTcpServer, type Server as TcpServer, type Socket } from "node:net";
import { readRetryAfter } from "../src/connection/readRetryAfter.js";
import { UpstreamConnections } from "../src/connection/upstreamConnections.js";
import { PathPulse } from "../src/process/entry/pathPulse.js";
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

/** Plain names in place of a platform's. */
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
        const fault = head.headers["x-fault"];
        const faultAddress = typeof fault === "string" ? fault : undefined;
        return { kind: head.headers["x-not-run"] === undefined ? "answer" : "declined", faultAddress };
    },
    readNotice: (head) => ({
        rest: readRetryAfter(head),
        leaving: head.headers["x-leaving"] === undefined ? "not-said" : "said",
        limit: { kind: "none" },
    }),
    createErrorHeaders: (call) => ["x-id", call.requestId],
};

/** What a stand-in upstream does with a request, given the request's text. */
export type UpstreamScript = (socket: Socket, requestId: string, request: string) => void;

/** An upstream that writes bytes as the script says. */
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

    close(): void {
        this.server.close();
        this.sockets.forEach((socket) => socket.destroy());
    }
}

/** Formats an answer with a length. */
export function formatAnswer(status: number, requestId: string, body: string, headers: string = ""): string {
    return `HTTP/1.1 ${String(status)} X\r\nx-id: ${requestId}\r\n${headers}content-length: ${
        String(body.length)
    }\r\n\r\n${body}`;
}

/** Formats the head of a stream. */
export function formatStreamHead(requestId: string): string {
    return `HTTP/1.1 200 OK\r\nx-id: ${requestId}\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n`;
}

/** Formats bytes as a chunk; an empty text ends the stream. */
export function formatChunk(text: string): string {
    return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** Formats an event. */
export function formatEvent(id: number): string {
    return `id: ${String(id)}\ndata: token${String(id)}\n\n`;
}

/** What a caller saw. */
export interface SeenAnswer {
    readonly status: number | undefined;
    readonly body: string;
    readonly isWhole: boolean;
    readonly retryAfter?: string | undefined;
    readonly length?: string | undefined;
    readonly encoding?: string | undefined;
}

/** What is different in one case. */
export interface EntryOptions {
    readonly upstreams: readonly Pick<ScriptedUpstream, "name" | "address">[];
    readonly route: Partial<Route>;
    readonly isPath?: boolean;
    /** Names of upstreams that have ended, as the voters know. */
    readonly ended?: readonly string[];
    /** Whether a stream may leave its path for silence alone; left out for yes. */
    readonly mayLeave?: boolean;
    /** What is told where no upstream is left; left out for "none". */
    readonly otherwise?: "none" | "full" | "too-few-engines";
    /** Where no upstream is left, those that there are rest for so long. */
    readonly restLeftMs?: number;
    /** How many looks find that upstreams get as much as they take, and what these are told. */
    readonly limited?: { readonly looks: number; readonly leftMs: number; readonly isHeld: boolean; };
    /** How many times it is full before there is room; left out for never. */
    readonly fullLooks?: number;
    /** What is known of requests under which upstreams ended; nothing where left out. */
    readonly crashes?: Partial<CrashFunctions>;
    /** What upstreams said of themselves; nothing where left out. */
    readonly notices?: Partial<NoticeFunctions>;
    /** How often the caller's key may be used when that is asked; left out for a route without keys. */
    readonly keyLooks?: number;
    /** For how long the machine sleeps once a request is there; 0 where left out. */
    readonly sleepMs?: number;
    readonly askStall?: (target: CallTarget) => Promise<StallReport>;
}

/** An entry of one route, that tries the upstreams in their order. */
export class TestEntry {
    readonly ends: RequestEnd[] = [];
    readonly suspects: string[] = [];
    readonly declines: string[] = [];
    /** How often a target was looked for. */
    looks = 0;
    private keyLooks = 0;
    private readonly pulse = new PathPulse({ getNowMs: () => performance.now(), handleStill: () => undefined });

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
                const run = new RequestContext({
                    call: testCodec.parseCall(request),
                    route: createTestRoute(options.route),
                    service: { name: "s" },
                    organisation: options.keyLooks === undefined ? undefined : { name: "o", keys: ["k"] },
                    body: chunks.length === 0 ? undefined : Buffer.concat(chunks),
                    basis: confirmedBasis,
                    arrivedMs: performance.now(),
                }, () => performance.now() + asleepMs);
                asleepMs = options.sleepMs ?? 0;
                response.once("close", () => {
                    if (!response.writableFinished) {
                        run.stop("caller-left");
                    }
                });
                const answer = new RoutedResponse(response, testCodec, () => false);
                void handleRoutedRequest(run, answer, entry.createFunctions(options)).then((end) => {
                    run.close();
                    entry.ends.push(end);
                });
            });
        });
        return entry;
    }

    async close(): Promise<void> {
        this.pulse.stop();
        this.server.close();
        this.server.closeAllConnections();
        await this.connections.destroy();
    }

    private createFunctions(options: EntryOptions): RoutedRequestFunctions {
        return {
            getConnections: (target) => this.connections.get(target),
            codec: testCodec,
            getNowMs: () => performance.now(),
            chooseTarget: (run, lastEventId) => {
                this.looks += 1;
                if (this.looks <= (options.fullLooks ?? 0)) {
                    return { kind: "full" };
                }
                if (options.limited !== undefined && this.looks <= options.limited.looks) {
                    return { kind: "limited", ...options.limited, upstreams: ["u0"] };
                }
                const next = options.upstreams.find((one) => !run.attemptedUpstreams.has(one.name));
                if (next === undefined && options.restLeftMs !== undefined) {
                    return { kind: "resting", leftMs: options.restLeftMs, upstreams: [] };
                }
                return next === undefined ? { kind: options.otherwise ?? "none" } : {
                    kind: "target",
                    target: {
                        upstreamId: next.name,
                        upstreamName: next.name,
                        address: next.address,
                        stages: options.isPath === true ? [] : undefined,
                        remainingMs: Math.round(run.remainingMs),
                        organisation: undefined,
                        priority: 1,
                        lastEventId,
                    },
                };
            },
            isKeyUsable: () => {
                this.keyLooks += 1;
                return this.keyLooks <= (options.keyLooks ?? 0);
            },
            recordStart: () => undefined,
            recordFirstOutput: () => undefined,
            recordEnd: () => undefined,
            recordAnswer: () => undefined,
            suspect: (id) => this.suspects.push(id),
            recordDecline: (id) => this.declines.push(id),
            findIdAt: (address) => options.upstreams.find((one) => one.address === address)?.name ?? address,
            claimRetry: () => true,
            queryStall: options.askStall ?? (() => Promise.resolve({ kind: "moving" })),
            watchPath: (target, pauseMs, leave) =>
                this.pulse.follow({ id: target.upstreamId, laterStages: "" }, pauseMs, leave),
            claimPathSwitch: (run) =>
                options.mayLeave !== false && options.upstreams.some((one) => !run.attemptedUpstreams.has(one.name)),
            hasEnded: (id) => options.ended?.includes(id) === true,
            notices: {
                receive: () => undefined,
                maySend: () => true,
                recordSend: () => undefined,
                recordOutcome: () => undefined,
                computeRetryAfterMs: (_service, leftMs) => leftMs,
                ...options.notices,
            },
            crashes: {
                isQuarantined: () => false,
                claimTrial: () => Promise.resolve(false),
                recordCrash: () => undefined,
                recordUnanswered: () => undefined,
                recordSuccess: () => undefined,
                ...options.crashes,
            },
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
