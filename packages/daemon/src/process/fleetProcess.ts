/**
 * Infrastructure shared by entries and voters: reloadable settings, log, metrics, signals and the peers' port.
 */
import type { SuspendAwareClock } from "@crankfork/coordination";
import type { FleetSettings } from "@crankfork/schemas";
import { parseAddress } from "@crankfork/schemas";
import type { JSONRPCServer } from "json-rpc-2.0";
import type { Dispatcher } from "undici";
import { createAgent, createPeerAgent } from "../connection/httpClient.js";
import { createPeerClient, type PeerClient } from "../connection/peerClient.js";
import { createSuspendAwareClock } from "./createSuspendAwareClock.js";
import { type EventLog, openEventLog } from "./eventLog.js";
import { type FleetMetrics, openFleetMetrics } from "./fleetMetrics.js";
import { type OpenServer, openServer, type RequestHandler } from "./httpServer.js";
import { HybridClock } from "./hybridClock.js";
import { type PeerTraffic, startPeerTraffic } from "./peerTraffic.js";
import { watchProcessFailures } from "./processFailures.js";
import { createRateLimitedLog } from "./rateLimitedLog.js";
import { createRpcHandler } from "./rpcHandler.js";
import { startPeriodicTask } from "./startPeriodicTask.js";
import { runForEach, startTask } from "./startTask.js";
import { stopWasmOptimisation } from "./stopWasmOptimisation.js";
import { createTaskFailureHandler, watchTaskFailures } from "./taskFailures.js";

/** Reads the settings file again; undefined if it is invalid now. */
export type SettingsReader = () => FleetSettings | undefined;

/** Infrastructure of a fleet process. */
export interface FleetProcess {
    readonly getSettings: () => FleetSettings;
    readonly log: EventLog;
    readonly metrics: FleetMetrics;
    readonly agent: Dispatcher;
    readonly peers: PeerClient;
    readonly traffic: PeerTraffic;
    readonly ownAddress: string;
    readonly getNowMs: () => number;
    /** Detects sleep; `getNowMs` reads it. */
    readonly suspendAwareClock: SuspendAwareClock;
    /** Peer addresses of instances that may be voters, according to the current settings. */
    readonly getSeeds: () => readonly string[];
    /** `idleMs` is the keep-alive time of idle connections; the default applies if omitted. */
    readonly openPort: (
        address: string | undefined,
        handle: RequestHandler,
        idleMs?: number,
    ) => Promise<OpenServer | undefined>;
    /** `handlers` take requests to other paths than that of JSON-RPC, by path. */
    readonly openPeers: (
        server: JSONRPCServer,
        handlers?: Readonly<Record<string, RequestHandler>>,
    ) => Promise<void>;
    /** Closes the servers and connections. */
    readonly close: () => void;
}

/** The settings file may change without a signal, so it is also read periodically. */
const RELOAD_INTERVAL_MS = 2_000;

/**
 * Opens the infrastructure of a fleet process.
 * @param initial - the settings at start-up
 * @param role - `entry` or `voter`, for the log
 * @param readSettings - reads the settings file again
 * @returns log, metrics, connections and ports
 */
export function openFleetProcess(initial: FleetSettings, role: string, readSettings: SettingsReader): FleetProcess {
    stopWasmOptimisation();
    const clock = new HybridClock();
    const suspendAwareClock = createSuspendAwareClock(() => log);
    const getNowMs = (): number => suspendAwareClock.getNowMs();
    const eventLog = openEventLog({ instance: initial.instance.id, level: "info", file: undefined, clock });
    watchProcessFailures(eventLog);
    const log: EventLog = createRateLimitedLog(eventLog, getNowMs);
    const metrics = openFleetMetrics(initial.instance.id);
    watchTaskFailures(createTaskFailureHandler({ log, getNowMs, count: metrics.countTaskFailure }));
    const traffic = startPeerTraffic(log, metrics);
    const agent = createAgent();
    const peerConnections = createPeerAgent();
    const servers: OpenServer[] = [];
    const { host } = initial.instance;
    let settings = initial;
    const reload = (cause: string): void => {
        const next = readSettings();
        const hasChanged = JSON.stringify(next) !== JSON.stringify(settings);
        if (next === undefined) {
            log.record("error", "settings-unreadable", { cause });
            return;
        }
        if (hasChanged || cause === "signal") {
            log.record("info", "settings-reloaded", { cause, changed: hasChanged });
        }
        settings = next;
    };
    const stopReload = startPeriodicTask("settings-reload", RELOAD_INTERVAL_MS, () => {
        reload("timer");
    });
    process.on("SIGHUP", () => {
        startTask("settings-reload", () => {
            reload("signal");
        });
    });
    log.record("info", "starting", { role, failure_domain: initial.instance.failure_domain });
    const openPort: FleetProcess["openPort"] = async (address, handle, idleMs) => {
        if (address === undefined) {
            return undefined;
        }
        const server = await openServer(address, handle, undefined, idleMs);
        servers.push(server);
        return server;
    };
    const metricsPort = initial.ports.metrics_port;
    if (metricsPort !== undefined) {
        startTask("metrics-port", () =>
            openPort(`${host}:${String(metricsPort)}`, (_request, response) => {
                const send = async (): Promise<unknown> => response.end(await metrics.format());
                startTask("metrics-port", send, () => response.destroy());
            }));
    }
    return {
        getSettings: () => settings,
        log,
        metrics,
        agent,
        traffic,
        peers: createPeerClient({
            agent: peerConnections,
            secret: undefined,
            clock,
            recordRequest: traffic.recordRequest,
            recordFailure: traffic.recordFailure,
        }),
        ownAddress: `${host}:${String(initial.ports.peers_port)}`,
        getNowMs,
        suspendAwareClock,
        getSeeds: () => listPeerAddresses(settings),
        openPort,
        openPeers: async (server, handlers = {}) => {
            const handleRpc = createRpcHandler({
                secret: undefined,
                clock,
                server,
                recordResponse: traffic.recordResponse,
            });
            await openPort(`${host}:${String(initial.ports.peers_port)}`, (request, response) => {
                (handlers[request.url ?? ""] ?? handleRpc)(request, response);
            });
        },
        close: () => {
            stopReload();
            runForEach("close", servers, (server) => server.close());
            runForEach("close", [agent, peerConnections], (connections) => connections.destroy());
        },
    };
}

/**
 * Lists the peer addresses of the seeds; all instances use the same peers' port.
 * @param settings - seeds and port
 * @returns peer addresses
 */
export function listPeerAddresses(settings: FleetSettings): readonly string[] {
    const port = String(settings.ports.peers_port);
    return settings.cluster.seeds.map((seed) => `${parseAddress(seed).host}:${port}`);
}
