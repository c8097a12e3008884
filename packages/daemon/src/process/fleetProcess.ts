/**
 * What entries and voters of a fleet have in common: settings that may change, log, metrics, signals, peers' port.
 */
import type { SteadyClock } from "@crankfork/coordination";
import type { FleetSettings } from "@crankfork/schemas";
import { parseAddress } from "@crankfork/schemas";
import type { JSONRPCServer } from "json-rpc-2.0";
import { createServer } from "node:http";
import type { Dispatcher } from "undici";
import { createAgent, createPeerAgent } from "../connection/httpClient.js";
import { createPeerClient, type PeerClient } from "../connection/peerClient.js";
import { createSteadyClock } from "./createSteadyClock.js";
import { type EventLog, openEventLog } from "./eventLog.js";
import { type FleetMetrics, openFleetMetrics } from "./fleetMetrics.js";
import { type OpenServer, openServer, type RequestHandler } from "./httpServer.js";
import { HybridClock } from "./hybridClock.js";
import { type PeerTraffic, startPeerTraffic } from "./peerTraffic.js";
import { createRateLimitedLog } from "./rateLimitedLog.js";
import { createRpcHandler } from "./rpcHandler.js";

/** Reads the settings anew; undefined where they make no sense now. */
export type SettingsReader = () => FleetSettings | undefined;

/** What a process of a fleet runs on. */
export interface FleetProcess {
    readonly getSettings: () => FleetSettings;
    readonly log: EventLog;
    readonly metrics: FleetMetrics;
    readonly agent: Dispatcher;
    readonly peers: PeerClient;
    readonly traffic: PeerTraffic;
    readonly ownAddress: string;
    readonly getNowMs: () => number;
    /** Notices time asleep; `getNowMs` reads it. */
    readonly steadyClock: SteadyClock;
    /** Peers' addresses of instances that may be voters, by the newest settings. */
    readonly getSeeds: () => readonly string[];
    /** `idleMs` tells how long a connection is kept that nothing uses; the usual time where left out. */
    readonly openPort: (
        address: string | undefined,
        handle: RequestHandler,
        idleMs?: number,
    ) => Promise<OpenServer | undefined>;
    readonly openPeers: (server: JSONRPCServer) => Promise<void>;
    /** Stops the servers and connections. */
    readonly close: () => void;
}

/** The settings file may change without a signal, so it is read now and then. */
const RELOAD_MS = 2_000;

/**
 * Opens what a process of a fleet runs on.
 * @param first - the settings at the start
 * @param role - `entry` or `voter`, for the log
 * @param readSettings - reads them anew
 * @returns log, connections and ports
 */
export function openFleetProcess(first: FleetSettings, role: string, readSettings: SettingsReader): FleetProcess {
    const clock = new HybridClock();
    const steadyClock = createSteadyClock(() => log);
    const getNowMs = (): number => steadyClock.getNowMs();
    const log: EventLog = createRateLimitedLog(
        openEventLog({ instance: first.instance.id, level: "info", file: undefined, clock }),
        getNowMs,
    );
    const metrics = openFleetMetrics(first.instance.id);
    const traffic = startPeerTraffic(log, metrics);
    const agent = createAgent();
    const peerConnections = createPeerAgent();
    const servers: OpenServer[] = [];
    const { host } = first.instance;
    let settings = first;
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
    const timer = setInterval(() => {
        reload("timer");
    }, RELOAD_MS);
    process.on("SIGHUP", () => {
        reload("signal");
    });
    log.record("info", "starting", { role, failure_domain: first.instance.failure_domain });
    const openPort: FleetProcess["openPort"] = async (address, handle, idleMs) => {
        if (address === undefined) {
            return undefined;
        }
        const server = await openServer(address, handle, createServer(handle), idleMs);
        servers.push(server);
        return server;
    };
    const metricsPort = first.ports.metrics_port;
    if (metricsPort !== undefined) {
        void openPort(`${host}:${String(metricsPort)}`, (_request, response) => {
            void metrics.format().then((text) => response.end(text));
        });
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
            recordRequest: traffic.recordQuestion,
        }),
        ownAddress: `${host}:${String(first.ports.peers_port)}`,
        getNowMs,
        steadyClock,
        getSeeds: () => listPeerAddresses(settings),
        openPort,
        openPeers: async (server) => {
            await openPort(
                `${host}:${String(first.ports.peers_port)}`,
                createRpcHandler({ secret: undefined, clock, server, recordAnswer: traffic.recordAnswer }),
            );
        },
        close: () => {
            clearInterval(timer);
            servers.forEach((server) => void server.close());
            void agent.destroy();
            void peerConnections.destroy();
        },
    };
}

/**
 * Lists where the seeds listen for peers: the port is the same on every instance.
 * @param settings - seeds and port
 * @returns peers' addresses
 */
export function listPeerAddresses(settings: FleetSettings): readonly string[] {
    const port = String(settings.ports.peers_port);
    return settings.cluster.seeds.map((seed) => `${parseAddress(seed).host}:${port}`);
}
