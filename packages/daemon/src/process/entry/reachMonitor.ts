/**
 * Detects that this entry is cut off from all upstreams while other entries reach them, and that it reaches them again. Probes only
 * after an exchange failed, or while exchanges are open and no upstream sends anything.
 */
import { classifyReach, type ReachVerdict } from "@crankfork/decisions";
import type { RegisteredUpstream } from "@crankfork/schemas";
import type { EventLog } from "../eventLog.js";
import type { FleetMetrics } from "../fleetMetrics.js";
import { startPeriodicTask } from "../startPeriodicTask.js";
import { startTask } from "../startTask.js";
import type { OthersReach } from "./relayPool.js";

/** Dependencies of {@link ReachMonitor}. */
export interface ReachMonitorOptions {
    readonly getNowMs: () => number;
    readonly log: EventLog;
    readonly metrics: Pick<FleetMetrics, "recordCutOff">;
    /** Returns a number from 0 up to, but excluding, 1. */
    readonly random: () => number;
    /** Upstreams that accept requests. */
    readonly listUpstreams: () => readonly RegisteredUpstream[];
    /** Opens a connection to an address within a time-out, in milliseconds. */
    readonly probe: (address: string, timeoutMs: number) => Promise<boolean>;
    /** Asks other entries which upstreams they reach. */
    readonly queryOthers: (upstreams: readonly string[]) => Promise<OthersReach>;
    /** Time for which exchanges have been open and no upstream has sent a byte, in milliseconds. */
    readonly getSilentMs: () => number;
    /** Called when the entry is cut off, and when it is not any more. */
    readonly handleChange: (isCutOff: boolean) => void;
}

const TICK_MS = 100;
/** A tick that is this late shows that the process itself stood still, which explains the silence. */
const MAX_TICK_MS = 3 * TICK_MS;
/** Longer than the usual pause of all streams of an entry together. */
const SILENCE_MS = 250;
/** Connections take a few milliseconds. */
export const PROBE_TIMEOUT_MS = 250;
/** Upstreams that are probed before the others are asked, of different failure domains where there are several. */
const MAX_PROBED = 4;
/** Minimum time between two checks that silence causes. */
const SILENCE_CHECK_INTERVAL_MS = 1_000;
/** Interval between checks while cut off, and the number of successful ones in a row that end it. */
const RECHECK_INTERVAL_MS = 500;
const RECHECKS_UNTIL_REACHABLE = 2;

/** Holds whether this entry is cut off. */
export class ReachMonitor {
    private cutOffSinceMs: number | undefined;
    private running: Promise<ReachVerdict> | undefined;
    private lastCheckMs = Number.NEGATIVE_INFINITY;
    private lastTickMs: number;
    /** Time before which silence is not counted. */
    private ignoreSilenceUntilMs = Number.NEGATIVE_INFINITY;
    private successes = 0;

    /**
     * @param options - upstreams, probes and clock
     */
    constructor(private readonly options: ReachMonitorOptions) {
        this.lastTickMs = options.getNowMs();
    }

    /** Starts the periodic check. */
    start(): void {
        startPeriodicTask("reach-check", TICK_MS, () => {
            this.tick();
        });
    }

    /** Whether this entry reaches no upstream, and others do. */
    get isCutOff(): boolean {
        return this.cutOffSinceMs !== undefined;
    }

    /**
     * Checks after a failed exchange whether the links of this entry are the cause.
     * @returns true if the entry is cut off
     */
    async checkAfterFailure(): Promise<boolean> {
        if (this.cutOffSinceMs === undefined) {
            await this.check();
        }
        return this.isCutOff;
    }

    private tick(): void {
        const nowMs = this.options.getNowMs();
        if (nowMs - this.lastTickMs > MAX_TICK_MS) {
            this.ignoreSilenceUntilMs = nowMs + SILENCE_MS;
        }
        this.lastTickMs = nowMs;
        if (this.cutOffSinceMs !== undefined) {
            if (nowMs - this.lastCheckMs >= RECHECK_INTERVAL_MS) {
                startTask("reach-check", () => this.recheck());
            }
        }
        else if (
            nowMs >= this.ignoreSilenceUntilMs
            && nowMs - this.lastCheckMs >= SILENCE_CHECK_INTERVAL_MS
            && this.options.getSilentMs() >= SILENCE_MS
        ) {
            startTask("reach-check", () => this.check());
        }
    }

    private check(): Promise<ReachVerdict> {
        this.running ??= this.runCheck().finally(() => {
            this.running = undefined;
        });
        return this.running;
    }

    private async runCheck(): Promise<ReachVerdict> {
        const { getNowMs, queryOthers, log } = this.options;
        const startMs = getNowMs();
        this.lastCheckMs = startMs;
        const [first, ...others] = this.chooseUpstreams();
        if (first === undefined) {
            return "undetermined";
        }
        if (await this.probe(first)) {
            return "reachable";
        }
        // The upstream may have failed by itself, so others are probed as well, here and by other entries.
        const probed = others.length === 0 ? [first] : others;
        const [results, reach] = await Promise.all([
            Promise.all(probed.map((one) => this.probe(one))),
            queryOthers([first, ...others].map(({ id }) => id)),
        ]);
        const reached = results.filter((isReached) => isReached).length;
        const verdict = classifyReach({ reached, failed: 1 + results.length - reached, ...reach });
        const ms = Math.round(getNowMs() - startMs);
        log.record(verdict === "cut-off" ? "warn" : "info", "reach-check", {
            verdict,
            reached,
            failed: 1 + results.length - reached,
            others: reach.others,
            reached_by_others: reach.reachedByOthers,
            ms,
        });
        if (verdict === "cut-off" && this.cutOffSinceMs === undefined) {
            this.setCutOff(startMs);
        }
        return verdict;
    }

    /** While cut off, requests go through other entries, so that only probes show that the links are back. */
    private async recheck(): Promise<void> {
        const nowMs = this.options.getNowMs();
        this.lastCheckMs = nowMs;
        const chosen = this.chooseUpstreams();
        const results = await Promise.all(chosen.map((one) => this.probe(one)));
        const isReached = results.length > 0 && results.every((one) => one);
        this.successes = isReached ? this.successes + 1 : 0;
        if (this.successes >= RECHECKS_UNTIL_REACHABLE) {
            this.setCutOff(undefined);
        }
    }

    private setCutOff(sinceMs: number | undefined): void {
        const { log, metrics, getNowMs, handleChange } = this.options;
        if ((sinceMs === undefined) === (this.cutOffSinceMs === undefined)) {
            return;
        }
        log.record(
            "warn",
            "cut-off",
            sinceMs === undefined
                ? { change: "ended", ms: Math.round(getNowMs() - (this.cutOffSinceMs ?? 0)) }
                : { change: "begun" },
        );
        this.cutOffSinceMs = sinceMs;
        this.successes = 0;
        metrics.recordCutOff(sinceMs !== undefined);
        handleChange(sinceMs !== undefined);
    }

    private async probe({ address }: RegisteredUpstream): Promise<boolean> {
        const { probe, getNowMs } = this.options;
        const startMs = getNowMs();
        const isReached = await probe(address, PROBE_TIMEOUT_MS);
        // A probe that the process itself delayed shows nothing; it is repeated once.
        const wasDelayed = getNowMs() - startMs > PROBE_TIMEOUT_MS + MAX_TICK_MS;
        return isReached || (wasDelayed && await probe(address, PROBE_TIMEOUT_MS));
    }

    /** Chooses upstreams at random, of as many failure domains as possible. */
    private chooseUpstreams(): readonly RegisteredUpstream[] {
        const { listUpstreams, random } = this.options;
        const shuffled = listUpstreams().map((one) => ({ one, key: random() }))
            .sort((left, right) => left.key - right.key).map(({ one }) => one);
        const domains = new Set<string>();
        const spread = shuffled.filter(({ failure_domain: domain }) => {
            const isNew = !domains.has(domain);
            domains.add(domain);
            return isNew;
        });
        return [...spread, ...shuffled.filter((one) => !spread.includes(one))].slice(0, MAX_PROBED);
    }
}
