/**
 * Runs an entry from start to graceful shutdown.
 */
import { type FleetSettings, reachParametersSchema, type RoutingTable } from "@crankfork/schemas";
import { JSONRPCServer } from "json-rpc-2.0";
import type { EngineControl } from "../../connection/engineControl.js";
import { createRelayAgent } from "../../connection/httpClient.js";
import { RELAY_PATH } from "../../connection/relayProtocol.js";
import { UpstreamConnections } from "../../connection/upstreamConnections.js";
import type { CallCodec } from "../../request/routedCall.js";
import { type FleetProcess, openFleetProcess, type SettingsReader } from "../fleetProcess.js";
import { startLifecycle } from "../lifecycle.js";
import { endProcess } from "../processFailures.js";
import { startTask, startTimer } from "../startTask.js";
import { waitMs } from "../waitMs.js";
import { CallerPort } from "./callerPort.js";
import { FleetEntry } from "./fleetEntry.js";
import { LeaderSync } from "./leaderSync.js";
import { StateWatch } from "./stateWatch.js";

/** The protocol-specific parts of an entry. */
export interface EntryProtocol {
    readonly codec: CallCodec;
    readonly control: EngineControl;
    readonly decodeDocument: (content: unknown) => RoutingTable | undefined;
}

/**
 * Time after a stop request during which new connections are still accepted: the load balancer checks every second, and
 * removes an instance after two failed health checks.
 */
const BALANCER_DRAIN_MS = 2_800;
/** Time before the end of the stop period at which the process exits, whatever is still open. */
const STOP_MARGIN_MS = 700;
const IDLE_POLL_MS = 50;
/** Time for callers to read the answers to requests that could not be completed. */
const ANSWER_FLUSH_MS = 250;
/** Time to hand the ends of aborted responses to the operating system. */
const ABORT_FLUSH_MS = 50;

/**
 * Runs an entry.
 * @param settings - validated settings
 * @param readSettings - reads the settings again
 * @param protocol - codec and engine control
 * @returns resolves once the entry accepts requests
 */
export async function runEntry(
    settings: FleetSettings,
    readSettings: SettingsReader,
    protocol: EntryProtocol,
): Promise<void> {
    const fleet = openFleetProcess(settings, "entry", readSettings);
    const { log, metrics, getNowMs } = fleet;
    const lifecycle = startLifecycle((state) => {
        log.record("info", "state", { state });
    });
    let stopMs = Number.POSITIVE_INFINITY;
    const isStopping = (): boolean => getNowMs() >= stopMs;
    const entry: FleetEntry = new FleetEntry({
        ...protocol,
        settings,
        connections: new UpstreamConnections(),
        peers: fleet.peers,
        relayConnections: createRelayAgent(),
        ownAddress: fleet.ownAddress,
        log,
        metrics,
        getNowMs,
        random: Math.random,
        getAgeMs: () => leaderSync.confirmationAgeMs,
        getOutdatedMs: () => leaderSync.outdatedMs,
        getConfirmation: () => leaderSync.confirmation,
        countEntries: () => leaderSync.countEntries(),
        reportSuspects: () => {
            leaderSync.reportSuspects();
        },
        askLeader: (method, parameters) => leaderSync.askLeader(method, parameters),
        isStopping,
        acceptsRequests: () => getNowMs() < stopMs + BALANCER_DRAIN_MS,
    });
    const leaderSync: LeaderSync = new LeaderSync({
        peers: fleet.peers,
        log,
        getNowMs,
        getLastResumeMs: () => fleet.suspendAwareClock.getLastResumeMs(),
        getSeeds: fleet.getSeeds,
        instance: settings.instance.id,
        createParameters: () => ({ ...entry.createParameters(), is_watching: stateWatch.isActive }),
        takeSuspects: () => entry.takeSuspects(),
        takeDeclined: () => entry.takeDeclined(),
        random: Math.random,
        drawJitter: Math.random,
        getAppliedVersion: () => entry.document.version,
        handleState: (state, requestedIndex) => {
            entry.applyState(state, requestedIndex);
        },
        handleDocument: (content, origin) => {
            entry.document.apply(content, origin);
            if (entry.limits !== undefined) {
                callerPort.applyLimits(entry.limits);
                lifecycle.send("configured");
            }
        },
    });
    const stateWatch = new StateWatch({
        peers: fleet.peers,
        log,
        getNowMs,
        listFollowers: () => leaderSync.listFollowers(),
        createParameters: () => entry.createWatchParameters(),
        handleResult: (address, context, result) => {
            entry.applyChanges(result);
            leaderSync.applyFollowerState(address, context, result);
        },
        random: Math.random,
    });
    const callerPort = await CallerPort.open(settings.ports.callers ?? "", (request, response) => {
        entry.handle(request, response);
    });
    await fleet.openPort(settings.ports.readiness, (_request, response) => {
        response.writeHead(entry.isReady ? 200 : 503, { "content-length": 0 }).end();
    });
    await openPeersPort(fleet, entry);
    leaderSync.start();
    stateWatch.start();
    process.once("SIGTERM", () => {
        startTask("stop", stopEntry, (error) => endProcess("stop-failed", error));
    });

    async function stopEntry(): Promise<void> {
        const startMs = getNowMs();
        stopMs = startMs;
        log.record("info", "stopping", { open: entry.openRequests });
        lifecycle.send("asked-to-stop");
        startTimer("stop", BALANCER_DRAIN_MS, () => {
            entry.refuseUnsentRequests();
        });
        const endMs = startMs + settings.contract.stop - STOP_MARGIN_MS;
        while (getNowMs() < endMs && (entry.openRequests > 0 || getNowMs() - startMs < BALANCER_DRAIN_MS)) {
            await waitMs(IDLE_POLL_MS);
        }
        log.record("info", "stopped", { open: entry.openRequests, ms: Math.round(getNowMs() - startMs) });
        entry.endOpenRequests();
        const flushedMs = getNowMs() + ANSWER_FLUSH_MS;
        while (getNowMs() < flushedMs && entry.openRequests > 0) {
            await waitMs(IDLE_POLL_MS);
        }
        if (entry.openRequests > 0) {
            entry.abortOpenResponses();
            await waitMs(ABORT_FLUSH_MS);
        }
        process.exit(0);
    }
}

/** An entry serves callers also where its port for operators and other entries is in use. */
async function openPeersPort(fleet: FleetProcess, entry: FleetEntry): Promise<void> {
    const server = new JSONRPCServer({ errorListener: () => undefined });
    server.addMethod("status", () => entry.createStatus());
    server.addMethod("reach", (raw) => entry.relayServer.probeUpstreams(reachParametersSchema.parse(raw).upstreams));
    try {
        await fleet.openPeers(server, {
            [RELAY_PATH]: (request, response) => {
                entry.relayServer.handle(request, response);
            },
        });
    }
    catch (error) {
        fleet.log.record("warn", "status-not-served", { reason: String(error) });
    }
}
