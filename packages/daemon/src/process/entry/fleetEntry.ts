/**
 * An entry of a fleet: it takes callers' requests, and knows by its link to the voters where they may go.
 */
import type { FleetSettings, RoutingTable, SynchronisedState, SynchroniseParameters } from "@crankfork/schemas";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { EngineControl } from "../../connection/engineControl.js";
import type { UpstreamConnections } from "../../connection/upstreamConnections.js";
import { isKeyLeaseValid } from "../../request/admitCall.js";
import { type AdmittedCall, RequestContext } from "../../request/requestContext.js";
import type { RoutedRequestFunctions } from "../../request/requestFunctions.js";
import type { CallCodec, RoutedCall } from "../../request/routedCall.js";
import { type RefusalId, refusals } from "../../request/routedRefusal.js";
import { handleRoutedRequest } from "../../request/routedRequest.js";
import { RoutedResponse } from "../../request/routedResponse.js";
import { DocumentInForce } from "../../version/documentInForce.js";
import { FleetView } from "../../version/fleetView.js";
import { readCallerBody } from "../callerBody.js";
import type { EventLog } from "../eventLog.js";
import type { FleetMetrics } from "../fleetMetrics.js";
import { CrashWatch } from "./crashWatch.js";
import { EngineShortage } from "./engineShortage.js";
import { EntryAdmission } from "./entryAdmission.js";
import { EntryNotices } from "./entryNotices.js";
import type { Confirmation } from "./fleetLink.js";
import { LoadsElsewhere } from "./loadsElsewhere.js";
import { getPathName } from "./pathName.js";
import { PathPulse } from "./pathPulse.js";
import { type EntryKnowledge, recordRefusal, recordRequest } from "./requestLog.js";
import { RetryBudgets } from "./retryBudgets.js";
import { StallReports } from "./stallReports.js";
import { StateAge } from "./stateAge.js";
import { TargetChooser } from "./targetChooser.js";
import { UpstreamFaults } from "./upstreamFaults.js";
import { UpstreamHealth } from "./upstreamHealth.js";

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
    readonly getNewerMs: () => number | undefined;
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
    readonly takesRequests: () => boolean;
}

/**
 * Part of the revocation time after which an entry that no leader confirms takes itself out of the balancer: keys
 * stop to work soon after.
 */
const READY_LEASE_SHARE = 0.6;
const MS_A_SECOND = 1_000;

/** Takes requests. */
export class FleetEntry {
    /** What operators want. */
    readonly document: DocumentInForce;
    private readonly view = new FleetView();
    private readonly health: UpstreamHealth;
    private readonly chooser: TargetChooser;
    private readonly stallReports: StallReports;
    private readonly admission: EntryAdmission;
    private readonly faults: UpstreamFaults;
    private readonly pulse: PathPulse;
    private readonly budgets: RetryBudgets;
    private readonly crashes: CrashWatch;
    private readonly notices: EntryNotices;
    private readonly functions: RoutedRequestFunctions;
    private readonly loadsElsewhere: LoadsElsewhere;
    private readonly stateAge: StateAge;
    private open = 0;

    /**
     * @param options - settings, codec, link and log
     */
    constructor(private readonly options: FleetEntryOptions) {
        this.document = new DocumentInForce({ ...options, view: this.view });
        this.health = new UpstreamHealth(options.getNowMs);
        this.admission = new EntryAdmission({ ...options, view: this.view, contract: options.settings.contract });
        this.stateAge = new StateAge(options.getNowMs);
        this.loadsElsewhere = new LoadsElsewhere({ ...options, getLoadHere: (id) => this.health.getLoad(id) });
        this.notices = new EntryNotices({ ...options, view: this.view, health: this.health });
        this.stallReports = new StallReports(this.notices.observe(options.control), options.getNowMs);
        this.faults = new UpstreamFaults({
            view: this.view,
            health: this.health,
            stallReports: this.stallReports,
            log: options.log,
            countSuspicion: () => {
                options.metrics.countSuspicion();
            },
            reportSuspects: options.reportSuspects,
        });
        this.pulse = new PathPulse({
            getNowMs: options.getNowMs,
            handleStill: (id, streams, silentMs) => void this.faults.handleStill(id, streams, silentMs),
        });
        this.chooser = new TargetChooser({
            rests: this.notices.rests,
            leaving: this.notices.leaving,
            sends: this.notices.sends,
            instance: options.settings.instance.id,
            getRequestsASecond: (service) => this.budgets.get(service).requestsASecond,
            view: this.view,
            health: this.health,
            shortage: new EngineShortage(options.getNowMs),
            getLoadElsewhere: (id) => this.loadsElsewhere.get(id),
            countUnseen: (service) => this.countUnseen(service),
            getLoadAgeMs: () => this.stateAge.getMeanMs(),
            isAvoided: (name) => this.pulse.isAvoided(name),
            countEntries: options.countEntries,
            random: options.random,
        });
        const { contract } = options.settings;
        const terms = { ratio: contract.retry_ratio, slack: contract.retry_slack, windowMs: contract.retry_window };
        this.budgets = new RetryBudgets(terms, options.countEntries, options.getNowMs);
        this.crashes = new CrashWatch({
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
        return this.open;
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
        this.loadsElsewhere.record(state.loads_elsewhere);
        this.stateAge.recordState();
        this.budgets.recordElsewhere(state.spending_elsewhere ?? {}, state.spending_known_ms ?? 0);
        this.view.applyUpstreams(state);
        this.crashes.applyState(state);
        this.notices.applyLimits(state.limits);
        state.suspects?.filter((id) => this.view.getUpstream(id)?.accelerator !== undefined).forEach((id) => {
            this.health.markAbsent(id, false);
        });
        const isKnown = (id: string): boolean => this.view.getUpstream(id) !== undefined;
        this.health.forget(isKnown);
        this.notices.sweep(isKnown);
        this.options.connections.closeStale(isKnown);
    }

    /**
     * Handles a request of a caller.
     * @param message - the request
     * @param response - its answer
     */
    handle(message: IncomingMessage, response: ServerResponse): void {
        this.open += 1;
        void this.serve(message, response).catch((error: unknown) => {
            this.options.log.record("error", "request-fault", { reason: String(error) });
            response.destroy();
        }).finally(() => {
            this.open -= 1;
        });
    }

    private async serve(message: IncomingMessage, response: ServerResponse): Promise<void> {
        const { codec, isStopping, getNowMs } = this.options;
        const arrivedMs = getNowMs();
        const call = codec.parseCall(message);
        const answer = new RoutedResponse(response, codec, isStopping);
        if (!this.options.takesRequests()) {
            message.resume();
            this.refuse(call, answer, "stopping", arrivedMs);
            return;
        }
        const body = await readCallerBody(message, this.view.routing?.table.limits.body_bytes);
        if (body === "too-large" || body === "unreadable") {
            this.refuse(call, answer, body === "too-large" ? "body-too-large" : "unreadable", arrivedMs);
            return;
        }
        const admission = await this.admission.admitPatiently(call, () => response.closed);
        if (admission.kind === "refused") {
            this.refuse(call, answer, admission.refusal, arrivedMs);
            return;
        }
        const { route, service, organisation, basis } = admission;
        await this.run({ call, route, service, organisation, basis, body, arrivedMs }, response, answer);
    }

    private async run(admitted: AdmittedCall, response: ServerResponse, answer: RoutedResponse): Promise<void> {
        const run = new RequestContext(admitted, this.options.getNowMs);
        const handleClose = (): void => {
            if (!response.writableFinished) {
                run.stop("caller-left");
            }
        };
        response.once("close", handleClose);
        this.budgets.get(admitted.service.name).recordRequest();
        const end = await handleRoutedRequest(run, answer, this.functions);
        run.close();
        this.notices.sends.withdraw(run);
        recordRequest(this.options, run, end, this.createKnowledge(), ({ admitted: one }) => ({
            ...this.crashes.describe(one),
        }));
    }

    private refuse(call: RoutedCall, answer: RoutedResponse, id: RefusalId, arrivedMs: number): void {
        const ageMs = this.options.getNowMs() - arrivedMs;
        answer.sendRefusal(call, refusals[id], { remainingMs: (call.deadlineMs ?? 0) - ageMs });
        recordRefusal(this.options, call, refusals[id], ageMs, this.createKnowledge());
    }

    private createKnowledge(): EntryKnowledge {
        return {
            version: this.view.routing?.table.version,
            index: this.view.knownIndex,
            ageMs: this.options.getAgeMs(),
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
            isKeyUsable: () => isKeyLeaseValid({ ageMs: getAgeMs(), revocationMs: settings.contract.revocation }),
            recordStart: (id) => {
                this.health.recordStart(id);
            },
            recordFirstOutput: (id) => {
                this.health.recordStarted(id);
            },
            recordEnd: (id) => {
                this.health.recordEnd(id);
            },
            recordAnswer: (id, durationMs, isFailure) => {
                this.health.recordAnswer(id, durationMs, isFailure);
            },
            suspect: (id, reason) => {
                this.faults.suspect(id, reason);
            },
            recordDecline: (id, reason) => void this.faults.handleDecline(id, reason),
            findIdAt: (address) => this.view.findIdAt(address),
            claimRetry: (service, isUnderWay) => this.budgets.get(service).claimRepeat(isUnderWay),
            queryStall: (target, requestId) =>
                this.stallReports.ask({ id: target.upstreamId, address: target.address }, requestId),
            watchPath: (target, pauseMs, leave) => this.pulse.follow(getPathName(target.stages ?? []), pauseMs, leave),
            claimPathSwitch: (run, isUnderWay) => this.claimLeave(run, isUnderWay),
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
            isQuarantined: (admitted) => crashes.isHeld(admitted),
            claimTrial: (admitted) => crashes.claimTrial(admitted),
            recordCrash: (run, upstream, hadProgress) => {
                crashes.recordCrash(run, upstream, hadProgress);
            },
            recordUnanswered: (run, ended) => {
                crashes.recordUnanswered(run, ended);
            },
            recordSuccess: (admitted) => {
                crashes.recordRanWell(admitted);
            },
        };
    }

    /** The balancer spreads callers over the entries, so others are taken to send as much as this one. */
    private countUnseen(service: string): number {
        const others = this.options.countEntries() - 1;
        return others * this.budgets.get(service).requestsASecond * this.stateAge.getMeanMs() / MS_A_SECOND;
    }

    /** A stream leaves a path only where it may run once more, has somewhere to go and a repeat is left. */
    private claimLeave(run: RequestContext, isUnderWay: boolean): boolean {
        const { route, service } = run.admitted;
        return run.mayHaveRunOn.size + 1 < route.most_attempts
            && this.chooser.hasOtherPath(run)
            && this.budgets.get(service.name).claimRepeat(isUnderWay);
    }
}
