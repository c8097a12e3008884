/**
 * An entry of a fleet: it takes callers' requests, and knows by its link to the voters where they may go.
 */
import type { FleetSettings, RoutingTable, SynchronisedState, SynchroniseParameters } from "@crankfork/schemas";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { EngineControl } from "../../connection/engineControl.js";
import type { UpstreamConnections } from "../../connection/upstreamConnections.js";
import { isKeyLeaseValid } from "../../request/admitCall.js";
import type { RoutedRequestFunctions } from "../../request/requestFunctions.js";
import { RoutedAnswer } from "../../request/routedAnswer.js";
import type { CallCodec, RoutedCall } from "../../request/routedCall.js";
import { type RefusalId, refusals } from "../../request/routedRefusal.js";
import { handleRoutedRequest } from "../../request/routedRequest.js";
import { type AdmittedCall, RoutedRun } from "../../request/routedRun.js";
import { DocumentInForce } from "../../version/documentInForce.js";
import { FleetView } from "../../version/fleetView.js";
import { readCallerBody } from "../callerBody.js";
import type { EventLog } from "../eventLog.js";
import type { FleetMetrics } from "../fleetMetrics.js";
import { CrashTracker } from "./crashTracker.js";
import { EngineReportCache } from "./engineReportCache.js";
import { EngineShortage } from "./engineShortage.js";
import { EntryAdmission } from "./entryAdmission.js";
import type { Confirmation } from "./leaderSync.js";
import { LoadReportAge } from "./loadReportAge.js";
import { getPathKey } from "./pathKey.js";
import { PathStallDetector } from "./pathStallDetector.js";
import { RemoteLoads } from "./remoteLoads.js";
import { type EntryState, recordRefusal, recordRequest } from "./requestLog.js";
import { RetryBudgets } from "./retryBudgets.js";
import { TargetChooser } from "./targetChooser.js";
import { UpstreamFaultHandler } from "./upstreamFaultHandler.js";
import { UpstreamHealth } from "./upstreamHealth.js";
import { UpstreamNoticeHandler } from "./upstreamNoticeHandler.js";

/** What an entry is made with. */
export interface FleetEntryOptions {
    readonly settings: FleetSettings;
    readonly connections: UpstreamConnections;
    readonly codec: CallCodec;
    readonly control: EngineControl;
    /** Reads the operator's document; undefined where it makes no sense. */
    readonly decodeDocument: (content: unknown) => RoutingTable | undefined;
    readonly log: EventLog;
    readonly metrics: FleetMetrics;
    readonly getNowMs: () => number;
    readonly random: () => number;
    /** How long ago a leader confirmed what this entry knows. */
    readonly getAgeMs: () => number;
    /** Since when a newer version is committed; undefined where none is known here. */
    readonly getOutdatedMs: () => number | undefined;
    /** The leader's answer that confirmed it. */
    readonly getConfirmation: () => Confirmation | undefined;
    readonly countEntries: () => number;
    /** Tells the leader soon of upstreams that are suspected. */
    readonly reportSuspects: () => void;
    /** Asks the leader; rejects where there is none. */
    readonly askLeader: (
        method: "crashes" | "trial" | "leaving" | "sends",
        parameters: object,
    ) => Promise<unknown>;
    readonly isStopping: () => boolean;
    /** False once a stop has been under way for so long that a request might not end before the process does. */
    readonly acceptsRequests: () => boolean;
}

/**
 * Part of the revocation time after which an entry that no leader confirms takes itself out of the balancer: keys
 * stop to work soon after.
 */
const READY_LEASE_SHARE = 0.6;
const MS_PER_SECOND = 1_000;

/** Takes requests. */
export class FleetEntry {
    /** What operators want. */
    readonly document: DocumentInForce;
    private readonly view = new FleetView();
    private readonly health: UpstreamHealth;
    private readonly chooser: TargetChooser;
    private readonly engineReports: EngineReportCache;
    private readonly admission: EntryAdmission;
    private readonly faultHandler: UpstreamFaultHandler;
    private readonly stallDetector: PathStallDetector;
    private readonly budgets: RetryBudgets;
    private readonly crashes: CrashTracker;
    private readonly notices: UpstreamNoticeHandler;
    private readonly functions: RoutedRequestFunctions;
    private readonly remoteLoads: RemoteLoads;
    private readonly loadReportAge: LoadReportAge;
    private openCount = 0;

    /**
     * @param options - settings, codec, link and log
     */
    constructor(private readonly options: FleetEntryOptions) {
        this.document = new DocumentInForce({ ...options, view: this.view });
        this.health = new UpstreamHealth(options.getNowMs);
        this.admission = new EntryAdmission({ ...options, view: this.view, contract: options.settings.contract });
        this.loadReportAge = new LoadReportAge(options.getNowMs);
        this.remoteLoads = new RemoteLoads({ ...options, getLocalLoad: (id) => this.health.getLoad(id) });
        this.notices = new UpstreamNoticeHandler({ ...options, view: this.view, health: this.health });
        this.engineReports = new EngineReportCache(this.notices.observeControl(options.control), options.getNowMs);
        this.faultHandler = new UpstreamFaultHandler({
            view: this.view,
            health: this.health,
            engineReports: this.engineReports,
            log: options.log,
            countSuspicion: () => {
                options.metrics.countSuspicion();
            },
            reportSuspects: options.reportSuspects,
        });
        this.stallDetector = new PathStallDetector({
            getNowMs: options.getNowMs,
            handleStall: (id, streams, silentMs) => void this.faultHandler.handlePathStall(id, streams, silentMs),
        });
        this.chooser = new TargetChooser({
            rests: this.notices.rests,
            leaving: this.notices.leaving,
            rateLimiter: this.notices.rateLimiter,
            instance: options.settings.instance.id,
            getRequestsPerSecond: (service) => this.budgets.get(service).requestsASecond,
            view: this.view,
            health: this.health,
            shortage: new EngineShortage(options.getNowMs),
            getRemoteLoad: (id) => this.remoteLoads.get(id),
            estimateUnreported: (service) => this.estimateUnreported(service),
            getLoadAgeMs: () => this.loadReportAge.getMeanAgeMs(),
            isPathAvoided: (name) => this.stallDetector.isAvoided(name),
            countEntries: options.countEntries,
            random: options.random,
        });
        const { contract } = options.settings;
        const terms = { ratio: contract.retry_ratio, slack: contract.retry_slack, windowMs: contract.retry_window };
        this.budgets = new RetryBudgets(terms, options.countEntries, options.getNowMs);
        this.crashes = new CrashTracker({
            ...options,
            getUnixMs: Date.now,
            hasEnded: (id) => this.view.hasEnded(id),
        });
        this.functions = this.createFunctions();
    }

    /** Whether the balancer should send callers here. */
    get isReady(): boolean {
        const { getAgeMs, settings, isStopping } = this.options;
        const isConfirmed = getAgeMs() < settings.contract.revocation * READY_LEASE_SHARE;
        return this.view.routing !== undefined && isConfirmed && !isStopping();
    }

    /** Requests that are not answered yet. */
    get openRequests(): number {
        return this.openCount;
    }

    /** How long an idle connection of a caller is kept, in milliseconds; undefined before the first table. */
    get idleTimeoutMs(): number | undefined {
        return this.view.routing?.table.limits.idle_timeout_ms;
    }

    /**
     * Tells the voters what this entry knows and did.
     * @returns the parameters of a question to the leader
     */
    createParameters(): SynchroniseParameters {
        const { version } = this.document;
        return {
            ...(version === undefined ? {} : { applied_version: version }),
            instance: this.options.settings.instance.id,
            known_index: this.view.knownIndex,
            loads: this.health.listLoads(),
            spending: this.budgets.listSpending(),
            limits_known: this.notices.limitsKnown,
        };
    }

    /**
     * Takes the upstreams that failed since the last call.
     * @returns their ids
     */
    takeSuspects(): readonly string[] {
        return this.health.takeSuspects();
    }

    /**
     * Takes what a leader told.
     * @param state - what this entry lacked
     */
    applyState(state: SynchronisedState): void {
        this.remoteLoads.record(state.loads_elsewhere);
        this.loadReportAge.recordReport();
        this.budgets.recordRemoteSpending(state.spending_elsewhere ?? {}, state.spending_known_ms ?? 0);
        this.view.applyUpstreams(state);
        this.crashes.applyState(state);
        this.notices.applyLimits(state.limits);
        state.suspects?.filter((id) => this.view.getUpstream(id)?.accelerator !== undefined).forEach((id) => {
            this.health.markDown(id, false);
        });
        const isKnown = (id: string): boolean => this.view.getUpstream(id) !== undefined;
        this.health.prune(isKnown);
        this.notices.prune(isKnown);
        this.options.connections.closeUnknown(isKnown);
    }

    /**
     * Handles a request of a caller.
     * @param message - the request
     * @param response - its answer
     */
    handle(message: IncomingMessage, response: ServerResponse): void {
        this.openCount += 1;
        void this.serve(message, response).catch((error: unknown) => {
            this.options.log.record("error", "request-fault", { reason: String(error) });
            response.destroy();
        }).finally(() => {
            this.openCount -= 1;
        });
    }

    private async serve(message: IncomingMessage, response: ServerResponse): Promise<void> {
        const { codec, isStopping, getNowMs } = this.options;
        const arrivedMs = getNowMs();
        const call = codec.parseCall(message);
        const answer = new RoutedAnswer(response, codec, isStopping);
        if (!this.options.acceptsRequests()) {
            message.resume();
            this.refuse(call, answer, "stopping", arrivedMs);
            return;
        }
        const body = await readCallerBody(message, this.view.routing?.table.limits.body_bytes);
        if (body === "too-large" || body === "unreadable") {
            this.refuse(call, answer, body === "too-large" ? "body-too-large" : "unreadable", arrivedMs);
            return;
        }
        const admission = await this.admission.admitOrWait(call, () => response.closed);
        if (admission.kind === "refused") {
            this.refuse(call, answer, admission.refusal, arrivedMs);
            return;
        }
        const { route, service, organisation, basis } = admission;
        await this.run({ call, route, service, organisation, basis, body, arrivedMs }, response, answer);
    }

    private async run(admitted: AdmittedCall, response: ServerResponse, answer: RoutedAnswer): Promise<void> {
        const run = new RoutedRun(admitted, this.options.getNowMs);
        const handleClose = (): void => {
            if (!response.writableFinished) {
                run.stop("caller-left");
            }
        };
        response.once("close", handleClose);
        this.budgets.get(admitted.service.name).recordRequest();
        const end = await handleRoutedRequest(run, answer, this.functions);
        run.close();
        this.notices.rateLimiter.withdraw(run);
        recordRequest(this.options, run, end, this.createEntryState(), ({ admitted: one }) => ({
            ...this.crashes.describe(one),
        }));
    }

    private refuse(call: RoutedCall, answer: RoutedAnswer, id: RefusalId, arrivedMs: number): void {
        const ageMs = this.options.getNowMs() - arrivedMs;
        answer.sendRefusal(call, refusals[id], { leftMs: (call.deadlineMs ?? 0) - ageMs });
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
        const { connections, codec, getNowMs, getAgeMs, log, settings } = this.options;
        return {
            getConnections: (target) => connections.get(target),
            codec,
            getNowMs,
            chooseTarget: (run, lastEventId, isUnderWay) => this.chooser.choose(run, lastEventId, isUnderWay),
            mayUseKey: () => isKeyLeaseValid({ ageMs: getAgeMs(), revocationMs: settings.contract.revocation }),
            recordStart: (id) => {
                this.health.recordRequestStart(id);
            },
            recordStarted: (id) => {
                this.health.recordFirstToken(id);
            },
            recordEnd: (id) => {
                this.health.recordEnd(id);
            },
            recordAnswer: (id, durationMs, isFailure) => {
                this.health.recordAnswer(id, durationMs, isFailure);
            },
            suspect: (id, reason) => {
                this.faultHandler.suspect(id, reason);
            },
            recordDecline: (id, reason) => void this.faultHandler.handleDecline(id, reason),
            findIdAt: (address) => this.view.findIdAt(address),
            claimRepeat: (service, isUnderWay) => this.budgets.get(service).claimRepeat(isUnderWay),
            askStall: (target, requestId) =>
                this.engineReports.checkStall({ id: target.upstreamId, address: target.address }, requestId),
            followPath: (target, pauseMs, leave) =>
                this.stallDetector.follow(getPathKey(target.stages ?? []), pauseMs, leave),
            claimLeave: (run, isUnderWay) => this.claimLeave(run, isUnderWay),
            hasEnded: (id) => this.view.hasEnded(id),
            notices: this.notices.createFunctions(),
            crashes: this.createCrashFunctions(),
            record: (event, fields) => {
                log.record("info", event, fields);
            },
        };
    }

    private createCrashFunctions(): RoutedRequestFunctions["crashes"] {
        const { crashes } = this;
        return {
            isHeld: (admitted) => crashes.isHeld(admitted),
            claimTrial: (admitted) => crashes.claimTrial(admitted),
            recordCrash: (run, upstream, hadProgress) => {
                crashes.recordCrash(run, upstream, hadProgress);
            },
            recordUnanswered: (run, ended) => {
                crashes.recordUnanswered(run, ended);
            },
            recordRanWell: (admitted) => {
                crashes.recordCompletion(admitted);
            },
        };
    }

    /** The balancer spreads callers over the entries, so others are taken to send as much as this one. */
    private estimateUnreported(service: string): number {
        const others = this.options.countEntries() - 1;
        return others * this.budgets.get(service).requestsASecond * this.loadReportAge.getMeanAgeMs() / MS_PER_SECOND;
    }

    /** A stream leaves a path only where it may run once more, has somewhere to go and a repeat is left. */
    private claimLeave(run: RoutedRun, isUnderWay: boolean): boolean {
        const { route, service } = run.admitted;
        return run.ranOn.size + 1 < route.most_attempts
            && this.chooser.hasOtherPath(run)
            && this.budgets.get(service.name).claimRepeat(isUnderWay);
    }
}
