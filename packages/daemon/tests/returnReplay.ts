import type { ClassLoad } from "@crankfork/decisions";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { RequestQueues } from "../src/process/entry/requestQueues.js";
import { type AdmittedCall, RequestContext } from "../src/request/requestContext.js";
import type { RoutedRequestFunctions } from "../src/request/requestFunctions.js";
import { refusals } from "../src/request/routedRefusal.js";
import { waitForTarget } from "../src/request/waitForTarget.js";
import { confirmedBasis } from "./configurationFakes.js";
import type { InstalledClock } from "./installedClock.js";

/** A fleet whose paths hold some requests for a time each, and its callers. */
export interface ReplayOptions {
    readonly isRanked: boolean;
    readonly entries: number;
    /** Requests that all paths hold together, and for how long each is held. */
    readonly places: number;
    readonly heldMs: number;
    readonly firstEventMs: number;
    /** Steady arrivals a second by rank. */
    readonly arrivalsPerS: readonly number[];
    /** Callers by rank that come together at the time of the flood. */
    readonly flood: readonly number[];
    readonly floodMs: number;
    readonly endMs: number;
    readonly seed: number;
}

/** What became of the callers of one rank. */
export interface ReplayCounts {
    callers: number;
    inTime: number;
    late: number;
    refusedTwice: number;
    /** Refused once, and told more than they wait. */
    gone: number;
}

/** Result of a replay. */
export interface ReplayResult {
    readonly byRank: readonly ReplayCounts[];
    /** Times at which refused callers were told to come back. */
    readonly toldMs: readonly number[];
    /** Requests that were still open or waiting at the end. */
    readonly waitingAtEnd: number;
}

const OBJECTIVES_MS = [501, 501, 1_001];
const DEADLINE_MS = 20_000;
/** Callers honour Retry-After up to a third of the time that they have left. */
const HONOURED_SHARE = 1 / 3;
const STEP_MS = 10;
const REPORT_MS = 300;
const MS_PER_SECOND = 1_000;

/** Counts of a rank as all entries report them. */
class RankMeter {
    private arrivals = 0;
    private admitted = 0;
    private refused = 0;
    waiting = 0;
    due: number[] = [];
    load: ClassLoad = { admittedPerS: 0, refusedPerS: 0, slowArrivalsPerS: 0, waiting: 0, returns: 0 };

    record(kind: "arrivals" | "admitted" | "refused"): void {
        this[kind] += 1;
    }

    report(slowArrivalsPerS: number): void {
        const decay = Math.exp(-REPORT_MS / MS_PER_SECOND);
        const average = (before: number, count: number): number =>
            before * decay + count * (1 - decay) / REPORT_MS * 1e3;
        const slowDecay = Math.exp(-REPORT_MS / 10_000);
        const slowBefore = this.load.slowArrivalsPerS === 0 ? slowArrivalsPerS : this.load.slowArrivalsPerS;
        this.due = this.due.filter((ms) => ms > performance.now());
        this.load = {
            admittedPerS: average(this.load.admittedPerS, this.admitted),
            refusedPerS: average(this.load.refusedPerS, this.refused),
            slowArrivalsPerS: slowBefore * slowDecay + this.arrivals * (1 - slowDecay) / REPORT_MS * 1e3,
            waiting: this.waiting,
            returns: this.due.length,
        };
        this.arrivals = 0;
        this.admitted = 0;
        this.refused = 0;
    }
}

/** Replays a flood of callers on entries that see each other's load at once. */
export async function replayFlood(options: ReplayOptions, clock: InstalledClock): Promise<ReplayResult> {
    const generator = xoroshiro128plus(options.seed);
    const random = (): number => (generator.next() >>> 0) / 2 ** 32;
    const meters = options.arrivalsPerS.map(() => new RankMeter());
    const byRank = meters.map(() => ({ callers: 0, inTime: 0, late: 0, refusedTwice: 0, gone: 0 }));
    const toldMs: number[] = [];
    let open = 0;
    let pending = 0;
    const getRank = ({ route }: AdmittedCall): number => route.priority;
    const entries = Array.from({ length: options.entries }, () =>
        new RequestQueues({
            getNowMs: () => performance.now(),
            random,
            countEntries: () => options.entries,
            getRank: (admitted) => ({
                rank: options.isRanked ? getRank(admitted) : 0,
                rankCount: options.isRanked ? meters.length : 1,
                isRanked: options.isRanked,
            }),
            getDemand: () => meters.map(({ load }) => load),
            recordWaiting: ({ admitted }, change) => {
                const meter = meters[getRank(admitted)];
                if (meter !== undefined) {
                    meter.waiting += change;
                }
            },
            recordReturn: ({ admitted }, retryAfterMs) =>
                meters[getRank(admitted)]?.due.push(performance.now() + retryAfterMs),
        }));
    const functions = entries.map((queues) => ({
        getNowMs: () => performance.now(),
        chooseTarget: () => {
            if (open >= options.places) {
                return { kind: "full" };
            }
            open += 1;
            return { kind: "target", target: {} };
        },
        isKeyUsable: () => true,
        crashes: { isQuarantined: () => false },
        waiting: queues.createFunctions(),
    } as unknown as RoutedRequestFunctions));

    const send = async (rank: number, leftMs: number, isSecond: boolean): Promise<void> => {
        const entry = functions[Math.floor(random() * entries.length)];
        const counts = byRank[rank];
        const meter = meters[rank];
        if (entry === undefined || counts === undefined || meter === undefined) {
            return;
        }
        const arrivedMs = performance.now();
        const context = createContext(rank, leftMs, arrivedMs);
        meter.record("arrivals");
        counts.callers += isSecond ? 0 : 1;
        pending += 1;
        const choice = await waitForTarget(context, undefined, entry);
        pending -= 1;
        context.close();
        if (choice.kind === "target") {
            meter.record("admitted");
            entry.waiting?.recordFirstEvent(context.admitted, options.firstEventMs);
            const isInTime = !isSecond
                && performance.now() - arrivedMs + options.firstEventMs <= (OBJECTIVES_MS[rank] ?? 0);
            counts[isInTime ? "inTime" : "late"] += 1;
            setTimeout(() => {
                open -= 1;
            }, options.heldMs * (0.5 + random()));
            return;
        }
        meter.record("refused");
        if (isSecond) {
            counts.refusedTwice += 1;
            return;
        }
        const { retryAfterMs = 0, retryJitterMs = 0 } = refusals.full;
        const waitMs = entry.waiting?.assignReturnMs(context) ?? retryAfterMs + retryJitterMs * random();
        const nowLeftMs = context.remainingMs;
        toldMs.push(performance.now() + waitMs);
        if (waitMs > nowLeftMs * HONOURED_SHARE) {
            counts.gone += 1;
            return;
        }
        setTimeout(() => void send(rank, nowLeftMs - waitMs, true), waitMs);
    };

    let reportedMs = performance.now();
    const due = options.arrivalsPerS.map(() => 0);
    for (let ms = 0; ms < options.endMs + DEADLINE_MS; ms += STEP_MS) {
        if (ms === options.floodMs) {
            const ranks = options.flood.flatMap((count, rank) =>
                Array.from({ length: count }, () => ({ rank, at: random() }))
            );
            ranks.sort((left, right) => left.at - right.at).forEach(({ rank }) => void send(rank, DEADLINE_MS, false));
        }
        options.arrivalsPerS.forEach((perS, rank) => {
            const expected = ms < options.endMs ? (due[rank] ?? 0) + perS * STEP_MS / MS_PER_SECOND : 0;
            due[rank] = expected % 1;
            Array.from({ length: Math.floor(expected) }, () => void send(rank, DEADLINE_MS, false));
        });
        clock.tick(STEP_MS);
        await new Promise((resolve) => setImmediate(resolve));
        if (performance.now() - reportedMs >= REPORT_MS) {
            reportedMs = performance.now();
            meters.forEach((meter, rank) => {
                meter.report(options.arrivalsPerS[rank] ?? 0);
            });
            entries.forEach((queues) => {
                queues.recordReport();
            });
        }
    }
    return { byRank, toldMs, waitingAtEnd: pending };
}

/** Creates a request of a rank whose caller has some time left of the time-out. */
export function createContext(
    rank: number,
    leftMs: number,
    arrivedMs: number,
    timeoutMs: number = DEADLINE_MS,
): RequestContext {
    return new RequestContext({
        call: {
            requestId: "r",
            method: "POST",
            host: "h",
            target: "/",
            path: "/",
            key: undefined,
            deadlineMs: leftMs,
            size: undefined,
            lastEventId: undefined,
            rawHeaders: [],
        },
        route: {
            name: `r${String(rank)}`,
            host: "h",
            prefix: "/",
            kind: "stream",
            is_repeatable: true,
            timeout_ms: timeoutMs,
            objective_ms: OBJECTIVES_MS[rank] ?? 0,
            pause_objective_ms: 250,
            priority: rank,
            most_attempts: 2,
            is_anonymous: true,
            targets: [{ service: "s", weight: 1 }],
        },
        service: { name: "s" },
        organisation: undefined,
        body: undefined,
        basis: confirmedBasis,
        arrivedMs,
    }, () => performance.now());
}
