/**
 * Runs a voter from start-up to graceful shutdown.
 */
import { FleetState } from "@crankfork/coordination";
import { computeLayerPlan } from "@crankfork/decisions";
import {
    crashesParametersSchema,
    documentParametersSchema,
    type FleetCommand,
    type FleetSettings,
    type FleetStatus,
    joinParametersSchema,
    leavingParametersSchema,
    type LeavingResult,
    replicaParametersSchema,
    resendParametersSchema,
    type RoutingTable,
    sendsParametersSchema,
    suspectParametersSchema,
    synchroniseParametersSchema,
    trialParametersSchema,
    watchParametersSchema,
} from "@crankfork/schemas";
import { JSONRPCServer } from "json-rpc-2.0";
import { createHash } from "node:crypto";
import type { EngineControl } from "../../connection/engineControl.js";
import { createLoopUseMeter } from "../createLoopUseMeter.js";
import { type FleetProcess, listPeerAddresses, openFleetProcess, type SettingsReader } from "../fleetProcess.js";
import type { RequestHandler } from "../httpServer.js";
import { PlacementController } from "../layers/placementController.js";
import { SlownessMonitor } from "../layers/slownessMonitor.js";
import { createObservedControl } from "../observedControl.js";
import { PeerLink } from "../peerLink.js";
import { endProcess } from "../processFailures.js";
import { recordElectionTimeout } from "../recordElectionTimeout.js";
import { recordFailedCommand } from "../recordFailedCommand.js";
import { recordIgnoredMessage } from "../recordIgnoredMessage.js";
import { type Founding, ReplicaHost } from "../replicaHost.js";
import { startPeriodicTask } from "../startPeriodicTask.js";
import { runForEach, startTask } from "../startTask.js";
import { describeError } from "../taskFailures.js";
import { createBackoffHandlers, UpstreamBackoffs } from "../upstreamBackoffs.js";
import { UpstreamRateLimits } from "../upstreamRateLimits.js";
import { waitMs } from "../waitMs.js";
import { CrashRegistry } from "./crashRegistry.js";
import { createVoterStatus } from "./createVoterStatus.js";
import { DocumentRollout } from "./documentRollout.js";
import { DocumentServices } from "./documentServices.js";
import { DocumentSource } from "./documentSource.js";
import { DocumentStore } from "./documentStore.js";
import { EntryRegistry } from "./entryRegistry.js";
import type { FleetReplicaHost } from "./fleetProposal.js";
import { LinkRegistry } from "./linkRegistry.js";
import { RateLimitCoordinator } from "./rateLimitCoordinator.js";
import { ShutdownRollout } from "./shutdownRollout.js";
import { StateFeed } from "./stateFeed.js";
import { SuspectProbe } from "./suspectProbe.js";
import { UpstreamRegistry } from "./upstreamRegistry.js";
import { VoterGroup } from "./voterGroup.js";

/** The replicated state, as the operator and upstream port accesses it. */
export interface VoterState {
    readonly document: DocumentStore;
    readonly upstreams: UpstreamRegistry;
    /** Requests during which upstreams crashed. */
    readonly crashes: CrashRegistry;
}

/** The protocol-specific parts of a voter. */
export interface VoterProtocol {
    readonly control: EngineControl;
    readonly decodeDocument: (content: unknown) => RoutingTable | undefined;
    /** Creates the handler of the port for operators and upstreams. */
    readonly createOperatorHandler: (state: VoterState, process: FleetProcess) => RequestHandler;
}

/** Raft timing: a new leader within about a second, without elections caused by short process pauses. */
const HEARTBEAT_INTERVAL_MS = 120;
const ELECTION_TIMEOUT_MS = 600;
/** Log entries between snapshots. A document may take 100 KB, and the disk holds many times this number of such entries. */
const SNAPSHOT_INTERVAL_ENTRIES = 150;
const SILENCE_CHECK_INTERVAL_MS = 250;
/**
 * Idle time, in heartbeat intervals, after which an upstream's connection is closed. With a longer time, the connections of
 * upstreams that have moved to another voter or ended accumulate to several per upstream.
 */
const IDLE_HEARTBEATS = 3.5;

/** Time for requests in progress to end before this process exits. */
const MIN_STOP_MS = 400;

/**
 * Runs a voter.
 * @param settings - validated settings
 * @param readSettings - reads the settings file again
 * @param protocol - codecs for operators, upstreams and engines
 * @returns resolves once the voter participates in the cluster
 */
export async function runVoter(
    settings: FleetSettings,
    readSettings: SettingsReader,
    protocol: VoterProtocol,
): Promise<void> {
    const fleet = openFleetProcess(settings, "voter", readSettings);
    const { log, metrics, peers } = fleet;
    const link: PeerLink = new PeerLink(fleet.ownAddress, peers, {
        receiveMember: () => undefined,
        receiveReplica: (envelope) => host.receive(envelope),
    });
    // The replica emits events before the components that consume them exist.
    const started: { components?: VoterComponents; } = {};
    const host: FleetReplicaHost = await ReplicaHost.start<FleetState, FleetCommand>({
        instance: settings.instance.id,
        folder: settings.instance.data_folder ?? "",
        address: fleet.ownAddress,
        heartbeatMs: HEARTBEAT_INTERVAL_MS,
        minElectionTimeoutMs: ELECTION_TIMEOUT_MS,
        snapshotThreshold: SNAPSHOT_INTERVAL_ENTRIES,
        createState: () => new FleetState(),
        stampCommand: (command) => command,
        founding: createFounding(settings),
        random: Math.random,
        clock: fleet.suspendAwareClock,
        send: (to, envelope) => {
            link.sendReplica(to, envelope);
        },
        record: (event) => {
            if (event.kind === "role") {
                metrics.recordRole(event.role === "leader");
                log.record("info", "role", { role: event.role, term: event.term });
            }
            else if (event.kind === "election-timed-out") {
                recordElectionTimeout(log, event);
            }
            else if (event.kind === "resent") {
                fleet.traffic.recordResend(event.entries);
            }
            else if (event.kind === "snapshot-recovered") {
                log.record("warn", "snapshot-recovered", {
                    index: event.snapshotIndex,
                    discarded: event.discardedEntries,
                });
            }
            else if (event.kind === "acknowledged-entries-lost") {
                log.record("error", "acknowledged-entries-lost", {
                    peer: event.replica,
                    acknowledged: event.acknowledgedIndex,
                    last: event.lastIndex,
                });
            }
            else if (
                event.kind === "command-invalid" || event.kind === "command-failed"
                || event.kind === "snapshot-refused" || event.kind === "snapshot-records-dropped"
            ) {
                recordFailedCommand(log, event);
            }
            else if (event.kind === "message-ignored") {
                recordIgnoredMessage(log, event);
            }
            else if (event.kind === "fault") {
                log.record("error", "replica-fault", describeError(event.error));
            }
            started.components?.upstreams.handleReplicaEvent(event);
        },
        handleStateChange: () => {
            const { rollout, entries, feed } = started.components ?? {};
            runForEach("state-change", [
                () => rollout?.handleStateChange(),
                () => entries?.handleReplicatedChange(),
                () => feed?.handleStateChange(),
            ], (notify) => {
                notify();
            });
        },
    });
    log.record("info", "replica", { id: host.self.id, cluster: host.cluster, index: host.state.lastChangeIndex });
    const components = startComponents(fleet, host, protocol);
    started.components = components;
    await fleet.openPeers(createRpcServer(settings.instance.id, host, components));
    const idleMs = settings.contract.upstream_heartbeat * IDLE_HEARTBEATS;
    await fleet.openPort(settings.ports.operators, protocol.createOperatorHandler(components, fleet), idleMs);
    process.once("SIGTERM", () => {
        startTask("stop", () => stopVoter(fleet, host, components.group), (error) => endProcess("stop-failed", error));
    });
}

interface VoterComponents extends VoterState {
    readonly group: VoterGroup;
    readonly entries: EntryRegistry;
    readonly feed: StateFeed;
    readonly documents: DocumentSource;
    readonly probe: SuspectProbe;
    readonly limits: RateLimitCoordinator;
    readonly rollout: DocumentRollout;
}

function startComponents(fleet: FleetProcess, host: FleetReplicaHost, protocol: VoterProtocol): VoterComponents {
    const { log, metrics, getNowMs, peers } = fleet;
    const { recordProposal } = fleet.traffic;
    const { cluster, contract, limits: resourceLimits } = fleet.getSettings();
    const backoffs = new UpstreamBackoffs({ getNowMs, log, metrics });
    const limits = new UpstreamRateLimits({
        getNowMs,
        log,
        metrics,
        handleChange: (id) => {
            rateLimitCoordinator.handleLimitChange(id);
        },
    });
    const control = createObservedControl(protocol.control, {
        ...createBackoffHandlers(backoffs),
        handleLeaving: (id, asked) => {
            startTask("leaving-notice", () => upstreams.recordLeavingNotice(id, asked));
        },
        handleLimit: (id, limit, source) => {
            limits.applyNotice(id, limit, source);
        },
        getNowMs,
    });
    const services = new DocumentServices({ host, log, decodeDocument: protocol.decodeDocument });
    const document = new DocumentStore({
        host,
        log,
        getNowMs,
        recordCommitMs: metrics.recordCommitMs,
        recordProposal,
        awaitReplacements: () => group.awaitReplacements(),
    });
    const upstreams: UpstreamRegistry = new UpstreamRegistry({
        host,
        log,
        getNowMs,
        getLastResumeMs: () => fleet.suspendAwareClock.getLastResumeMs(),
        heartbeatMs: contract.upstream_heartbeat,
        takeLoopUse: createLoopUseMeter(),
        isServiceNamed: (service) => services.mayRegister(service),
        handleShutdown: (id) => {
            shutdowns.recordAcknowledged(id);
        },
        recordCommitMs: metrics.recordCommitMs,
        recordProposal,
    });
    const probe: SuspectProbe = new SuspectProbe({
        host,
        upstreams,
        control,
        getNowMs,
        handleCorroboration: () => {
            entries.handleStateChange();
        },
    });
    const rateLimitCoordinator: RateLimitCoordinator = new RateLimitCoordinator({
        host,
        limits,
        getNowMs,
        countEntries: () => entries.countEntries(),
        countActiveEntries: () => entries.listActiveEntries().length,
        handleUpdate: () => {
            entries.handleStateChange();
        },
    });
    const rollout = new DocumentRollout({
        getVersion: () => host.state.getDocument()?.version,
        getNowMs,
        log,
        applyMs: contract.apply,
        listActiveEntries: () => host.replica.hasLeaderLease() ? entries.listActiveEntries() : [],
    });
    const links = new LinkRegistry({ getNowMs, log, metrics });
    const entries: EntryRegistry = new EntryRegistry({
        host,
        getNowMs,
        listSuspects: () => probe.listCorroborated(),
        limits: rateLimitCoordinator,
        budgetWindowMs: contract.retry_window,
        rollout,
        takeLoopUse: createLoopUseMeter(),
        links,
    });
    const feed = new StateFeed({ host, getNowMs, rollout, takeLoopUse: createLoopUseMeter() });
    const shutdowns = new ShutdownRollout({
        log,
        getNowMs,
        drainMs: contract.drain,
        getStateIndex: () => host.state.lastChangeIndex,
        listBehind: (index) => entries.listBehind(index),
    });
    const crashes = new CrashRegistry({
        host,
        log,
        getNowMs,
        recordProposal,
        getUnixMs: Date.now,
        haveEntriesApplied: (index) => entries.haveApplied(index),
    });
    const documents = new DocumentSource({ host, getNowMs, linkMbps: resourceLimits.link });
    const group: VoterGroup = new VoterGroup({
        host,
        peers,
        log,
        getNowMs,
        getSeeds: fleet.getSeeds,
        toleratedLosses: cluster.tolerated_losses,
    });
    const placement = new PlacementController({
        host,
        upstreams,
        control,
        log,
        getNowMs,
        getServices: () => services.list(),
        heartbeatMs: contract.upstream_heartbeat,
        isBackingOff: (id) => backoffs.isBackingOff(id),
        computePlan: computeLayerPlan,
    });
    group.start();
    placement.start();
    new SlownessMonitor({ host, upstreams, control, takeLoopUse: createLoopUseMeter() }).start();
    const isKnown = (id: string): boolean => host.state.getUpstream(id) !== undefined;
    const startCheck = (task: string, check: () => void): void => {
        startPeriodicTask(task, SILENCE_CHECK_INTERVAL_MS, check);
    };
    startCheck("silence-check", () => {
        upstreams.markSilentUpstreams();
    });
    startCheck("upstream-prune", () => {
        backoffs.prune(isKnown);
        limits.prune(isKnown);
        rateLimitCoordinator.prune();
    });
    startCheck("document-rollout", () => {
        rollout.checkOverdue();
    });
    startCheck("link-check", () => {
        if (host.replica.hasLeaderLease()) {
            links.update();
        }
        else {
            links.reset();
        }
    });
    startCheck("shutdown-rollout", () => {
        if (host.replica.hasLeaderLease()) {
            shutdowns.check();
        }
        else {
            shutdowns.reset();
        }
    });
    return {
        rollout,
        document,
        upstreams,
        crashes,
        group,
        entries,
        feed,
        documents,
        probe,
        limits: rateLimitCoordinator,
    };
}

function createRpcServer(
    instance: string,
    host: FleetReplicaHost,
    { group, entries, feed, documents, probe, crashes, upstreams, limits }: VoterComponents,
): JSONRPCServer {
    const server = new JSONRPCServer({ errorListener: () => undefined });
    server.addMethod("replica", async (raw) => ({ answers: await host.receive(replicaParametersSchema.parse(raw)) }));
    server.addMethod("join", (raw) => {
        const leader = group.handleJoinRequest(joinParametersSchema.parse(raw).replica);
        return leader === undefined ? {} : { leader };
    });
    server.addMethod("leave", (raw) => group.handleLeaveRequest(joinParametersSchema.parse(raw).replica));
    server.addMethod("suspect", (raw) => {
        probe.handleSuspects(suspectParametersSchema.parse(raw));
        return {};
    });
    server.addMethod("crashes", (raw) => crashes.record(crashesParametersSchema.parse(raw)));
    server.addMethod("trial", (raw) => crashes.claimTrial(trialParametersSchema.parse(raw)));
    server.addMethod("resend", (raw) => crashes.grantResend(resendParametersSchema.parse(raw)));
    server.addMethod("leaving", async (raw): Promise<LeavingResult> => {
        const { instance, upstreams: ids } = leavingParametersSchema.parse(raw);
        const taken = await Promise.all(ids.map((id) => upstreams.recordLeavingNotice(id, instance)));
        return { is_taken: taken.every((isTaken) => isTaken) };
    });
    server.addMethod("sends", (raw) => limits.grantPermits(sendsParametersSchema.parse(raw)));
    server.addMethod("document", (raw) => documents.handleRequest(documentParametersSchema.parse(raw)));
    server.addMethod("status", (): FleetStatus => createVoterStatus(instance, host, entries));
    server.addMethod("watch", (raw) => feed.watch(watchParametersSchema.parse(raw)));
    server.addMethod("synchronise", (raw) => entries.synchronise(synchroniseParametersSchema.parse(raw)));
    return server;
}

/** All seeds bootstrap the log with identical contents, so these are derived from the seed list alone. */
function createFounding(settings: FleetSettings): Founding | undefined {
    if (!settings.cluster.founding) {
        return undefined;
    }
    const addresses = [...listPeerAddresses(settings)].sort();
    return {
        cluster: createHash("sha256").update(addresses.join(",")).digest("hex").slice(0, CLUSTER_ID_LENGTH),
        founders: addresses.map((address) => ({ id: `founder.${address}`, address })),
    };
}

const CLUSTER_ID_LENGTH = 16;

async function stopVoter(fleet: FleetProcess, host: FleetReplicaHost, group: VoterGroup): Promise<void> {
    await Promise.all([waitMs(MIN_STOP_MS), group.leave()]);
    host.stop();
    fleet.log.record("info", "stopped", {});
    process.exit(0);
}
