/**
 * Assembles the components of one crankfork instance and runs its lifecycle from startup to graceful shutdown.
 */
import { createPlan } from "@crankfork/decisions";
import type { Configuration, Intent, Settings } from "@crankfork/schemas";
import type { Dispatcher } from "undici";
import { createAgent, createPeerAgent } from "../../connection/httpClient.js";
import { createPeerClient } from "../../connection/peerClient.js";
import { ActiveConfiguration } from "../../version/activeConfiguration.js";
import { type LastLineLog, openEventLog } from "../eventLog.js";
import { type OpenServer, openServer, type RequestHandler, sendJson } from "../httpServer.js";
import { HybridClock } from "../hybridClock.js";
import { type Lifecycle, startLifecycle } from "../lifecycle.js";
import { type Metrics, openMetrics } from "../metrics.js";
import { createPeerHandler } from "../peerServer.js";
import { watchProcessFailures } from "../processFailures.js";
import { startPeriodicTask, type StopPeriodicTask } from "../startPeriodicTask.js";
import { runForEach, startTask } from "../startTask.js";
import { stopWasmOptimisation } from "../stopWasmOptimisation.js";
import { createTaskFailureHandler, watchTaskFailures } from "../taskFailures.js";
import { waitMs } from "../waitMs.js";
import { type CallerServer, createCallerServer } from "./callerServer.js";
import { ConfigurationPuller } from "./configurationPuller.js";
import { ControlPlane } from "./controlPlane.js";
import { DataPlane } from "./dataPlane.js";
import { createOperatorHandler } from "./operatorServer.js";
import { PlacementReconciler } from "./placementReconciler.js";
import { PlatformPoller } from "./platformPoller.js";

const LOAD_PUBLISH_INTERVAL_MS = 100;
const DRAIN_POLL_INTERVAL_MS = 20;

/** Listen addresses of an instance. */
export interface DaemonAddresses {
    readonly callers: string;
    readonly operators: string;
    readonly peers: string;
}

/** Components of a started instance. */
interface DaemonComponents {
    readonly controlPlane: ControlPlane;
    readonly dataPlane: DataPlane;
    readonly puller: ConfigurationPuller;
    readonly reconciler: PlacementReconciler | undefined;
    readonly platformPoller: PlatformPoller | undefined;
    readonly callerServer: CallerServer;
    readonly stopPublishing: StopPeriodicTask;
}

/** One instance and its lifecycle. */
export class Daemon {
    private readonly clock = new HybridClock();
    private readonly log: LastLineLog;
    private readonly metrics: Metrics;
    private readonly agent: Dispatcher = createAgent();
    private readonly peerConnections: Dispatcher = createPeerAgent();
    private readonly inForce = new ActiveConfiguration();
    private readonly lifecycle: Lifecycle;
    private readonly servers: OpenServer[] = [];
    private handlePeerRequest: RequestHandler | undefined;
    private startedComponents: DaemonComponents | undefined;
    private acceptsRequests = false;

    /**
     * @param settings - validated settings
     */
    constructor(private readonly settings: Settings) {
        const { instance, log } = settings;
        stopWasmOptimisation();
        this.log = openEventLog({ instance: instance.id, level: log.level, file: log.file, clock: this.clock });
        this.metrics = openMetrics(settings);
        this.lifecycle = startLifecycle((state) => {
            this.log.record("info", "state", { state });
        });
    }

    /** Makes this daemon's log and metrics those of the process: they record what fails in it. */
    watchFailures(): void {
        const { log, metrics } = this;
        watchProcessFailures(log);
        watchTaskFailures(createTaskFailureHandler({
            log,
            getNowMs: () => performance.now(),
            count: (task) => {
                metrics.count("task.failed", { task });
            },
        }));
    }

    /**
     * Starts all components.
     * @returns the listen addresses
     * @throws the system error if a port can't be bound or the data folder can't be opened
     */
    async start(): Promise<DaemonAddresses> {
        const { ports } = this.settings;
        const peers = await this.openPeerServer();
        const controlPlane = await this.startControlPlane(peers);
        this.handlePeerRequest = this.createPeerApi(controlPlane);
        this.startedComponents = this.startComponents(controlPlane);
        const { callerServer } = this.startedComponents;
        const callers = await this.listen(ports.callers, callerServer.handle);
        const operators = await this.listen(ports.operators, this.createOperatorApi(this.startedComponents));
        const addresses = { callers, operators, peers };
        this.log.record("info", "listening", addresses);
        return addresses;
    }

    /**
     * Bootstraps a single-instance cluster on the first start and confirms an initial intent in it.
     * @param intent - initial intent, served until an operator confirms another; none if omitted
     */
    async startSingleInstance(intent: Intent | undefined): Promise<void> {
        const { leaderClient, host } = this.components.controlPlane;
        if (host?.cluster === undefined) {
            await host?.createCluster();
        }
        const current = await this.awaitNewestConfiguration();
        // A restart must not overwrite what an operator has confirmed since.
        if (intent === undefined || current.version > 0) {
            return;
        }
        const planned = createPlan(intent, current);
        if (planned.kind === "refused") {
            throw new Error(`the initial intent can't be satisfied: ${planned.reasons.join("; ")}`);
        }
        const { plan } = planned;
        await leaderClient.propose({ kind: "record-plan", plan });
        await leaderClient.propose({ kind: "confirm-plan", plan_id: plan.id });
    }

    /**
     * Shuts down gracefully: announces the departure, transfers leadership, keeps accepting requests until the load
     * balancer has noticed, then waits for requests in flight.
     */
    async stop(): Promise<void> {
        const { timing, limits } = this.settings;
        if (this.lifecycle.get() !== "ready") {
            this.close();
            return;
        }
        this.lifecycle.send("asked-to-stop");
        this.components.controlPlane.membership.announceLeaving();
        this.components.controlPlane.host?.replica.transferLeadership();
        await waitMs(timing.drain_notice);
        this.acceptsRequests = false;
        await this.waitUntilIdle(limits.drain);
        // This instance may have been re-elected while it drained.
        if (this.components.controlPlane.host?.replica.transferLeadership() !== undefined) {
            await waitMs(timing.heartbeat);
        }
        this.lifecycle.send("drained");
        this.close();
    }

    /** Stops immediately, without waiting for requests in flight. */
    close(): void {
        const components = this.startedComponents;
        if (components === undefined) {
            return;
        }
        this.startedComponents = undefined;
        components.stopPublishing();
        components.controlPlane.stop();
        components.dataPlane.upstreams.stop();
        components.puller.stop();
        components.reconciler?.stop();
        components.platformPoller?.stop();
        runForEach("close", this.servers, (server) => server.close());
        this.metrics.close();
        runForEach("close", [this.agent, this.peerConnections], (connections) => connections.destroy());
    }

    private get components(): DaemonComponents {
        if (this.startedComponents === undefined) {
            throw new Error("this instance is not started");
        }
        return this.startedComponents;
    }

    private async waitUntilIdle(limitMs: number): Promise<void> {
        const { callerServer, controlPlane } = this.components;
        const deadline = performance.now() + limitMs;
        while (callerServer.countOpenRequests() + controlPlane.claims.size > 0 && performance.now() < deadline) {
            await waitMs(DRAIN_POLL_INTERVAL_MS);
        }
    }

    private async awaitNewestConfiguration(): Promise<Configuration> {
        for (;;) {
            const current = await this.components.controlPlane.leaderClient.getNewestConfiguration();
            if (current !== undefined) {
                return current;
            }
        }
    }

    /**
     * Opens the peer port before any other component, because its address identifies this instance to peers. Messages
     * are rejected until the replica has started, as if the port were closed.
     */
    private async openPeerServer(): Promise<string> {
        return await this.listen(this.settings.ports.peers, (request, response) => {
            if (this.handlePeerRequest === undefined) {
                sendJson(response, 503, { error: "this instance is starting" });
                return;
            }
            this.handlePeerRequest(request, response);
        });
    }

    private async listen(address: string, handle: RequestHandler): Promise<string> {
        const server = await openServer(address, handle);
        this.servers.push(server);
        return server.address;
    }

    private async startControlPlane(address: string): Promise<ControlPlane> {
        const { settings, log, metrics, peerConnections, clock } = this;
        return await ControlPlane.start({
            settings,
            address,
            peers: createPeerClient({ agent: peerConnections, secret: settings.secrets.peers, clock }),
            log,
            metrics,
            handleMemberStatus: () => this.startedComponents?.dataPlane.startQueued(),
            handleVersion: () => this.startedComponents?.puller.pullNow(),
            handleState: (state) => {
                // The local log may lag behind until a quorum has reported the newest version.
                if (this.lifecycle.get() !== "starting") {
                    this.inForce.apply(state.configurations.getConfiguration());
                }
            },
        });
    }

    private startComponents(controlPlane: ControlPlane): DaemonComponents {
        const { settings, agent, log, metrics, inForce } = this;
        const dataPlane = new DataPlane({ settings, agent, log, metrics, controlPlane, inForce });
        inForce.addChangeListener(({ configuration }) => {
            controlPlane.membership.updateSelf({ configuration_version: configuration.version });
            log.record("info", "in-force", { version: configuration.version });
        });
        controlPlane.membership.start();
        dataPlane.upstreams.start();
        return {
            controlPlane,
            dataPlane,
            puller: this.startPuller(controlPlane, dataPlane),
            reconciler: this.startReconciler(controlPlane, dataPlane),
            platformPoller: this.startPlatformPoller(dataPlane),
            callerServer: this.createCallerApi(dataPlane),
            stopPublishing: startPeriodicTask("load-publish", LOAD_PUBLISH_INTERVAL_MS, () => {
                dataPlane.publishLoad();
            }),
        };
    }

    private startPuller(
        { membership, leaderClient, link }: ControlPlane,
        { upstreams }: DataPlane,
    ): ConfigurationPuller {
        const puller = new ConfigurationPuller({
            membership,
            peers: link.peers,
            leaderClient,
            inForce: this.inForce,
            handleFirstConfiguration: () => {
                // Before the engines have been polled once there is no route, so every request would be refused.
                startTask("engine-poll", () =>
                    upstreams.pollAll().finally(() => {
                        this.acceptsRequests = true;
                        this.lifecycle.send("configured");
                    }));
            },
        });
        puller.start();
        return puller;
    }

    private startReconciler({ host }: ControlPlane, { upstreams }: DataPlane): PlacementReconciler | undefined {
        if (host === undefined) {
            return undefined;
        }
        const reconciler = new PlacementReconciler({
            host,
            upstreams,
            getView: () => this.inForce.get(),
            leaseMs: this.settings.timing.election,
            record: (event, fields) => {
                this.log.record("info", event, fields);
            },
        });
        reconciler.start();
        return reconciler;
    }

    private startPlatformPoller({ upstreams }: DataPlane): PlatformPoller | undefined {
        const { instances, poll } = this.settings.platform;
        if (instances === undefined) {
            return undefined;
        }
        const poller = new PlatformPoller(this.agent, instances, poll, (addresses) => {
            upstreams.setLeavingAddresses(addresses);
        });
        poller.start();
        return poller;
    }

    private createPeerApi(controlPlane: ControlPlane): RequestHandler {
        return createPeerHandler({
            instance: this.settings.instance.id,
            secret: this.settings.secrets.peers,
            clock: this.clock,
            link: controlPlane.link,
            host: controlPlane.host,
            getConfiguration: () => this.inForce.get().configuration,
            changeVoters: (change) => controlPlane.changeVoters(change),
            awaitAnswer: (owner, token) => controlPlane.claims.awaitAnswer(owner, token),
        });
    }

    private createCallerApi(dataPlane: DataPlane): CallerServer {
        const { instance, limits } = this.settings;
        return createCallerServer({
            instance: instance.id,
            bodyLimit: limits.body,
            answerLimits: { maxBufferedBytes: limits.stream_buffer, stallTimeoutMs: limits.caller_stall },
            getState: () => this.lifecycle.get(),
            acceptsRequests: () => this.acceptsRequests,
            isReady: () => this.lifecycle.get() === "ready",
            getView: () => this.inForce.get(),
            scopeFunctions: {
                record: (event, fields) => {
                    this.log.record("info", event, fields);
                },
                count: this.metrics.count,
                recordMs: this.metrics.recordMs,
            },
            createModelFunctions: () => dataPlane.createModelFunctions(),
            createServiceFunctions: () => dataPlane.createServiceFunctions(),
        });
    }

    private createOperatorApi({ controlPlane, dataPlane }: DaemonComponents): RequestHandler {
        return createOperatorHandler({
            instance: this.settings.instance.id,
            secret: this.settings.secrets.operators,
            bodyLimit: this.settings.limits.body,
            getState: () => this.lifecycle.get(),
            membership: controlPlane.membership,
            host: controlPlane.host,
            leaderClient: controlPlane.leaderClient,
            inForce: this.inForce,
            upstreams: dataPlane.upstreams,
            countOthersInFlight: (upstream) => dataPlane.gossip.countInFlight(upstream),
            changeVoters: (change) => controlPlane.changeVoters(change),
            drain: () => {
                // Uses the same code path as a stop by the platform, so that only one has to be tested.
                process.kill(process.pid, "SIGTERM");
            },
        });
    }
}
