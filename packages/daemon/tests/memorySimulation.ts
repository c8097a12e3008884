/**
 * Entries, a leader and engines whose memory is bounded, on a paused clock and without a network.
 */
import { computeContextTokens, computeHeldTokens, LearnedRoom } from "@crankfork/decisions";
import type { EngineProfile, RegisteredUpstream, Route, RoutedService } from "@crankfork/schemas";
import {
    suspectParametersSchema,
    synchroniseParametersSchema,
    type SynchroniseResult,
    type UpstreamLoads,
    upstreamLoadsSchema,
} from "@crankfork/schemas";
import type { EngineEndpoint, ReportResult } from "../src/connection/engineControl.js";
import { EngineReportCache } from "../src/process/entry/engineReportCache.js";
import { EngineShortage } from "../src/process/entry/engineShortage.js";
import { LeaderSync } from "../src/process/entry/leaderSync.js";
import { LeavingNotices } from "../src/process/entry/leavingNotices.js";
import { LoadReportAge } from "../src/process/entry/loadReportAge.js";
import { RemoteLoads } from "../src/process/entry/remoteLoads.js";
import { RetryBudgets } from "../src/process/entry/retryBudgets.js";
import { TargetChooser } from "../src/process/entry/targetChooser.js";
import { UpstreamFaultHandler } from "../src/process/entry/upstreamFaultHandler.js";
import { UpstreamHealth } from "../src/process/entry/upstreamHealth.js";
import { UpstreamBackoffs } from "../src/process/upstreamBackoffs.js";
import { EntryRegistry } from "../src/process/voter/entryRegistry.js";
import { SuspectProbe } from "../src/process/voter/suspectProbe.js";
import { RequestContext } from "../src/request/requestContext.js";
import { FleetView } from "../src/version/fleetView.js";
import { createHoldingEngine } from "../src/version/holdingEngine.js";
import { confirmedBasis, noRollout } from "./configurationFakes.js";
import type { InstalledClock } from "./installedClock.js";
import { emptyReport, LeaderHarness, log } from "./leaderHarness.js";
import { createSends, noLimits } from "./limitFakes.js";

/** Eight layers; each engine holds half of them and has memory for 100,000 tokens. */
export const profile: EngineProfile = {
    layers: 8,
    layer_mb: 100,
    token_bytes: 1_000,
    capacity_tokens: 100_000,
    slots: 256,
    step_ms: 40,
    step_ms_a_request: 0,
    read_tokens_a_second: 100_000,
    load_ms: 1_000,
    usual_prompt_tokens: 800,
    usual_answer_tokens: 180,
    accelerators: [{ name: "half", memory_mb: 450, step_factor: 1, read_factor: 1 }],
};
const route: Route = {
    name: "r",
    host: "h",
    prefix: "/",
    kind: "stream",
    is_repeatable: true,
    timeout_ms: 20_000,
    objective_ms: 500,
    priority: 1,
    most_attempts: 2,
    is_anonymous: true,
    targets: [],
};
const retryTerms = { ratio: 0.1, slack: 10, windowMs: 10_000 };
/** One-way latency between two instances. */
const LATENCY_MS = 1;
const MS_PER_ANSWER_TOKEN = 15;
/** Steps in which an answer takes memory. */
const GROWTH_STEPS = 8;

/** Whether an instance runs the build before declines were reported apart from failures. */
export type Build = "this" | "previous";

/** A simulated request, and how it ended. */
export interface SimulatedRequest {
    readonly atMs: number;
    readonly tokens: number;
    readonly domain: string | undefined;
    readonly end: "served" | "declined" | "full";
}

/** A domain's engines: two copies of the first stage before one engine of the later layers. */
export function createDomain(domain: string): readonly RegisteredUpstream[] {
    return ["first-1", "first-2", "last"].map((name) => ({
        id: `${name}-${domain}`,
        service: "s",
        address: `${name}-${domain}`,
        failure_domain: domain,
        slots: profile.slots,
        accelerator: "half",
        status: "ready",
        held: name === "last" ? { first: 4, end: 8 } : { first: 0, end: 4 },
    }));
}

/** A fleet whose engines decline requests that their memory cannot hold. */
export class MemorySimulation {
    readonly requests: SimulatedRequest[] = [];
    /** Attempts that an engine declined. */
    readonly declines: { readonly atMs: number; readonly engine: string; }[] = [];
    /** Memory of an engine that other work holds. */
    readonly otherTokens = new Map<string, number>();
    readonly gone = new Set<string>();
    /** Times at which an engine paused a stream since its memory was full. */
    readonly preemptions: number[] = [];
    readonly service: RoutedService;
    get booked(): number {
        return this.entries.reduce(
            (a, e) => a + ["f1-a", "f2-a", "f3-a", "f4-a"].reduce((b, id) => b + (e.health.getLoad(id).tokens ?? 0), 0),
            0,
        );
    }
    /** Whether reports of engines that are gone fail at once, as on a refused connection, or after 350 ms. */
    isRefusing = false;
    isLeaderReachable = true;
    leaderBuild: Build = "this";
    readonly entries: SimulatedEntry[];
    readonly harness = new LeaderHarness();
    private readonly memory = new Map<string, number>();
    private readonly used = new Map<string, number>();
    private probe!: SuspectProbe;
    private registry!: EntryRegistry;
    private state: number;

    constructor(
        private readonly clock: InstalledClock,
        readonly engines: readonly RegisteredUpstream[],
        entries: number,
        seed: number,
        engine: EngineProfile = profile,
    ) {
        this.state = seed;
        this.service = { name: "s", engine };
        engines.flatMap(createHoldingEngine).forEach((one) => {
            this.memory.set(one.id, computeContextTokens({ engine: one, span: one.span }, engine));
        });
        this.restartLeader();
        const { host } = this.harness;
        const propose = host.propose.bind(host);
        host.propose = async (command) => {
            const result = await propose(command);
            this.registry.handleStateChange();
            return result;
        };
        this.entries = Array.from(
            { length: entries },
            (_, index) => new SimulatedEntry(this, `entry-${String(index)}`),
        );
    }

    get nowMs(): number {
        return performance.now();
    }

    /** Replaces the leader's soft state, as an election does. */
    restartLeader(): void {
        const { host, upstreams, control } = this.harness;
        const getNowMs = (): number => this.nowMs;
        this.probe = new SuspectProbe({
            host,
            upstreams,
            control: { ...control, getReport: (engine) => this.getReport(engine) },
            getNowMs,
            handleCorroboration: () => {
                this.registry.handleStateChange();
            },
        });
        const { probe } = this;
        this.registry = new EntryRegistry({
            host,
            getNowMs,
            rollout: noRollout,
            listSuspects: () => probe.listCorroborated(),
            limits: noLimits,
        });
    }

    async start(): Promise<void> {
        let sequence = 0;
        for (const { status, ...facts } of this.engines) {
            await this.harness.upstreams.registerUpstream({ facts, status, sequence: sequence += 1 });
        }
        // Entries that all ask at the same moment would all know the loads of the moment before.
        for (const entry of this.entries) {
            entry.sync.start();
            await this.clock.tickAsync(600 / this.entries.length);
        }
    }

    /** Replaces entries, as a restart does; their requests go on. */
    restartEntries(count: number): void {
        for (let index = 0; index < count; index += 1) {
            this.entries[index]?.sync.stop();
            const entry = new SimulatedEntry(this, `entry-${String(index)}`);
            this.entries[index] = entry;
            entry.sync.start();
        }
    }

    stop(): void {
        this.entries.forEach((entry) => {
            entry.sync.stop();
        });
    }

    /** Sends requests at random times for a while. */
    async send(
        perSecond: number,
        durationMs: number,
        drawSize: (draw: number) => RequestTokens = drawUsualSize,
    ): Promise<void> {
        const endMs = this.nowMs + durationMs;
        for (;;) {
            const gapMs = -Math.log(1 - this.draw()) * 1_000 / perSecond;
            if (this.nowMs + gapMs >= endMs) {
                await this.clock.tickAsync(endMs - this.nowMs);
                return;
            }
            await this.clock.tickAsync(gapMs);
            const entry = this.entries[Math.floor(this.draw() * this.entries.length)];
            void entry?.serve(drawSize(this.draw()));
        }
    }

    /** Returns a number from 0 up to 1, by a linear congruential generator. */
    draw(): number {
        this.state = (this.state * 1_664_525 + 1_013_904_223) % 2 ** 32;
        return this.state / 2 ** 32;
    }

    async call(method: string, parameters: object): Promise<unknown> {
        await this.delay(LATENCY_MS);
        if (!this.isLeaderReachable) {
            throw new Error("unreachable");
        }
        const raw: unknown = JSON.parse(
            JSON.stringify(parameters, this.leaderBuild === "this" ? undefined : dropTokens),
        );
        if (method === "suspect") {
            const { declined = [], ...suspects } = suspectParametersSchema.parse(raw);
            this.probe.handleSuspects(this.leaderBuild === "this" ? { ...suspects, declined } : suspects);
            return {};
        }
        const result: SynchroniseResult = await this.registry.synchronise(synchroniseParametersSchema.parse(raw));
        await this.delay(LATENCY_MS);
        return JSON.parse(JSON.stringify(result)) as unknown;
    }

    async getReport({ id }: EngineEndpoint): Promise<ReportResult> {
        if (this.gone.has(id)) {
            await this.delay(this.isRefusing ? LATENCY_MS : 350);
            return { kind: "failed", reason: "no answer" };
        }
        await this.delay(2 * LATENCY_MS);
        return { ...emptyReport, held: this.engines.find((one) => one.id === id)?.held };
    }

    /** Runs a request on a path; resolves to the engine that declined it, if one did. */
    async run(path: readonly string[], size: RequestTokens, handleFirst: () => void): Promise<string | undefined> {
        await this.delay(2 * LATENCY_MS);
        const fault = path.find((id) => this.gone.has(id)) ?? path.find((id) => !this.hasMemory(id, size.prompt));
        if (fault !== undefined) {
            this.declines.push({ atMs: this.nowMs, engine: fault });
            return fault;
        }
        this.addTokens(path, size.prompt);
        await this.delay(size.prompt / 8);
        handleFirst();
        let held = size.prompt;
        for (let step = 0; step < GROWTH_STEPS; step += 1) {
            const grown = size.answer / GROWTH_STEPS;
            if (!path.every((id) => this.hasMemory(id, grown))) {
                this.preemptions.push(this.nowMs);
                this.addTokens(path, -held);
                while (!path.every((id) => this.hasMemory(id, held + grown))) {
                    await this.delay(50);
                }
                this.addTokens(path, held);
            }
            this.addTokens(path, grown);
            held += grown;
            await this.delay(grown * MS_PER_ANSWER_TOKEN);
        }
        this.addTokens(path, -held);
        return undefined;
    }

    /** Tokens in an engine's memory now. */
    getUsedTokens(id: string): number {
        return this.used.get(id) ?? 0;
    }

    delay(ms: number): Promise<void> {
        return new Promise((resolve) => setTimeout(resolve, ms));
    }

    private hasMemory(id: string, tokens: number): boolean {
        return this.getUsedTokens(id) + tokens <= (this.memory.get(id) ?? 0) - (this.otherTokens.get(id) ?? 0);
    }

    private addTokens(path: readonly string[], tokens: number): void {
        path.forEach((id) => this.used.set(id, (this.used.get(id) ?? 0) + tokens));
    }
}

/** Size of a request in tokens. */
export interface RequestTokens {
    readonly prompt: number;
    readonly answer: number;
}

/** Leaves out what the build before tokens were counted did not know. */
function dropTokens(key: string, value: unknown): unknown {
    return key === "tokens" || key === "sized_open" ? undefined : value;
}

const drawUsualSize = (): RequestTokens => ({
    prompt: profile.usual_prompt_tokens,
    answer: profile.usual_answer_tokens,
});

/** The parts of an entry that choose paths and track faults. */
class SimulatedEntry {
    build: Build = "this";
    readonly health: UpstreamHealth;
    readonly sync: LeaderSync;
    /** What it reports as the tokens of its requests, if not what they are. */
    reportedTokens: unknown;
    /** Time of the last declined attempt, by engine. */
    readonly declinedMs = new Map<string, number>();
    private readonly view = new FleetView();
    private readonly faults: UpstreamFaultHandler;
    private readonly remoteLoads: RemoteLoads;
    private readonly loadAge: LoadReportAge;
    private readonly budgets: RetryBudgets;
    private readonly learned: LearnedRoom;
    readonly chooser: TargetChooser;
    get unreported(): number {
        return (this.sync.countEntries() - 1) * this.requestsPerSecond * this.loadAge.getMeanAgeMs() / 1_000;
    }

    constructor(private readonly fleet: MemorySimulation, instance: string) {
        const { view } = this;
        const getNowMs = (): number => fleet.nowMs;
        this.health = new UpstreamHealth(getNowMs);
        this.learned = new LearnedRoom(getNowMs);
        this.loadAge = new LoadReportAge(getNowMs);
        this.budgets = new RetryBudgets(retryTerms, () => this.sync.countEntries(), getNowMs, () => 0);
        this.sync = new LeaderSync({
            peers: { call: (_address, method, parameters) => fleet.call(method, parameters), send: () => undefined },
            log,
            getNowMs,
            getLastResumeMs: () => Number.NEGATIVE_INFINITY,
            getSeeds: () => ["voter"],
            instance,
            createParameters: () => ({ instance, known_index: view.knownIndex, loads: this.listLoads() }),
            takeSuspects: () =>
                this.build === "this"
                    ? this.health.takeSuspects()
                    : [...this.health.takeSuspects(), ...this.health.takeDeclined()],
            takeDeclined: () => this.build === "this" ? this.health.takeDeclined() : [],
            handleState: (state) => {
                this.loadAge.recordReport();
                this.remoteLoads.record(upstreamLoadsSchema.parse(state.loads_elsewhere));
                view.applyUpstreams(state);
                const named = state.suspects ?? [];
                if (this.build === "this") {
                    this.health.applyNamed(named);
                }
                else {
                    named.forEach((id) => {
                        this.health.markDown(id, false);
                    });
                }
            },
            getAppliedVersion: () => undefined,
            handleDocument: () => undefined,
            random: () => fleet.draw(),
        });
        this.remoteLoads = new RemoteLoads({
            getNowMs,
            getLocalLoad: (id) => this.health.getLoad(id),
            countEntries: () => this.sync.countEntries(),
        });
        this.faults = new UpstreamFaultHandler({
            view,
            health: this.health,
            engineReports: new EngineReportCache({
                getReport: (engine) => fleet.getReport(engine),
                placeLayers: () => Promise.resolve({ kind: "begun" }),
            }, getNowMs),
            log,
            getNowMs: () => performance.now(),
            countSuspicion: () => undefined,
            reportSuspects: () => {
                this.sync.reportSuspects();
            },
            isMemoryChecked: () => true,
            getUsedTokens: (id) => this.chooser.getUsedTokens(id),
            handleShortage: (id, tokens) => {
                this.learned.recordDecline(id, tokens);
            },
        });
        const countNone = (): undefined => undefined;
        this.chooser = new TargetChooser({
            instance,
            view,
            health: this.health,
            shortage: new EngineShortage(getNowMs),
            backoffs: new UpstreamBackoffs({
                getNowMs,
                log,
                metrics: {
                    countBackoff: countNone,
                    countSuppressedSend: countNone,
                    countSendDuringBackoff: countNone,
                },
            }),
            leaving: new LeavingNotices({
                instance,
                getNowMs,
                log,
                metrics: { countLeavingNotice: countNone },
                drainMs: 2_000,
                askLeader: () => Promise.resolve({ is_taken: true }),
            }),
            rateLimiter: createSends(getNowMs).rateLimiter,
            getRemoteLoad: (id) => this.remoteLoads.get(id),
            isMemoryChecked: () => true,
            getSteadyShare: (id) => this.remoteLoads.getSteadyShare(id),
            isPathAvoided: () => false,
            estimateUnreported: () =>
                (this.sync.countEntries() - 1) * this.requestsPerSecond * this.loadAge.getMeanAgeMs() / 1_000,
            countEntries: () => this.sync.countEntries(),
            getRequestsPerSecond: () => this.requestsPerSecond,
            getLoadAgeMs: () => this.loadAge.getMeanAgeMs(),
            getLimitTokens: (id, tokens) => this.learned.getLimitTokens(id, tokens),
            random: () => fleet.draw(),
        });
    }

    /** Serves a request: two attempts at most, with a wait for a path with room as in `waitForTarget`. */
    async serve(size: RequestTokens): Promise<void> {
        const atMs = this.fleet.nowMs;
        const run = this.createRun(size);
        const heldTokens = computeHeldTokens({ promptTokens: size.prompt, answerTokens: size.answer });
        this.budgets.get("s").recordRequest();
        let domain: string | undefined;
        let end: SimulatedRequest["end"] = "full";
        while (run.attempts < route.most_attempts && this.fleet.nowMs - atMs <= route.objective_ms * 0.15) {
            const choice = this.chooser.choose(run, undefined, false);
            if (choice.kind !== "target") {
                await this.fleet.delay(40);
                continue;
            }
            const { upstreamId: id, stages = [] } = choice.target;
            domain = stages[0]?.engine.failureDomain;
            run.attempts += 1;
            run.attemptedUpstreams.add(id);
            const sentMs = this.fleet.nowMs;
            this.health.recordRequestStart(id, undefined, heldTokens);
            const recordFirst = (): void => {
                this.health.recordFirstToken(id);
            };
            const fault = await this.fleet.run(stages.map(({ engine }) => engine.id), size, recordFirst);
            this.health.recordEnd(id, undefined, heldTokens);
            if (fault === undefined) {
                this.health.recordAnswer(id, this.fleet.nowMs - sentMs, false);
                end = "served";
                break;
            }
            recordFirst();
            end = "declined";
            this.declinedMs.set(fault, this.fleet.nowMs);
            void this.faults.handleDecline(fault, "declined");
        }
        this.fleet.requests.push({ atMs, tokens: size.prompt + size.answer, domain, end });
    }

    private listLoads(): UpstreamLoads {
        const loads = this.health.listLoads();
        const { reportedTokens } = this;
        const replace = (key: string, value: unknown): unknown =>
            key !== "tokens" || reportedTokens === undefined ? value : reportedTokens;
        const drop = this.build === "this" ? replace : dropTokens;
        return JSON.parse(JSON.stringify(loads, drop)) as UpstreamLoads;
    }

    /** Chooses a path; returns its failure domain, or why there is none. */
    choose(size: RequestTokens, isUnderWay: boolean): string {
        const choice = this.chooser.choose(this.createRun(size), undefined, isUnderWay);
        return choice.kind === "target" ? choice.target.stages?.[0]?.engine.failureDomain ?? "" : choice.kind;
    }

    private get requestsPerSecond(): number {
        return this.budgets.get("s").requestsPerSecond;
    }

    /** Whether a new request may take a path through an engine. */
    isUsing(id: string): boolean {
        return !this.health.isDown(id) && !this.view.hasEnded(id);
    }

    private createRun(size: RequestTokens): RequestContext {
        const run = new RequestContext({
            call: {
                requestId: "1",
                method: "POST",
                host: "h",
                target: "/",
                path: "/",
                key: undefined,
                deadlineMs: route.timeout_ms,
                size: { promptTokens: size.prompt, answerTokens: size.answer },
                lastEventId: undefined,
                rawHeaders: [],
            },
            route,
            service: this.fleet.service,
            organisation: undefined,
            body: undefined,
            basis: confirmedBasis,
            arrivedMs: this.fleet.nowMs,
        }, () => this.fleet.nowMs);
        run.close();
        return run;
    }
}
