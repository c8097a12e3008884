/**
 * One instance of crankfork: all its parts, put together.
 */
import { Membership, type ReplicaEvent } from "@crankfork/coordination";
import { createPlan } from "@crankfork/decisions";
import {
    type AwaitAnswerResult,
    awaitAnswerResultSchema,
    type ChangeVotersResult,
    type Command,
    type Intent,
    type Model,
    type Settings,
    type Upstream,
    type VoterChange,
} from "@crankfork/schemas";
import { randomInt } from "node:crypto";
import type { Agent } from "undici";
import { createEngineClient, type EngineFunctions } from "../connection/engineClient.js";
import { openConnections } from "../connection/httpClient.js";
import { createPeerClient, type PeerClient } from "../connection/peerClient.js";
import { callService } from "../connection/serviceClient.js";
import type { ClaimFunctions } from "../request/claimedRun.js";
import type { ModelRequestFunctions } from "../request/modelRequest.js";
import type { PipelineFunctions } from "../request/pipelineRun.js";
import type { ServiceRequestFunctions } from "../request/serviceRequest.js";
import { ConfigurationInForce } from "../version/configurationInForce.js";
import { type CallerServer, createCallerServer } from "./callerServer.js";
import { ClaimTable } from "./claimTable.js";
import { ConfigurationPuller } from "./configurationPuller.js";
import { type EventLog, openEventLog } from "./eventLog.js";
import { Gates } from "./gates.js";
import { type OpenServer, openServer, sendJson } from "./httpServer.js";
import { HybridClock } from "./hybridClock.js";
import { InFlightGossip } from "./inFlightGossip.js";
import { type Lifecycle, startLifecycle } from "./lifecycle.js";
import { type Metrics, openMetrics } from "./metrics.js";
import { createOperatorHandler } from "./operatorServer.js";
import { OrderSender } from "./orderSender.js";
import { createPeerHandler } from "./peerServer.js";
import { PlatformList } from "./platformList.js";
import { ReplicaHost } from "./replicaHost.js";
import { UpstreamTable } from "./upstreamTable.js";
import { changeVoters } from "./voterChange.js";
import { Voters } from "./voters.js";

/** Budget of one command to the voters. */
const VOTERS_PATIENCE_MS = 3_000;
const CLAIM_WAIT_MS = 10_000;
const AWAIT_ANSWER_MS = 1_000;
const ASK_OWNER_TIMEOUT_MS = 2_500;
const SETTLE_RETRY_MS = 500;
const GOSSIP_REFRESH_MS = 100;
const DRAIN_POLL_MS = 20;
const START_NONCE_LIMIT = 2 ** 32;

/** Where an instance listens. */
export interface DaemonAddresses {
    readonly callers: string;
    readonly operators: string;
    readonly peers: string;
}

/** A running instance. */
export class Daemon {
    private readonly clock = new HybridClock();
    private readonly log: EventLog;
    private readonly metrics: Metrics;
    private readonly agent: Agent = openConnections();
    private readonly peers: PeerClient;
    private readonly inForce = new ConfigurationInForce();
    private readonly claims = new ClaimTable();
    private readonly lifecycle: Lifecycle;
    /** Names this process among all that ever ran as this instance. */
    private readonly owner: string;
    private readonly servers: OpenServer[] = [];
    private readonly timers: NodeJS.Timeout[] = [];
    private takesRequests = false;
    private hasLeft = false;

    private host: ReplicaHost | undefined;
    private peerPort: ReturnType<typeof createPeerHandler> | undefined;
    private membership!: Membership;
    private voters!: Voters;
    private gossip!: InFlightGossip;
    private upstreams!: UpstreamTable;
    private gates!: Gates;
    private puller!: ConfigurationPuller;
    private orders: OrderSender | undefined;
    private platformList: PlatformList | undefined;
    private callerServer!: CallerServer;

    /**
     * @param settings - checked settings
     */
    constructor(private readonly settings: Settings) {
        const { instance, log, secrets } = settings;
        this.owner = `${instance.id}/${randomInt(START_NONCE_LIMIT).toString(16)}`;
        this.log = openEventLog({ instance: instance.id, level: log.level, file: log.file, clock: this.clock });
        this.metrics = openMetrics(settings);
        this.peers = createPeerClient({ agent: this.agent, secret: secrets.peers, clock: this.clock });
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
        const peersAddress = await this.openPeers();
        this.createParts(peersAddress);
        await this.startReplica(peersAddress);
        this.peerPort = this.createPeerPort();
        this.startParts();
        const addresses = {
            peers: peersAddress,
            callers: await this.open(this.settings.ports.callers, this.createCallerPort().handle),
            operators: await this.open(this.settings.ports.operators, this.createOperatorPort()),
        };
        this.log.record("info", "listening", { ...addresses });
        return addresses;
    }

    /**
     * Creates a cluster of this instance alone at its first start, and confirms an intent in it.
     * @param intent - what to serve until an operator confirms something else; nothing where left out
     */
    async startAlone(intent: Intent | undefined): Promise<void> {
        if (this.host?.cluster === undefined) {
            await this.host?.createCluster();
        }
        let present = await this.voters.getNewestConfiguration();
        while (present === undefined) {
            await delay(DRAIN_POLL_MS);
            present = await this.voters.getNewestConfiguration();
        }
        // What an operator confirmed later must not be undone by a restart.
        if (intent === undefined || present.version > 0) {
            return;
        }
        const planned = createPlan(intent, present);
        if (planned.kind === "refused") {
            throw new Error(`the initial intent can't be met: ${planned.reasons.join("; ")}`);
        }
        const { plan } = planned;
        await this.voters.propose({ kind: "record-plan", at_ms: Date.now(), plan });
        await this.voters.propose({ kind: "confirm-plan", at_ms: Date.now(), plan_id: plan.id });
    }

    /**
     * Stops as planned: says so, takes work until the balancer has seen it, hands leadership over, ends what runs.
     */
    async stop(): Promise<void> {
        if (this.lifecycle.get() !== "ready") {
            this.close();
            return;
        }
        this.lifecycle.send("asked-to-stop");
        this.membership.announceLeaving();
        this.host?.replica.handOver();
        await delay(this.settings.timing.drain_notice);
        this.takesRequests = false;
        const deadline = performance.now() + this.settings.limits.drain;
        while (this.countOpen() > 0 && performance.now() < deadline) {
            await delay(DRAIN_POLL_MS);
        }
        if (this.host?.replica.getStatus().role === "leader") {
            this.host.replica.handOver();
            await delay(this.settings.timing.heartbeat);
        }
        this.lifecycle.send("drained");
        this.close();
    }

    /** Stops at once. */
    close(): void {
        if (this.hasLeft) {
            return;
        }
        this.hasLeft = true;
        this.timers.forEach((timer) => {
            clearInterval(timer);
        });
        this.membership.stop();
        this.host?.stop();
        this.upstreams.stop();
        this.puller.stop();
        this.orders?.stop();
        this.platformList?.stop();
        this.servers.forEach((server) => void server.close());
        this.metrics.close();
        void this.agent.destroy();
    }

    private countOpen(): number {
        return this.callerServer.countOpen() + this.claims.size;
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

    private async open(address: string, handle: Parameters<typeof openServer>[1]): Promise<string> {
        const server = await openServer(address, handle);
        this.servers.push(server);
        return server.address;
    }

    private createParts(address: string): void {
        const { instance, timing, limits, peers } = this.settings;
        this.membership = new Membership({
            self: {
                id: instance.id,
                address,
                failure_domain: instance.failure_domain,
                // Later starts of the same instance outrank what is still said of earlier ones.
                incarnation: Date.now(),
                status: "alive",
                has_replica: instance.data_folder !== undefined,
                configuration_version: 0,
                revision: 0,
                in_flight: {},
                demand: {},
            },
            seeds: peers.addresses,
            timing: { probeMs: timing.probe, probeTimeoutMs: timing.probe_timeout, suspicionMs: timing.suspicion },
            functions: {
                send: (to, message) => {
                    this.peers.notify(to, "member", { from: address, message });
                },
                random: Math.random,
                handleStatus: (member) => {
                    this.log.record("info", "member", { peer: member.id, status: member.status });
                    this.gates.startWaiting();
                },
                handleVersion: () => {
                    this.puller.pullSoon();
                },
            },
        });
        this.gossip = new InFlightGossip(this.membership);
        this.gates = new Gates({
            queueLimit: limits.queue_requests,
            countEntries: () => this.countEntries(),
            countOthersDemand: (gate) => this.gossip.countDemand(gate),
        });
        this.upstreams = this.createUpstreams();
        this.inForce.handleChange((view) => {
            this.upstreams.applyConfiguration(view);
            this.gates.applyConfiguration(view);
            this.membership.updateSelf({ configuration_version: view.configuration.version });
            this.log.record("info", "in-force", { version: view.configuration.version });
        });
    }

    private createUpstreams(): UpstreamTable {
        return new UpstreamTable(this.settings.timing.upstream_poll, {
            createEngine: (upstream) => this.createEngine(upstream),
            countOthersInFlight: (upstream) => this.gossip.count(upstream),
            random: Math.random,
            handleChange: (state, change) => {
                this.metrics.count("upstream.change", { upstream: state.upstream.name, change });
                this.log.record("info", "upstream", { peer: state.upstream.name, change });
            },
        });
    }

    private createEngine(upstream: Upstream): EngineFunctions {
        return createEngineClient({
            agent: this.agent,
            name: upstream.name,
            address: upstream.address,
            timeoutMs: this.settings.timing.upstream_timeout,
            statusTimeoutMs: this.settings.timing.upstream_poll * 2,
            handleStrayAnswer: () => {
                this.metrics.count("step.stray", { upstream: upstream.name });
                this.log.record("info", "step-stray", { peer: upstream.name });
            },
        });
    }

    private async startReplica(address: string): Promise<void> {
        const { instance, timing, limits } = this.settings;
        if (instance.data_folder !== undefined) {
            this.host = await ReplicaHost.start({
                instance: instance.id,
                folder: instance.data_folder,
                address,
                heartbeatMs: timing.heartbeat,
                electionMs: timing.election,
                claimRetentionMs: limits.claim_retention,
                random: Math.random,
                send: (to, envelope) => {
                    this.peers.notify(to.address, "replica", envelope);
                },
                record: (event) => {
                    this.recordReplicaEvent(event);
                },
                handleState: (state) => {
                    if (this.lifecycle.get() !== "starting") {
                        this.inForce.apply(state.configurations.getConfiguration());
                    }
                },
            });
        }
        this.voters = new Voters({
            host: this.host,
            membership: this.membership,
            peers: this.peers,
            patienceMs: VOTERS_PATIENCE_MS,
        });
    }

    private startParts(): void {
        const { membership, voters, inForce, upstreams } = this;
        this.puller = new ConfigurationPuller({
            membership,
            peers: this.peers,
            voters,
            inForce,
            handleFirst: () => {
                this.takesRequests = true;
                this.lifecycle.send("configured");
            },
        });
        if (this.host !== undefined) {
            this.orders = new OrderSender({
                host: this.host,
                upstreams,
                getView: () => inForce.get(),
                leaseMs: this.settings.timing.election,
                record: (event, fields) => {
                    this.log.record("info", event, fields);
                },
            });
        }
        this.startPlatformList();
        membership.start();
        upstreams.start();
        this.puller.start();
        this.orders?.start();
        this.timers.push(setInterval(() => {
            this.refreshGossip();
        }, GOSSIP_REFRESH_MS));
    }

    private startPlatformList(): void {
        const { instances, poll } = this.settings.platform;
        if (instances !== undefined) {
            this.platformList = new PlatformList(this.agent, instances, poll, (addresses) => {
                this.upstreams.applyLeaving(addresses);
            });
            this.platformList.start();
        }
    }

    private refreshGossip(): void {
        this.membership.updateSelf({
            in_flight: { ...this.upstreams.countInFlight() },
            demand: { ...this.gates.countDemand() },
        });
        this.gates.startWaiting();
    }

    /** Suspected entries still count: their requests may still run. */
    private countEntries(): number {
        return this.membership.getLiveMembers().length;
    }

    private createPeerPort(): ReturnType<typeof createPeerHandler> {
        return createPeerHandler({
            instance: this.settings.instance.id,
            secret: this.settings.secrets.peers,
            clock: this.clock,
            membership: this.membership,
            host: this.host,
            getConfiguration: () => this.inForce.get().configuration,
            changeVoters: (change) => this.changeVoters(change),
            awaitAnswer: (owner, token) => this.awaitAnswer(owner, token),
        });
    }

    private createCallerPort(): CallerServer {
        const { instance, limits } = this.settings;
        this.callerServer = createCallerServer({
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
            createModelFunctions: () => this.createModelFunctions(),
            createServiceFunctions: () => this.createServiceFunctions(),
        });
        return this.callerServer;
    }

    private createOperatorPort(): ReturnType<typeof createOperatorHandler> {
        return createOperatorHandler({
            instance: this.settings.instance.id,
            secret: this.settings.secrets.operators,
            bodyLimit: this.settings.limits.body,
            getState: () => this.lifecycle.get(),
            membership: this.membership,
            host: this.host,
            voters: this.voters,
            inForce: this.inForce,
            upstreams: this.upstreams,
            countOthersInFlight: (upstream) => this.gossip.count(upstream),
            changeVoters: (change) => this.changeVoters(change),
            drain: () => {
                // The same way as the platform's own stop, so that there is one to prove.
                process.kill(process.pid, "SIGTERM");
            },
        });
    }

    private createModelFunctions(): ModelRequestFunctions {
        return {
            view: this.inForce.get(),
            getGate: (model) => this.gates.getForModel(model),
            getPipeline: (model) => this.createPipelineFunctions(model),
            claims: this.createClaimFunctions(),
            claimWaitMs: CLAIM_WAIT_MS,
        };
    }

    private createPipelineFunctions(model: Model): PipelineFunctions {
        const budget = this.gates.getBudget(model.name);
        budget.recordRequest();
        return {
            chooseRoute: (target, avoided) => this.upstreams.chooseRoute(target, avoided),
            chooseReplacement: (target, stage, avoided) => this.upstreams.chooseReplacement(target, stage, avoided),
            getUpstream: (name) => this.upstreams.get(name),
            recordFailure: (state, error) => {
                this.upstreams.recordFailure(state, error);
            },
            claimRetry: () => budget.claimRetry(),
            record: (event, fields) => {
                this.log.record("info", event, fields);
            },
        };
    }

    private createServiceFunctions(): ServiceRequestFunctions {
        const { timing, limits } = this.settings;
        return {
            view: this.inForce.get(),
            getGate: (service) => this.gates.getForService(service),
            chooseUpstream: (names, avoided) => this.upstreams.chooseService(names, avoided),
            recordFailure: (state, error) => {
                this.upstreams.recordFailure(state, error);
            },
            getBudget: (service) => this.gates.getBudget(service.name),
            call: (state, call) => callService(this.agent, state.upstream.name, state.upstream.address, call),
            claims: this.createClaimFunctions(),
            claimWaitMs: CLAIM_WAIT_MS,
            timeoutMs: timing.upstream_timeout,
            answerLimit: limits.answer,
        };
    }

    private createClaimFunctions(): ClaimFunctions {
        return {
            owner: this.owner,
            propose: (command) => this.voters.propose(command),
            askOwner: (owner, token) => this.askOwner(owner, token),
            recordOpen: (token, end) => {
                this.claims.recordOpen(token, end);
            },
            settle: (command) => this.settle(command),
        };
    }

    private async settle(command: Command & { readonly token: string; }): Promise<void> {
        const result = await this.voters.propose(command);
        if (result.kind === "applied") {
            this.claims.recordSettled(command.token);
            return;
        }
        this.log.record("warn", "claim-not-settled", { token: command.token });
        setTimeout(() => {
            if (!this.hasLeft) {
                void this.settle(command);
            }
        }, SETTLE_RETRY_MS);
    }

    private async askOwner(owner: string, token: string): Promise<AwaitAnswerResult> {
        const member = this.membership.getLiveMembers().find((one) => one.id === owner.split("/")[0]);
        if (owner === this.owner) {
            return await this.claims.awaitEnd(token, AWAIT_ANSWER_MS);
        }
        if (member === undefined) {
            return { kind: "lost" };
        }
        try {
            const raw = await this.peers.ask(member.address, "awaitAnswer", { owner, token }, ASK_OWNER_TIMEOUT_MS);
            return awaitAnswerResultSchema.parse(raw);
        }
        catch {
            // It may be slow, cut off or dying; membership decides which, and the caller of this asks again.
            await delay(DRAIN_POLL_MS);
            return { kind: "running" };
        }
    }

    private async awaitAnswer(owner: string, token: string): Promise<AwaitAnswerResult> {
        return owner === this.owner ? await this.claims.awaitEnd(token, AWAIT_ANSWER_MS) : { kind: "lost" };
    }

    private changeVoters(change: VoterChange): Promise<ChangeVotersResult> {
        return changeVoters({ host: this.host, membership: this.membership, peers: this.peers }, change);
    }

    private recordReplicaEvent(event: ReplicaEvent): void {
        switch (event.kind) {
            case "role":
                this.metrics.count("replica.role", { role: event.role });
                this.log.record("info", "role", { role: event.role, term: event.term });
                return;
            case "replicas": {
                const voters = event.replicas.voters.map((voter) => voter.id).join(",");
                const learners = event.replicas.learners.map((learner) => learner.id).join(",");
                this.log.record("info", "replicas", { voters, learners });
                return;
            }
            case "snapshot":
                this.log.record("info", "snapshot", { index: event.index });
                return;
            case "fault":
                this.log.record("error", "replica-fault", { reason: String(event.error) });
                return;
        }
    }
}

function delay(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
}
