/**
 * One instance of crankfork: its parts put together, from its start to its planned stop.
 */
import { createPlan } from "@crankfork/decisions";
import type { Configuration, Intent, Settings } from "@crankfork/schemas";
import type { Dispatcher } from "undici";
import { openConnections, openPeerConnections } from "../../connection/httpClient.js";
import { createPeerClient } from "../../connection/peerClient.js";
import { ConfigurationInForce } from "../../version/configurationInForce.js";
import { type EventLog, openEventLog } from "../eventLog.js";
import { type OpenServer, openServer, type RequestHandler, sendJson } from "../httpServer.js";
import { HybridClock } from "../hybridClock.js";
import { type Lifecycle, startLifecycle } from "../lifecycle.js";
import { type Metrics, openMetrics } from "../metrics.js";
import { createPeerHandler } from "../peerServer.js";
import { waitMs } from "../waitMs.js";
import { type CallerServer, createCallerServer } from "./callerServer.js";
import { ConfigurationPuller } from "./configurationPuller.js";
import { Control } from "./controlPlane.js";
import { Serving } from "./dataPlane.js";
import { createOperatorHandler } from "./operatorServer.js";
import { PlacementReconciler } from "./placementReconciler.js";
import { PlatformList } from "./platformPoller.js";

const GOSSIP_REFRESH_MS = 100;
const DRAIN_POLL_MS = 20;

/** Where an instance listens. */
export interface DaemonAddresses {
    readonly callers: string;
    readonly operators: string;
    readonly peers: string;
}

/** The parts of an instance that is started. */
interface DaemonParts {
    readonly control: Control;
    readonly serving: Serving;
    readonly puller: ConfigurationPuller;
    readonly orders: PlacementReconciler | undefined;
    readonly platformList: PlatformList | undefined;
    readonly callerServer: CallerServer;
    readonly refreshTimer: NodeJS.Timeout;
}

/** A running instance. */
export class Daemon {
    private readonly clock = new HybridClock();
    private readonly log: EventLog;
    private readonly metrics: Metrics;
    private readonly agent: Dispatcher = openConnections();
    private readonly peerConnections: Dispatcher = openPeerConnections();
    private readonly inForce = new ConfigurationInForce();
    private readonly lifecycle: Lifecycle;
    private readonly servers: OpenServer[] = [];
    private peerPort: RequestHandler | undefined;
    private startedParts: DaemonParts | undefined;
    private takesRequests = false;

    /**
     * @param settings - checked settings
     */
    constructor(private readonly settings: Settings) {
        const { instance, log } = settings;
        this.log = openEventLog({ instance: instance.id, level: log.level, file: log.file, clock: this.clock });
        this.metrics = openMetrics(settings);
        this.lifecycle = startLifecycle((state) => {
            this.log.record("info", "state", { state });
        });
    }

    /**
     * Starts all parts.
     * @returns where it listens
     * @throws the system's error where a port or the data folder can't be had
     */
    async start(): Promise<DaemonAddresses> {
        const { ports } = this.settings;
        const peers = await this.openPeers();
        const control = await this.startControl(peers);
        this.peerPort = this.createPeerPort(control);
        this.startedParts = this.startParts(control);
        const { callerServer } = this.startedParts;
        const callers = await this.open(ports.callers, callerServer.handle);
        const operators = await this.open(ports.operators, this.createOperatorPort(this.startedParts));
        const addresses = { callers, operators, peers };
        this.log.record("info", "listening", addresses);
        return addresses;
    }

    /**
     * Creates a cluster of this instance alone at its first start, and confirms an intent in it.
     * @param intent - what to serve until an operator confirms something else; nothing where left out
     */
    async startSingleInstance(intent: Intent | undefined): Promise<void> {
        const { voters, host } = this.parts.control;
        if (host?.cluster === undefined) {
            await host?.createCluster();
        }
        const present = await this.awaitNewestConfiguration();
        // What an operator confirmed later must not be undone by a restart.
        if (intent === undefined || present.version > 0) {
            return;
        }
        const planned = createPlan(intent, present);
        if (planned.kind === "refused") {
            throw new Error(`the initial intent can't be met: ${planned.reasons.join("; ")}`);
        }
        const { plan } = planned;
        await voters.propose({ kind: "record-plan", plan });
        await voters.propose({ kind: "confirm-plan", plan_id: plan.id });
    }

    /**
     * Stops as planned: says so, hands leadership over, takes work until the balancer has seen it, ends what runs.
     */
    async stop(): Promise<void> {
        const { timing, limits } = this.settings;
        if (this.lifecycle.get() !== "ready") {
            this.close();
            return;
        }
        this.lifecycle.send("asked-to-stop");
        this.parts.control.membership.announceLeaving();
        this.parts.control.host?.replica.handOver();
        await waitMs(timing.drain_notice);
        this.takesRequests = false;
        await this.waitUntilIdle(limits.drain);
        // It may have been elected again meanwhile.
        if (this.parts.control.host?.replica.handOver() !== undefined) {
            await waitMs(timing.heartbeat);
        }
        this.lifecycle.send("drained");
        this.close();
    }

    /** Stops at once. */
    close(): void {
        const parts = this.startedParts;
        if (parts === undefined) {
            return;
        }
        this.startedParts = undefined;
        clearInterval(parts.refreshTimer);
        parts.control.stop();
        parts.serving.upstreams.stop();
        parts.puller.stop();
        parts.orders?.stop();
        parts.platformList?.stop();
        this.servers.forEach((server) => void server.close());
        this.metrics.close();
        void this.agent.destroy();
        void this.peerConnections.destroy();
    }

    private get parts(): DaemonParts {
        if (this.startedParts === undefined) {
            throw new Error("this instance is not started");
        }
        return this.startedParts;
    }

    private async waitUntilIdle(limitMs: number): Promise<void> {
        const { callerServer, control } = this.parts;
        const deadline = performance.now() + limitMs;
        while (callerServer.countOpen() + control.claims.size > 0 && performance.now() < deadline) {
            await waitMs(DRAIN_POLL_MS);
        }
    }

    private async awaitNewestConfiguration(): Promise<Configuration> {
        for (;;) {
            const present = await this.parts.control.voters.getNewestConfiguration();
            if (present !== undefined) {
                return present;
            }
        }
    }

    /**
     * The peers' port opens first: its number is what the other parts are known by. Until the replica is there its
     * messages are turned away, as they would be were the port closed.
     */
    private async openPeers(): Promise<string> {
        return await this.open(this.settings.ports.peers, (request, response) => {
            if (this.peerPort === undefined) {
                sendJson(response, 503, { error: "this instance is starting" });
                return;
            }
            this.peerPort(request, response);
        });
    }

    private async open(address: string, handle: RequestHandler): Promise<string> {
        const server = await openServer(address, handle);
        this.servers.push(server);
        return server.address;
    }

    private async startControl(address: string): Promise<Control> {
        const { settings, log, metrics, peerConnections, clock } = this;
        return await Control.start({
            settings,
            address,
            peers: createPeerClient({ agent: peerConnections, secret: settings.secrets.peers, clock }),
            log,
            metrics,
            handleStatus: () => this.startedParts?.serving.startWaiting(),
            handleVersion: () => this.startedParts?.puller.pullSoon(),
            handleState: (state) => {
                // Until a quorum has told the newest version, an own log may end before it.
                if (this.lifecycle.get() !== "starting") {
                    this.inForce.apply(state.configurations.getConfiguration());
                }
            },
        });
    }

    private startParts(control: Control): DaemonParts {
        const { settings, agent, log, metrics, inForce } = this;
        const serving = new Serving({ settings, agent, log, metrics, control, inForce });
        inForce.handleChange(({ configuration }) => {
            control.membership.updateSelf({ configuration_version: configuration.version });
            log.record("info", "in-force", { version: configuration.version });
        });
        control.membership.start();
        serving.upstreams.start();
        return {
            control,
            serving,
            puller: this.startPuller(control, serving),
            orders: this.startOrders(control, serving),
            platformList: this.startPlatformList(serving),
            callerServer: this.createCallerPort(serving),
            refreshTimer: setInterval(() => {
                serving.refresh();
            }, GOSSIP_REFRESH_MS),
        };
    }

    private startPuller({ membership, voters, link }: Control, { upstreams }: Serving): ConfigurationPuller {
        const puller = new ConfigurationPuller({
            membership,
            peers: link.peers,
            voters,
            inForce: this.inForce,
            handleFirst: () => {
                // Before the engines were asked once, every request would be refused for want of a route.
                void upstreams.pollAll().then(() => {
                    this.takesRequests = true;
                    this.lifecycle.send("configured");
                });
            },
        });
        puller.start();
        return puller;
    }

    private startOrders({ host }: Control, { upstreams }: Serving): PlacementReconciler | undefined {
        if (host === undefined) {
            return undefined;
        }
        const orders = new PlacementReconciler({
            host,
            upstreams,
            getView: () => this.inForce.get(),
            leaseMs: this.settings.timing.election,
            record: (event, fields) => {
                this.log.record("info", event, fields);
            },
        });
        orders.start();
        return orders;
    }

    private startPlatformList({ upstreams }: Serving): PlatformList | undefined {
        const { instances, poll } = this.settings.platform;
        if (instances === undefined) {
            return undefined;
        }
        const list = new PlatformList(this.agent, instances, poll, (addresses) => {
            upstreams.setLeavingAddresses(addresses);
        });
        list.start();
        return list;
    }

    private createPeerPort(control: Control): RequestHandler {
        return createPeerHandler({
            instance: this.settings.instance.id,
            secret: this.settings.secrets.peers,
            clock: this.clock,
            link: control.link,
            host: control.host,
            getConfiguration: () => this.inForce.get().configuration,
            changeVoters: (change) => control.changeVoters(change),
            awaitAnswer: (owner, token) => control.claims.awaitAnswer(owner, token),
        });
    }

    private createCallerPort(serving: Serving): CallerServer {
        const { instance, limits } = this.settings;
        return createCallerServer({
            instance: instance.id,
            bodyLimit: limits.body,
            answerLimits: { bufferBytes: limits.stream_buffer, stallMs: limits.caller_stall },
            getState: () => this.lifecycle.get(),
            takesRequests: () => this.takesRequests,
            isReady: () => this.lifecycle.get() === "ready",
            getView: () => this.inForce.get(),
            scopeFunctions: {
                record: (event, fields) => {
                    this.log.record("info", event, fields);
                },
                count: this.metrics.count,
                recordMs: this.metrics.recordMs,
            },
            createModelFunctions: () => serving.createModelFunctions(),
            createServiceFunctions: () => serving.createServiceFunctions(),
        });
    }

    private createOperatorPort({ control, serving }: DaemonParts): RequestHandler {
        return createOperatorHandler({
            instance: this.settings.instance.id,
            secret: this.settings.secrets.operators,
            bodyLimit: this.settings.limits.body,
            getState: () => this.lifecycle.get(),
            membership: control.membership,
            host: control.host,
            voters: control.voters,
            inForce: this.inForce,
            upstreams: serving.upstreams,
            countOthersInFlight: (upstream) => serving.gossip.count(upstream),
            changeVoters: (change) => control.changeVoters(change),
            drain: () => {
                // The same way as the platform's own stop, so that there is one to prove.
                process.kill(process.pid, "SIGTERM");
            },
        });
    }
}
