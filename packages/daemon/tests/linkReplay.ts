import type { ChainLoad } from "@crankfork/decisions";
import {
    type EngineProfile,
    type RegisteredUpstream,
    type Route,
    synchroniseParametersSchema,
    synchroniseResultSchema,
} from "@crankfork/schemas";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { EngineShortage } from "../src/process/entry/engineShortage.js";
import { LeavingNotices } from "../src/process/entry/leavingNotices.js";
import { LinkMonitor } from "../src/process/entry/linkMonitor.js";
import { TargetChooser } from "../src/process/entry/targetChooser.js";
import { UpstreamHealth } from "../src/process/entry/upstreamHealth.js";
import type { EventFields } from "../src/process/eventLog.js";
import { UpstreamBackoffs } from "../src/process/upstreamBackoffs.js";
import { LinkRegistry } from "../src/process/voter/linkRegistry.js";
import { RequestContext } from "../src/request/requestContext.js";
import { FleetView } from "../src/version/fleetView.js";
import { confirmedBasis } from "./configurationFakes.js";
import { createFullState } from "./fullState.js";
import { createSends } from "./limitFakes.js";

const profile: EngineProfile = {
    layers: 8,
    layer_mb: 100,
    token_bytes: 0,
    capacity_tokens: 1,
    slots: 96,
    step_ms: 18,
    step_ms_a_request: 0,
    read_tokens_a_second: 100_000,
    load_ms: 1_000,
    usual_prompt_tokens: 500,
    usual_answer_tokens: 200,
    accelerators: [{ name: "whole", memory_mb: 900, step_factor: 1, read_factor: 1 }],
};
const route: Route = {
    name: "r",
    host: "h",
    prefix: "/",
    kind: "stream",
    is_repeatable: true,
    timeout_ms: 20_000,
    objective_ms: 500,
    pause_objective_ms: 250,
    priority: 1,
    most_attempts: 2,
    is_anonymous: true,
    targets: [],
};
const call = {
    requestId: "1",
    method: "POST",
    host: "h",
    target: "/",
    path: "/",
    key: undefined,
    deadlineMs: 20_000,
    size: undefined,
    lastEventId: undefined,
    rawHeaders: [],
};
const nullLog = { record: () => undefined };
const nullMetrics = {
    countBackoff: () => undefined,
    countSuppressedSend: () => undefined,
    countSendDuringBackoff: () => undefined,
    countLeavingNotice: () => undefined,
};

/** How entries learn of links that lose packets. */
export type LinkPolicy = "none" | "own-observations" | "fleet-sums" | "always-own-domain";

/** A replay on a clock that only the replay advances. */
export interface LinkReplayOptions {
    readonly policy: LinkPolicy;
    readonly entries: number;
    readonly endMs: number;
    readonly seed?: number;
    /** Engines that hold the whole model, by domain. */
    readonly engines?: Readonly<Record<string, number>>;
    /** Share of packets that the links from an entry's domain to an engine's lose. */
    readonly getLoss?: (from: string, to: string, nowMs: number) => number;
    /** Shortest gap between events; a path's gap is up to half more. */
    readonly gapMs?: number;
    /** Largest random addition to a gap. */
    readonly jitterMs?: number;
    /** An engine that sends nothing for a while; half of its streams move. */
    readonly silent?: { readonly engine: string; readonly fromMs: number; readonly toMs: number; };
    /** Whether the leader answers an entry's report; another term begins where `getTerm` changes. */
    readonly hasLeader?: (nowMs: number) => boolean;
    readonly getTerm?: (nowMs: number) => number;
    /** Entries of the build without these members. */
    readonly isOldEntry?: (index: number) => boolean;
    /** The leader's build does not know these members. */
    readonly isOldVoter?: boolean;
    /** Replaces the report of an entry. */
    readonly corrupt?: (index: number, links: unknown) => unknown;
    /** When entries of an even index restart. */
    readonly restartMs?: number;
    /** Domain of the leader. */
    readonly leaderDomain?: string;
}

/** A stream as its caller saw it. */
export interface ReplayedStream {
    readonly from: string;
    readonly to: string;
    readonly engine: string;
    readonly startMs: number;
    maxPauseMs: number;
}

/** What happened. */
export interface LinkReplayResult {
    readonly streams: readonly ReplayedStream[];
    /** Lines `link-loss`, with the time. */
    readonly changes: readonly ({ readonly atMs: number; } & EventFields)[];
    readonly maxReportBytes: number;
    readonly maxAnswerBytes: number;
}

const REQUESTS_PER_S = 190;
const DOMAINS = ["a", "b", "c"];
const PROMPT_MS = 200;
const RESEND_MS = 200;
const MOVE_AFTER_MS = 130;
const MS_PER_SECOND = 1_000;

interface Entry {
    readonly index: number;
    readonly id: string;
    readonly domain: string;
    monitor: LinkMonitor;
    readonly health: UpstreamHealth;
    readonly chooser: TargetChooser;
    remote: ReadonlyMap<string, number>;
}

/** Runs entries, engines and a leader without a network. */
export class LinkReplay {
    private nowMs = 0;
    private readonly random: () => number;
    private readonly due = new Map<number, (() => void)[]>();
    private readonly open = new Map<string, number>();
    private readonly streams: ReplayedStream[] = [];
    private readonly changes: ({ readonly atMs: number; } & EventFields)[] = [];
    private readonly upstreams: readonly RegisteredUpstream[];
    private readonly registry: LinkRegistry;
    private term = 1;
    private maxReportBytes = 0;
    private maxAnswerBytes = 0;

    /** @param options - load and faults */
    constructor(private readonly options: LinkReplayOptions) {
        this.random = createRandom(options.seed ?? 7);
        const engines = Object.entries(options.engines ?? { a: 8, b: 8, c: 8 });
        this.upstreams = engines.flatMap(([domain, count]) =>
            Array.from({ length: count }, (_unused, index) => ({
                id: `${domain}${String(index)}`,
                service: "s",
                address: `${domain}${String(index)}`,
                failure_domain: domain,
                slots: profile.slots,
                accelerator: "whole",
                status: "ready" as const,
                held: { first: 0, end: 8 },
            }))
        );
        this.registry = new LinkRegistry({
            getNowMs: () => this.nowMs,
            log: {
                record: (_level, _event, fields) => {
                    this.changes.push({ atMs: this.nowMs, ...fields });
                },
            },
            metrics: { recordLossyLinks: () => undefined },
        });
    }

    /** @returns streams and changes */
    run(): LinkReplayResult {
        const entries = Array.from({ length: this.options.entries }, (_unused, index) => this.createEntry(index));
        entries.forEach((entry) => {
            this.schedule(this.random() * 500, () => {
                this.report(entry);
            });
        });
        for (; this.nowMs < this.options.endMs; this.nowMs += 1) {
            if (this.nowMs === this.options.restartMs) {
                entries.filter(({ index }) => index % 2 === 0).forEach((entry) => {
                    entry.monitor = this.createMonitor(entry.domain);
                });
            }
            if (this.random() < REQUESTS_PER_S / MS_PER_SECOND) {
                this.startRequest(entries[Math.floor(this.random() * entries.length)] as Entry);
            }
            const tasks = this.due.get(this.nowMs) ?? [];
            this.due.delete(this.nowMs);
            // A task may add one for the same moment.
            for (let task = tasks.shift(); task !== undefined; task = tasks.shift()) {
                task();
            }
        }
        const { streams, changes, maxReportBytes, maxAnswerBytes } = this;
        return { streams, changes, maxReportBytes, maxAnswerBytes };
    }

    private schedule(delayMs: number, task: () => void): void {
        const atMs = this.nowMs + Math.max(1, Math.round(delayMs));
        const tasks = this.due.get(atMs);
        if (tasks === undefined) {
            this.due.set(atMs, [task]);
        }
        else {
            tasks.push(task);
        }
    }

    private createMonitor(domain: string): LinkMonitor {
        return new LinkMonitor({ domain, getNowMs: () => this.nowMs });
    }

    private createEntry(index: number): Entry {
        const { options } = this;
        const getNowMs = (): number => this.nowMs;
        const id = `entry-${String(index)}`;
        const domain = DOMAINS[index % DOMAINS.length] ?? "";
        const view = new FleetView();
        view.applyUpstreams(createFullState(1, this.upstreams));
        const health = new UpstreamHealth(getNowMs);
        const isLossy = (to: string): boolean =>
            options.policy === "always-own-domain" ? to !== domain : entry.monitor.isLossy(to);
        const chooser = new TargetChooser({
            instance: id,
            view,
            health,
            shortage: new EngineShortage(getNowMs),
            backoffs: new UpstreamBackoffs({ getNowMs, log: nullLog, metrics: nullMetrics }),
            leaving: new LeavingNotices({
                instance: id,
                getNowMs,
                log: nullLog,
                metrics: nullMetrics,
                drainMs: 2_000,
                askLeader: () => Promise.resolve({ is_taken: true }),
            }),
            rateLimiter: createSends(getNowMs).rateLimiter,
            getRemoteLoad: (engine): ChainLoad => ({ open: entry.remote.get(engine) ?? 0, unstarted: 0 }),
            isPathAvoided: () => false,
            ...(options.policy === "none" || options.isOldEntry?.(index) === true ? {} : { isLinkLossy: isLossy }),
            estimateUnreported: () => REQUESTS_PER_S * 0.3,
            countEntries: () => options.entries,
            getRequestsPerSecond: () => REQUESTS_PER_S / options.entries,
            getLoadAgeMs: () => 300,
            random: this.random,
        });
        const entry: Entry = {
            index,
            id,
            domain,
            monitor: this.createMonitor(domain),
            health,
            chooser,
            remote: new Map<string, number>(),
        };
        return entry;
    }

    /** One round of `synchronise`; the messages pass through the schemas of both sides. */
    private report(entry: Entry): void {
        const { options } = this;
        const holdMs = Math.min(600, options.entries * 8);
        const leaderDomain = options.leaderDomain ?? "b";
        const isResent = this.random() < 2 * this.getLoss(entry.domain, leaderDomain);
        this.schedule(holdMs + 40 + (isResent ? RESEND_MS : 0), () => {
            this.report(entry);
        });
        if (options.hasLeader?.(this.nowMs) === false) {
            entry.monitor.createReport();
            return;
        }
        const term = options.getTerm?.(this.nowMs) ?? 1;
        if (term !== this.term) {
            this.term = term;
            this.registry.reset();
        }
        const links = entry.monitor.createReport();
        const isOld = options.isOldEntry?.(entry.index) === true;
        const sent = { domain: entry.domain, links: options.corrupt?.(entry.index, links) ?? links };
        this.maxReportBytes = Math.max(this.maxReportBytes, JSON.stringify(sent).length);
        const received = synchroniseParametersSchema.parse({
            instance: entry.id,
            known_index: 1,
            loads: {},
            ...(isOld ? {} : sent),
        });
        let answer: { links?: unknown; } = {};
        if (received.domain !== undefined && options.isOldVoter !== true) {
            this.registry.record(received.instance, received.domain, received.links ?? {});
            answer = { links: this.registry.list(received.domain) };
            this.maxAnswerBytes = Math.max(this.maxAnswerBytes, JSON.stringify(answer).length);
        }
        this.schedule(20 + (isResent ? RESEND_MS : 0), () => {
            const state = synchroniseResultSchema.parse({ ...createFullState(1, []), ...answer });
            entry.monitor.recordAnswer(
                options.policy === "own-observations" || state.kind !== "state" ? undefined : state.links,
            );
            entry.remote = new Map([...this.open].map(([id, open]) => [id, open - entry.health.getLoad(id).open]));
        });
    }

    private getLoss(from: string, to: string): number {
        return this.options.getLoss?.(from, to, this.nowMs) ?? 0;
    }

    private choose(entry: Entry, attempted: string | undefined): string | undefined {
        const run = new RequestContext({
            call,
            route,
            service: { name: "s", engine: profile },
            organisation: undefined,
            body: undefined,
            basis: confirmedBasis,
            arrivedMs: this.nowMs,
        }, () => this.nowMs);
        if (attempted !== undefined) {
            run.attempts = 1;
            run.attemptedUpstreams.add(attempted);
        }
        const choice = entry.chooser.choose(run, undefined, attempted !== undefined);
        run.close();
        return choice.kind === "target" ? choice.target.upstreamId : undefined;
    }

    private startRequest(entry: Entry): void {
        const engine = this.choose(entry, undefined);
        if (engine !== undefined) {
            const to = engine.charAt(0);
            const stream = { from: entry.domain, to, engine, startMs: this.nowMs, maxPauseMs: 0 };
            this.streams.push(stream);
            this.startAttempt(entry, stream, engine, 43 + Math.floor(this.random() * 21), undefined);
        }
    }

    private startAttempt(
        entry: Entry,
        stream: ReplayedStream,
        engine: string,
        events: number,
        lastMs: number | undefined,
    ): void {
        const { gapMs = 60, jitterMs = 0, silent } = this.options;
        const to = engine.charAt(0);
        const passMs = gapMs * (1 + Number(engine.slice(1)) % 8 / 14);
        const tracker = entry.monitor.follow(engine, to);
        entry.health.recordRequestStart(engine);
        this.open.set(engine, (this.open.get(engine) ?? 0) + 1);
        let left = events;
        let sentMs = this.nowMs + PROMPT_MS * (0.5 + this.random());
        let previousMs = lastMs;
        const end = (): void => {
            tracker.close();
            entry.health.recordEnd(engine);
            this.open.set(engine, (this.open.get(engine) ?? 0) - 1);
        };
        const scheduleNext = (): void => {
            if (silent?.engine === engine && sentMs >= silent.fromMs && sentMs < silent.toMs) {
                sentMs = silent.toMs;
                if (this.random() < 0.5) {
                    this.schedule(MOVE_AFTER_MS, () => {
                        end();
                        const other = this.choose(entry, engine) ?? engine;
                        this.startAttempt(entry, stream, other, left, previousMs);
                    });
                    return;
                }
            }
            let delayMs = 0;
            while (this.random() < this.getLoss(entry.domain, to)) {
                delayMs = delayMs === 0 ? RESEND_MS : delayMs * 3;
            }
            // TCP delivers in order, so events behind a lost one wait for it.
            this.schedule(sentMs + delayMs - this.nowMs, handleEvent);
            sentMs += passMs + this.random() * jitterMs;
        };
        const handleEvent = (): void => {
            if (previousMs === undefined || left === events) {
                entry.health.recordFirstToken(engine);
            }
            stream.maxPauseMs = Math.max(stream.maxPauseMs, this.nowMs - (previousMs ?? this.nowMs));
            previousMs = this.nowMs;
            tracker.recordEvent();
            left -= 1;
            if (left === 0) {
                end();
            }
            else {
                scheduleNext();
            }
        };
        scheduleNext();
    }
}

/** Computes the share of streams, started in a period, that paused for longer than their callers allow. */
export function computeLateShareOf(streams: readonly ReplayedStream[], fromMs: number, toMs: number): number {
    const some = streams.filter(({ startMs }) => startMs >= fromMs && startMs < toMs);
    return some.filter(({ maxPauseMs }) => maxPauseMs > 250).length / Math.max(1, some.length);
}

/** Computes how uneven the engines are loaded: requests of the busiest over the mean, in a period. */
export function computeUnevenness(
    streams: readonly ReplayedStream[],
    engines: number,
    fromMs: number,
    toMs: number,
): number {
    const some = streams.filter(({ startMs }) => startMs >= fromMs && startMs < toMs);
    const counts = new Map<string, number>();
    some.forEach(({ engine }) => counts.set(engine, (counts.get(engine) ?? 0) + 1));
    return Math.max(...counts.values()) * engines / some.length;
}

function createRandom(seed: number): () => number {
    const generator = xoroshiro128plus(seed);
    return () => (generator.next() >>> 0) / 2 ** 32;
}
