/**
 * Traffic between instances by RPC method, which reveals a saturated link and answers whose caller has given up.
 */
import { createLoopUseMeter } from "./createLoopUseMeter.js";
import type { EventLog } from "./eventLog.js";
import type { FleetMetrics } from "./fleetMetrics.js";
import { startPeriodicTask } from "./startPeriodicTask.js";

/** Outcome of sending an answer to a peer. */
export type ResponseOutcome =
    | "handed-over"
    /** The caller closed the connection before the whole answer was sent. */
    | "abandoned";

/** Records traffic to peers. */
export interface PeerTraffic {
    readonly recordRequest: (method: string, bytes: number) => void;
    /** A request failed, such as `silent` or `not-reached`. */
    readonly recordFailure: (method: string, failure: string) => void;
    readonly recordResponse: (method: string, bytes: number, end: ResponseOutcome) => void;
    /** Log entries that were sent again because they were not acknowledged. */
    readonly recordResend: (entries: number) => void;
    /** A command was proposed to the log. */
    readonly recordProposal: (kind: string) => void;
}

interface MethodTraffic {
    requests: number;
    responses: number;
    abandoned: number;
    bytes: number;
}

const REPORT_INTERVAL_MS = 1_000;
/** Each check wakes the process; ten per second suffice to detect a processor that is busy for as long as an election. */
const LOOP_CHECK_INTERVAL_MS = 100;
/** Seconds with fewer bytes, such as heartbeats and loads of a small fleet, are not logged unless the process is busy. */
const MIN_REPORTED_BYTES = 2_000_000;
/** Share of a second for which the event loop was busy, from which on the second is logged. */
const MIN_REPORTED_LOOP_USE = 0.8;

/**
 * Feeds the metrics, and logs a line for each second with much traffic, resent entries or abandoned answers.
 * @param log - the log
 * @param metrics - the counters
 * @returns functions that record traffic
 */
export function startPeerTraffic(log: EventLog, metrics: FleetMetrics): PeerTraffic {
    const methods = new Map<string, MethodTraffic>();
    const failures = new Map<string, number>();
    const proposals = new Map<string, number>();
    let resent = 0;
    const get = (method: string): MethodTraffic => {
        const known = methods.get(method) ?? { requests: 0, responses: 0, abandoned: 0, bytes: 0 };
        methods.set(method, known);
        return known;
    };
    const loopDelay = watchLoopDelay();
    const takeLoopUse = createLoopUseMeter();
    startPeriodicTask("peer-traffic", REPORT_INTERVAL_MS, () => {
        const loopDelayMs = loopDelay.take();
        metrics.recordLoopDelayMs(loopDelayMs);
        const loopUse = takeLoopUse();
        metrics.recordLoopUse(loopUse);
        const all = [...methods.values()];
        const isHeavy = all.reduce((sum, one) => sum + one.bytes, 0) >= MIN_REPORTED_BYTES;
        const isBusy = loopUse >= MIN_REPORTED_LOOP_USE;
        if (isHeavy || isBusy || resent > 0 || all.some((one) => one.abandoned > 0)) {
            const lines = [...methods].map(([method, one]) => formatMethod(method, one));
            log.record("info", "peer-traffic", {
                sent: lines.join(" "),
                failed: formatCounts(failures),
                resent,
                proposed: formatCounts(proposals),
                loop_delay_ms: loopDelayMs,
                loop_use: Number(loopUse.toFixed(2)),
            });
        }
        methods.clear();
        failures.clear();
        proposals.clear();
        resent = 0;
    });
    return {
        recordRequest: (method, bytes) => {
            const traffic = get(method);
            traffic.requests += 1;
            traffic.bytes += bytes;
            metrics.countPeerBytes(method, bytes);
        },
        recordFailure: (method, failure) => {
            const name = `${method}-${failure}`;
            failures.set(name, (failures.get(name) ?? 0) + 1);
            metrics.countPeerFailure(method, failure);
        },
        recordResponse: (method, bytes, end) => {
            const traffic = get(method);
            traffic.responses += 1;
            traffic.bytes += bytes;
            traffic.abandoned += end === "abandoned" ? 1 : 0;
            metrics.countPeerBytes(method, bytes);
            metrics.countPeerResponse(method, end);
        },
        recordResend: (entries) => {
            resent += entries;
            metrics.countResentEntries(entries);
        },
        recordProposal: (kind) => {
            proposals.set(kind, (proposals.get(kind) ?? 0) + 1);
            metrics.countProposal(kind);
        },
    };
}

function formatMethod(method: string, { requests, responses, abandoned, bytes }: MethodTraffic): string {
    return `${method}:${String(requests)}+${String(responses)}-${String(abandoned)}:${String(bytes)}B`;
}

function formatCounts(counts: ReadonlyMap<string, number>): string {
    return [...counts].map(([name, count]) => `${name}:${String(count)}`).join(" ");
}

/** Measures how late timers fire, which shows a busy processor and distinguishes it from a slow link. */
function watchLoopDelay(): { readonly take: () => number; } {
    let maxDelayMs = 0;
    let dueMs = performance.now() + LOOP_CHECK_INTERVAL_MS;
    startPeriodicTask("loop-delay", LOOP_CHECK_INTERVAL_MS, () => {
        const nowMs = performance.now();
        maxDelayMs = Math.max(maxDelayMs, Math.round(nowMs - dueMs));
        dueMs = nowMs + LOOP_CHECK_INTERVAL_MS;
    });
    return {
        take: () => {
            const taken = maxDelayMs;
            maxDelayMs = 0;
            return taken;
        },
    };
}
