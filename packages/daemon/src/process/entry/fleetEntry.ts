/**
 * An entry of a fleet: accepts callers' requests and routes them by the state that it synchronises from the voters.
 */
import { LearnedRoom } from "@crankfork/decisions";
import type {
    FleetSettings,
    FleetStatus,
    RegisteredUpstream,
    RoutingTable,
    StateChanges,
    SynchronisedState,
    SynchroniseParameters,
    WatchParameters,
} from "@crankfork/schemas";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { EngineControl, EngineEndpoint } from "../../connection/engineControl.js";
import { ExitGuard } from "../../connection/exitGuard.js";
import { isConnectable } from "../../connection/isConnectable.js";
import type { RequestDispatcher } from "../../connection/observeDispatch.js";
import type { PeerClient } from "../../connection/peerClient.js";
import { probeConnection } from "../../connection/probeConnection.js";
import type { UpstreamConnections } from "../../connection/upstreamConnections.js";
import { isKeyLeaseValid } from "../../request/admitCall.js";
import type { RequestEnd } from "../../request/refuseRequest.js";
import { type AdmittedCall, RequestContext } from "../../request/requestContext.js";
import type { RequestRank, RoutedRequestFunctions, StallReport } from "../../request/requestFunctions.js";
import type { CallCodec, CallTarget, RoutedCall } from "../../request/routedCall.js";
import { type RefusalId, refusals } from "../../request/routedRefusal.js";
import { handleRoutedRequest } from "../../request/routedRequest.js";
import { RoutedResponse } from "../../request/routedResponse.js";
import { ActiveDocument } from "../../version/activeDocument.js";
import { FleetView } from "../../version/fleetView.js";
import { readCallerBody } from "../callerBody.js";
import type { EventLog } from "../eventLog.js";
import type { FleetMetrics } from "../fleetMetrics.js";
import { startTask } from "../startTask.js";
import { describeError } from "../taskFailures.js";
import { AdmissionLevels } from "./admissionLevels.js";
import { CrashTracker } from "./crashTracker.js";
import { createEntryStatus } from "./createEntryStatus.js";
import { createServiceDemand } from "./createServiceDemand.js";
import { EngineReportCache } from "./engineReportCache.js";
import { EngineShortage } from "./engineShortage.js";
import { EntryAdmission } from "./entryAdmission.js";
import { EntryDemand } from "./entryDemand.js";
import type { Confirmation } from "./leaderSync.js";
import { LinkMonitor } from "./linkMonitor.js";
import { LoadReportAge } from "./loadReportAge.js";
import { getPathKey } from "./pathKey.js";
import { PathStallDetector } from "./pathStallDetector.js";
import { RefusalWindow } from "./refusalWindow.js";
import { RelayServer } from "./relayServer.js";
import { RemoteLoads } from "./remoteLoads.js";
import { type EntryState, recordRefusal, recordRequest, type RequestClass } from "./requestLog.js";
import { RequestQueues } from "./requestQueues.js";
import { RetryBudgets } from "./retryBudgets.js";
import { TargetChooser } from "./targetChooser.js";
import { computeBudgetBytes, UnreadBudget } from "./unreadBudget.js";
import { UpstreamFaultHandler } from "./upstreamFaultHandler.js";
import { UpstreamHealth } from "./upstreamHealth.js";
import { UpstreamLinks } from "./upstreamLinks.js";
import { UpstreamNoticeHandler } from "./upstreamNoticeHandler.js";

/** Dependencies of an entry. */
export interface FleetEntryOptions {
    readonly settings: FleetSettings;
    readonly connections: UpstreamConnections;
    readonly peers: Pick<PeerClient, "call">;
    /** Connections to the peers' ports of other entries. */
    readonly relayConnections: RequestDispatcher;
    /** Peer address of this entry. */
    readonly ownAddress: string;
    readonly codec: CallCodec;
    readonly control: EngineControl;
    /** Parses the operator's document; returns undefined where it is invalid. */
    readonly decodeDocument: (content: unknown) => RoutingTable | undefined;
    readonly log: EventLog;
    readonly metrics: FleetMetrics;
    readonly getNowMs: () => number;
    readonly random: () => number;
    /** Time since a leader confirmed that the local state is current. */
    readonly getAgeMs: () => number;
    /** Time for which a newer version has been committed; undefined where none is known here. */
    readonly getOutdatedMs: () => number | undefined;
    /** The leader's reply that confirmed the local state. */
    readonly getConfirmation: () => Confirmation | undefined;
    readonly countEntries: () => number;
    /** Schedules a report of suspected upstreams to the leader. */
    readonly reportSuspects: () => void;
    /** Sends a request to the leader; rejects where no leader is known. */
    readonly askLeader: (
        method: "crashes" | "trial" | "resend" | "leaving" | "sends",
        parameters: object,
    ) => Promise<unknown>;
    readonly isStopping: () => boolean;
    /** False late in a shutdown, when a request might not complete before the process exits. */
    readonly acceptsRequests: () => boolean;
}

/**
 * Fraction of the revocation time after which an entry without confirmation by a leader reports itself as not ready, so
 * that the load balancer takes it out: soon afterwards its API keys stop working.
 */
const READY_LEASE_SHARE = 0.6;
const MS_PER_SECOND = 1_000;

/** A request whose response is not complete. */
interface OpenRequest {
    call?: RoutedCall;
    /** Undefined until it is admitted. */
    run?: RequestContext;
}

/** Accepts and routes requests. */
export class FleetEntry {
    /** The operator's document in force. */
    readonly document: ActiveDocument;
    /** Demand at this entry and over all. */
    readonly demand: EntryDemand;
    /** Room that classes may take. */
    readonly levels: AdmissionLevels;
    /** Relays requests of other entries. */
    readonly relayServer: RelayServer;
    private readonly refusals: RefusalWindow;
    private readonly view = new FleetView((upstream) => this.canConnect(upstream));
    private readonly health: UpstreamHealth;
    private readonly chooser: TargetChooser;
    private readonly engineReports: EngineReportCache;
    private readonly admission: EntryAdmission;
    private readonly faultHandler: UpstreamFaultHandler;
    private readonly stallDetector: PathStallDetector;
    private readonly linkMonitor: LinkMonitor;
    private readonly links: UpstreamLinks;
    /** Checks whether closed connections were crashes of their upstreams. */
    private readonly closeChecks = new WeakMap<AdmittedCall, Promise<void>>();
    private readonly budgets: RetryBudgets;
    private readonly crashes: CrashTracker;
    private readonly notices: UpstreamNoticeHandler;
    private readonly functions: RoutedRequestFunctions;
    private readonly remoteLoads: RemoteLoads;
    private readonly loadReportAge: LoadReportAge;
    private readonly queues: RequestQueues;
    private readonly unread: UnreadBudget;
    private readonly open = new Map<RoutedResponse, OpenRequest>();
    private readonly exitGuard: ExitGuard;

    /**
     * @param options - settings, codec, leader connection and log
     */
    constructor(private readonly options: FleetEntryOptions) {
        this.document = new ActiveDocument({ ...options, view: this.view });
        this.unread = new UnreadBudget({
            ...options,
            budgetBytes: computeBudgetBytes(options.settings.limits.memory),
            countPause: () => {
                options.metrics.countReaderPause();
            },
        });
        options.metrics.observeUnreadBytes(() => this.unread.unreadBytes);
        this.exitGuard = new ExitGuard({
            handleUnavailable: (reason) => {
                options.log.record("warn", "exit-guard-unavailable", { reason });
            },
        });
        this.levels = new AdmissionLevels(options);
        this.refusals = new RefusalWindow(options.getNowMs);
        this.demand = new EntryDemand({ ...options, getRouting: () => this.view.routing });
        this.health = new UpstreamHealth(options.getNowMs);
        this.admission = new EntryAdmission({ ...options, view: this.view, contract: options.settings.contract });
        this.loadReportAge = new LoadReportAge(options.getNowMs);
        this.remoteLoads = new RemoteLoads({ ...options, getLocalLoad: (id) => this.health.getLoad(id) });
        this.notices = new UpstreamNoticeHandler({ ...options, view: this.view, health: this.health });
        const { backoffs } = this.notices;
        this.links = new UpstreamLinks({
            ...options,
            view: this.view,
            handleBackoff: (id, backoffMs) => {
                backoffs.applyNotice(id, { kind: "rest", backoffMs }, "relay");
            },
            handleCutOff: () => {
                this.health.clearFailures();
                this.stallDetector.clearStalls();
            },
        });
        this.links.start();
        this.relayServer = new RelayServer({
            ...options,
            view: this.view,
            getConnections: (endpoint) => this.links.getOwnConnections(endpoint),
            probe: probeConnection,
            getBackoffMs: (id) => backoffs.isBackingOff(id) ? backoffs.computeRemainingMs([id]) : 0,
            handleHead: (id, head) => {
                backoffs.applyNotice(id, options.codec.readNotice(head).backoff, "relayed request");
            },
            checkAfterClose: () => this.links.checkAfterClose(),
            memoryMb: options.settings.limits.memory,
        });
        this.engineReports = new EngineReportCache(this.notices.observeControl(options.control), options.getNowMs);
        const learnedRoom = new LearnedRoom(options.getNowMs);
        this.faultHandler = new UpstreamFaultHandler({
            view: this.view,
            health: this.health,
            engineReports: this.engineReports,
            log: options.log,
            getNowMs: options.getNowMs,
            countSuspicion: () => {
                options.metrics.countSuspicion();
            },
            isCutOff: () => this.links.isCutOff,
            reportSuspects: options.reportSuspects,
            isMemoryChecked: (service) => this.isMemoryChecked(service),
            getUsedTokens: (id) => this.chooser.getUsedTokens(id),
            handleShortage: (id, usedTokens) => {
                learnedRoom.recordDecline(id, usedTokens);
            },
        });
        const { failure_domain: domain } = options.settings.instance;
        this.linkMonitor = new LinkMonitor({ domain, getNowMs: options.getNowMs });
        this.stallDetector = new PathStallDetector({
            getNowMs: options.getNowMs,
            handleProcessPause: (durationMs) => {
                this.linkMonitor.recordProcessPause(durationMs);
            },
            handleStall: (id, streams, silentMs) => {
                startTask("engine-report", () => this.faultHandler.handlePathStall(id, streams, silentMs));
            },
        });
        this.chooser = new TargetChooser({
            backoffs: this.notices.backoffs,
            leaving: this.notices.leaving,
            rateLimiter: this.notices.rateLimiter,
            instance: options.settings.instance.id,
            getRequestsPerSecond: (service) => this.budgets.get(service).requestsPerSecond,
            view: this.view,
            health: this.health,
            shortage: new EngineShortage(options.getNowMs),
            getRemoteLoad: (id) => this.remoteLoads.get(id),
            getSteadyShare: (id) => this.remoteLoads.getSteadyShare(id),
            estimateUnreported: (service) => this.estimateUnreported(service),
            getLoadAgeMs: () => this.loadReportAge.getMeanAgeMs(),
            isPathAvoided: (path) => this.stallDetector.isAvoided(path),
            isPathActive: (path) => this.stallDetector.isActive(path),
            isLinkLossy: (to) => this.linkMonitor.isLossy(to),
            getDemand: (service) => createServiceDemand(this.demand.fleet.get(service)),
            levels: this.levels,
            countEntries: options.countEntries,
            isMemoryChecked: (service) => this.isMemoryChecked(service),
            getLimitTokens: (id, contextTokens) => learnedRoom.getLimitTokens(id, contextTokens),
            random: options.random,
        });
        const { contract } = options.settings;
        const budgetTerms = {
            ratio: contract.retry_ratio,
            slack: contract.retry_slack,
            windowMs: contract.retry_window,
        };
        this.budgets = new RetryBudgets(budgetTerms, options.countEntries, options.getNowMs, options.random);
        this.crashes = new CrashTracker({
            ...options,
            getUnixMs: Date.now,
            hasEnded: (id) => this.view.hasEnded(id),
            isLeaving: (id) => this.view.getUpstream(id)?.status === "leaving",
            recordSegmentCounts: options.metrics.recordSegmentCounts,
        });
        this.queues = new RequestQueues({
            getNowMs: options.getNowMs,
            random: options.random,
            countEntries: options.countEntries,
            getRank: (admitted) => this.getRequestRank(admitted),
            getDemand: (service) =>
                this.demand.isReported(service) ? this.demand.fleet.get(service).classes : undefined,
            recordWaiting: (run, change) => {
                this.demand.meter.recordWaiting(this.demand.getKey(run), change);
            },
            recordReturn: (run, retryAfterMs) => {
                this.demand.meter.recordReturn(this.demand.getKey(run), retryAfterMs);
            },
        });
        this.functions = this.createFunctions();
    }

    /** Whether the load balancer should send callers here. */
    get isReady(): boolean {
        const { getAgeMs, settings, isStopping } = this.options;
        const isConfirmed = getAgeMs() < settings.contract.revocation * READY_LEASE_SHARE;
        return this.view.routing !== undefined && isConfirmed && !isStopping() && this.links.canSend;
    }

    /** Number of requests in flight. */
    get openRequests(): number {
        return this.open.size + this.relayServer.openRequests;
    }

    /** Limits on what callers send; undefined before the first routing table. */
    get limits(): RoutingTable["limits"] | undefined {
        return this.view.routing?.table.limits;
    }

    /**
     * Creates the report that goes to the leader with each synchronise request.
     * @returns the request parameters
     */
    createParameters(): SynchroniseParameters {
        const { version } = this.document;
        const demand = this.demand.createReport();
        return {
            ...(version === undefined ? {} : { applied_version: version }),
            ...(demand === undefined ? {} : { demand }),
            instance: this.options.settings.instance.id,
            known_index: this.view.knownIndex,
            loads: this.health.listLoads(),
            spending: this.budgets.listSpending(),
            limits_known: this.notices.limitsKnown,
            domain: this.options.settings.instance.failure_domain,
            relay: this.links.relayOffer,
            links: this.linkMonitor.createReport(),
        };
    }

    /**
     * Creates the parameters of a request for changes of the replicated state.
     * @returns what this entry has
     */
    createWatchParameters(): WatchParameters {
        const { version } = this.document;
        return {
            instance: this.options.settings.instance.id,
            known_index: this.view.knownIndex,
            ...(version === undefined ? {} : { applied_version: version }),
        };
    }

    /**
     * Removes and returns the upstreams that failed since the last call.
     * @returns their ids
     */
    takeSuspects(): readonly string[] {
        return this.health.takeSuspects();
    }

    /**
     * Removes and returns the engines that declined requests since the last call.
     * @returns their ids
     */
    takeDeclined(): readonly string[] {
        return this.health.takeDeclined();
    }

    /**
     * Applies changes of the replicated state that a voter reported, unless this entry has newer ones.
     * @param changes - the changes
     */
    applyChanges(changes: StateChanges): void {
        if (changes.index > this.view.knownIndex && this.view.applyUpstreams(changes)) {
            this.crashes.applyState(changes);
            this.pruneUpstreams();
        }
    }

    /**
     * Applies a state update from the leader.
     * @param state - the changes that this entry has not seen
     * @param requestedIndex - the index up to which this entry had the state when it requested the update
     */
    applyState(state: SynchronisedState, requestedIndex: number): void {
        this.remoteLoads.record(state.loads_elsewhere);
        this.loadReportAge.recordReport();
        this.links.relays.applyRelays(state.relays);
        this.demand.recordSummary(state.demand, state.spending_known_ms);
        this.linkMonitor.recordAnswer(state.links);
        this.budgets.recordRemoteSpending(state.spending_elsewhere ?? {}, {
            knownMs: state.spending_known_ms ?? 0,
            reporters: state.entries,
        });
        if (this.view.applyUpstreams(state, requestedIndex)) {
            this.crashes.applyState(state);
        }
        this.notices.applyLimits(state.limits);
        this.health.applyNamed(
            (state.suspects ?? []).filter((id) => this.view.getUpstream(id)?.accelerator !== undefined),
            (id) => this.isMemoryChecked(this.view.getUpstream(id)?.service ?? ""),
        );
        this.pruneUpstreams();
        const isConfigured = (service: string): boolean => this.view.routing?.services.has(service) === true;
        this.queues.prune(isConfigured);
        this.levels.prune(isConfigured);
        this.queues.recordReport();
    }

    private canConnect({ id, address }: RegisteredUpstream): boolean {
        const canConnect = isConnectable(address);
        if (!canConnect) {
            this.options.log.record("warn", "upstream-unconnectable", { peer: id, address });
        }
        return canConnect;
    }

    /** Drops what is kept for upstreams that have ended. */
    private pruneUpstreams(): void {
        const isKnown = (id: string): boolean => this.view.getUpstream(id) !== undefined;
        this.health.prune(isKnown);
        this.notices.prune(isKnown);
        this.links.prune(isKnown);
        this.options.connections.closeStale(isKnown);
    }

    /**
     * Creates the status for operators.
     * @returns demand, room and refusals by class
     */
    createStatus(): FleetStatus {
        const { countEntries, settings } = this.options;
        return createEntryStatus({
            instance: settings.instance.id,
            countEntries,
            demand: this.demand,
            refusals: this.refusals,
            getClassRoom: (service, rank) => this.levels.get(service, rank),
        });
    }

    /**
     * Handles a request of a caller.
     * @param message - the request
     * @param response - its response
     */
    handle(message: IncomingMessage, response: ServerResponse): void {
        const answer = new RoutedResponse(response, this.options.codec, this.options.isStopping, this.exitGuard);
        const request: OpenRequest = {};
        this.open.set(answer, request);
        // The request is open until its caller's connection has taken the whole response.
        const closed = new Promise<void>((resolve) => {
            response.once("close", resolve);
        });
        startTask("request", async () => {
            try {
                await this.serve(message, response, answer, request);
            }
            catch (error) {
                this.options.log.record("error", "request-fault", describeError(error));
                response.destroy();
            }
            await closed;
            this.open.delete(answer);
        });
    }

    /** Refuses the requests that have not been sent to any upstream; call it once requests are no longer accepted. */
    refuseUnsentRequests(): void {
        this.open.forEach(({ run }) => {
            if (run?.attempts === 0) {
                run.stop("stopping");
            }
        });
    }

    /** Answers all requests whose responses have not begun, and aborts the other responses; call it right before the exit. */
    endOpenRequests(): void {
        this.open.forEach(({ call, run }, answer) => {
            run?.stop("stopping");
            if (run === undefined && call !== undefined && !answer.hasStarted) {
                this.refuse(call, answer, "stopping", this.options.getNowMs());
            }
        });
    }

    /** Ends all open responses so that their callers notice that these are incomplete. */
    abortOpenResponses(): void {
        this.open.forEach((_request, answer) => {
            answer.abort();
        });
    }

    private async serve(
        message: IncomingMessage,
        response: ServerResponse,
        answer: RoutedResponse,
        request: OpenRequest,
    ): Promise<void> {
        const { codec, getNowMs, acceptsRequests } = this.options;
        const arrivedMs = getNowMs();
        const call = codec.parseCall(message);
        request.call = call;
        if (!acceptsRequests()) {
            this.refuse(call, answer, "stopping", arrivedMs);
            return;
        }
        const limits = this.limits;
        const body = await readCallerBody(message, limits?.body_bytes, limits?.idle_timeout_ms);
        if (answer.hasStarted) {
            // It was refused at the end of a planned stop.
            return;
        }
        if (body === "too-large" || body === "unreadable") {
            this.refuse(call, answer, body === "too-large" ? "body-too-large" : "unreadable", arrivedMs);
            return;
        }
        const admission = acceptsRequests()
            ? await this.admission.admitOrWait(call, arrivedMs, () => response.destroyed)
            : { kind: "refused" as const, refusal: "stopping" as const };
        if (admission.kind === "refused") {
            this.refuse(call, answer, admission.refusal, arrivedMs);
            return;
        }
        const { route, service, organisation, basis } = admission;
        const run = new RequestContext(
            { call, route, service, organisation, basis, body, arrivedMs },
            this.options.getNowMs,
        );
        request.run = run;
        await this.run(run, response, answer);
    }

    private async run(run: RequestContext, response: ServerResponse, answer: RoutedResponse): Promise<void> {
        const { admitted } = run;
        const handleClose = (): void => {
            if (!response.writableFinished) {
                run.stop("caller-left");
            }
        };
        response.once("close", handleClose);
        this.budgets.get(admitted.service.name).recordRequest();
        this.demand.recordArrival(run);
        const end = await handleRoutedRequest(run, answer, this.functions);
        this.demand.recordEnd(run, end);
        run.close();
        this.notices.rateLimiter.withdraw(run);
        recordRequest(this.options, run, end, this.createEntryState(), {
            refusedClass: end.outcome === "refused" ? this.recordRefusedClass(run, end) : undefined,
            describeCrashes: () => this.crashes.describe(admitted),
        });
    }

    private recordRefusedClass(run: RequestContext, end: RequestEnd): RequestClass | undefined {
        const { service, rank, organisation } = this.demand.getKey(run);
        this.refusals.record({ service, rank, reason: end.refusal ?? end.outcome });
        return this.demand.isReported(service)
            ? { rank, organisation, room: this.levels.get(service, rank)?.share, taken_by: run.takenBy }
            : undefined;
    }

    private refuse(call: RoutedCall, answer: RoutedResponse, id: RefusalId, arrivedMs: number): void {
        const ageMs = this.options.getNowMs() - arrivedMs;
        answer.sendRefusal(call, refusals[id], { remainingMs: (call.deadlineMs ?? 0) - ageMs });
        this.refusals.record({ service: "", rank: 0, reason: id });
        recordRefusal(this.options, call, refusals[id], ageMs, this.createEntryState());
    }

    private createEntryState(): EntryState {
        return {
            version: this.view.routing?.table.version,
            index: this.view.knownIndex,
            confirmationAgeMs: this.options.getAgeMs(),
            confirmation: this.options.getConfirmation(),
        };
    }

    private createFunctions(): RoutedRequestFunctions {
        const { codec, getNowMs, getAgeMs, log, settings } = this.options;
        return {
            getConnections: (target) => this.links.getConnections(target),
            getRelay: (target) => this.links.getRelay(target),
            isReachable: (target) => this.links.isReachable(target),
            codec,
            getNowMs,
            acceptsRequests: this.options.acceptsRequests,
            chooseTarget: (run, lastEventId, isUnderWay) => {
                const choice = this.chooser.choose(run, lastEventId, isUnderWay);
                this.demand.recordChoice(run, choice);
                return choice;
            },
            isMemoryChecked: (service) => this.isMemoryChecked(service),
            isKeyUsable: () => isKeyLeaseValid({ ageMs: getAgeMs(), revocationMs: settings.contract.revocation }),
            recordStart: (id, rank, tokens) => {
                this.health.recordRequestStart(id, rank, tokens);
            },
            recordFirstOutput: (id, rank) => {
                this.health.recordFirstToken(id, rank);
                this.queues.wake(this.view.getUpstream(id)?.service);
            },
            recordEnd: (id, rank, tokens) => {
                this.health.recordEnd(id, rank, tokens);
                this.queues.wake(this.view.getUpstream(id)?.service);
            },
            recordAnswer: (id, durationMs, isFailure) => {
                this.health.recordAnswer(id, durationMs, isFailure);
            },
            suspect: (id, reason) => {
                this.faultHandler.suspect(id, reason);
                startTask("reach-check", () => this.links.checkAfterFailure(id));
            },
            recordMissingReport: (id, reason) => {
                this.faultHandler.handleMissingReport(id, reason);
                startTask("reach-check", () => this.links.checkAfterFailure(id));
            },
            recordProgress: (id) => {
                this.faultHandler.handleProgress(id);
            },
            recordDecline: (id, reason) => {
                startTask("engine-report", () => this.faultHandler.handleDecline(id, reason));
            },
            findIdAt: (address) => this.view.findIdByAddress(address),
            claimRetry: (service, isUnderWay) => this.claimRetry(service, isUnderWay),
            releaseRetry: (service) => {
                this.budgets.get(service).releaseRetry();
            },
            queryStall: (target, requestId) => this.queryStall(target, requestId),
            isPathResponsive: (target) => this.isPathResponsive(target),
            watchPath: (target, pauseMs, leave) =>
                this.stallDetector.follow(getPathKey(target.stages ?? []), pauseMs, leave),
            followLink: ({ upstreamId, stages }) => {
                const domain = stages?.[0]?.engine.failureDomain;
                return domain === undefined || this.links.isCutOff
                    ? undefined
                    : this.linkMonitor.follow(upstreamId, domain);
            },
            hasOtherPath: (run) => run.admitted.service.engine === undefined || this.chooser.hasOtherPath(run),
            hasEnded: (id) => this.view.hasEnded(id),
            notices: this.createNoticeFunctions(),
            crashes: this.createCrashFunctions(),
            waiting: this.queues.createFunctions(),
            unread: this.unread,
            record: (event, fields) => {
                log.record("info", event, fields);
            },
        };
    }

    private claimRetry(service: string, isUnderWay: boolean): boolean {
        const budget = this.budgets.get(service);
        const isGranted = budget.claimRetry(isUnderWay);
        if (!isGranted) {
            this.options.log.record("info", "retry-denied", {
                service,
                is_under_way: isUnderWay,
                ...budget.lastDenial,
            });
        }
        return isGranted;
    }

    /** Reports are fetched over this entry's own connections; a relay is asked whether it reaches the engine. */
    private async queryStall(target: CallTarget, requestId: string): Promise<StallReport> {
        const relay = this.links.getRelay(target);
        if (relay !== undefined) {
            const isReached = await this.links.relays.isReachedBy(relay, target.upstreamId);
            return { kind: isReached ? "moving" : "unreachable" };
        }
        return this.links.isCutOff
            ? { kind: "stalled", faultAddress: undefined }
            : await this.engineReports.checkStall(this.createEndpoint(target), requestId);
    }

    /** The id of an upstream that reports its start time is not its name. */
    private createEndpoint({ upstreamId, upstreamName, address }: CallTarget): EngineEndpoint {
        return { id: upstreamId, life: this.view.getUpstream(upstreamId)?.life ?? { name: upstreamName }, address };
    }

    /** A relay asks no engine for reports, and an entry that is cut off gets none. */
    private async isPathResponsive(target: CallTarget): Promise<boolean> {
        const { stages } = target;
        return stages === undefined || this.links.isCutOff || await this.engineReports.isPathResponsive(
            this.createEndpoint(target),
            stages.map(({ engine }) => engine.address),
        );
    }

    /** Without the check a service is served by usual sizes, and engines that decline are avoided. */
    private isMemoryChecked(service: string): boolean {
        const { check_memory } = this.options.settings.admission;
        return check_memory && this.view.routing?.ranks.get(service)?.isRanked === true;
    }

    /** All requests of a service that is not ranked are alike. */
    private getRequestRank({ service, route, organisation }: AdmittedCall): RequestRank {
        const ranks = this.view.routing?.ranks.get(service.name);
        return ranks?.isRanked === true
            ? { rank: ranks.getRank(route, organisation), rankCount: ranks.ranks.length, isRanked: true }
            : { rank: 0, rankCount: 1, isRanked: false };
    }

    private createNoticeFunctions(): RoutedRequestFunctions["notices"] {
        const functions = this.notices.createFunctions();
        return {
            ...functions,
            receive: (target, notice, answer) => {
                this.crashes.recordResponse(target.upstreamId);
                functions.receive(target, notice, answer);
            },
        };
    }

    private createCrashFunctions(): RoutedRequestFunctions["crashes"] {
        const { crashes } = this;
        return {
            isQuarantined: (admitted) => crashes.isQuarantined(admitted),
            claimTrial: (admitted) => crashes.claimTrial(admitted),
            needsResendGrant: (admitted) => crashes.needsResendGrant(admitted),
            claimResend: (admitted, maxWaitMs) => crashes.claimResend(admitted, maxWaitMs),
            waitUntilStored: async (admitted, maxWaitMs) => {
                await this.closeChecks.get(admitted);
                await crashes.waitUntilStored(admitted, maxWaitMs);
            },
            recordCrash: (run, upstream, output, isRelayed) => {
                if (isRelayed) {
                    crashes.recordCrash(run, upstream, output);
                    return;
                }
                // A cut closes the connections to all upstreams, none of which has crashed.
                const check = this.links.checkAfterClose().then((isCutOff) => {
                    if (!isCutOff) {
                        crashes.recordCrash(run, upstream, output);
                    }
                });
                this.closeChecks.set(run.admitted, check);
            },
            recordUnanswered: (run, ended) => {
                crashes.recordUnanswered(run, ended);
            },
            recordUnconfirmed: (run, ended) => {
                crashes.recordUnconfirmed(run, ended);
            },
            recordSuccess: (admitted) => {
                crashes.recordCompletion(admitted);
            },
        };
    }

    /**
     * Estimates the requests that other entries have sent since their last load report. The load balancer spreads
     * callers evenly over the entries, so each is assumed to send as much as this one.
     */
    private estimateUnreported(service: string): number {
        const others = this.options.countEntries() - 1;
        return others * this.budgets.get(service).requestsPerSecond * this.loadReportAge.getMeanAgeMs() / MS_PER_SECOND;
    }
}
