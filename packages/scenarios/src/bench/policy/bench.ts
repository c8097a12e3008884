/**
 * Compares the scheduling decisions of the product with baseline policies under load.
 */
import { computeSlotShare } from "@crankfork/decisions";
import { defaultLatencyBounds, type PriorityClass, priorityClasses } from "@crankfork/schemas";
import type { Bench, BenchRow } from "../row.js";
import { computeQuantiles } from "../row.js";
import type { PolicyPlan } from "./arrivals.js";
import type { PolicySettings } from "./entry.js";
import { type PolicyRun, type PolicySample, runPolicy } from "./run.js";
import type { BatchCosts, WorkerSettings } from "./worker.js";

/** Even shares plus 50 %, which the product used before it assigned shares by demand. */
const computeEvenShare: PolicySettings["share"] = ({ slots, entries }) => Math.ceil(slots * 1.5 / entries);

/** The policy of the product. */
export const ownPolicy: PolicySettings = {
    name: "crankfork",
    gate: "admission",
    selection: "score",
    share: computeSlotShare,
};

const policies: readonly PolicySettings[] = [
    ownPolicy,
    { name: "random", gate: "none", selection: "random", share: computeSlotShare },
    { name: "round-robin", gate: "none", selection: "round-robin", share: computeSlotShare },
    { name: "least-own-in-flight", gate: "none", selection: "own-in-flight", share: computeSlotShare },
    { name: "fifo-no-refusal", gate: "queue", selection: "score", share: computeSlotShare },
    { name: "even-shares", gate: "admission", selection: "score", share: computeEvenShare },
];

/** The admission of the product with other ways to select a worker: the method of the paper, and alternatives. */
const selections: readonly PolicySettings[] = [
    { name: "own-counts", gate: "admission", selection: "own-in-flight", share: computeSlotShare },
    { name: "reports-as-they-come", gate: "admission", selection: "report", share: computeSlotShare },
    { name: "clamp-an-entry", gate: "admission", selection: "clamp", share: computeSlotShare },
    { name: "clamp-all-entries", gate: "admission", selection: "clamp-all", share: computeSlotShare },
];

const cedarlineLoads = [0.5, 1, 1.5, 2, 3];
const cedarlineMix: Readonly<Record<PriorityClass, number>> = { urgent: 0.1, interactive: 0.7, narrative: 0.2 };
const DURATION_MS = 12_000;
/** Excluded from the figures, since no load has been measured yet. */
const WARM_UP_MS = 3_000;
const WINDOW_MS = 500;

const dust = { startMs: 4_000, endMs: 9_000, failureMs: 6_000, durationMs: 14_000 } as const;

/** Forty workers with three speeds. */
const workers: readonly WorkerSettings[] = Array.from({ length: 40 }, (_, number) => ({
    name: `worker-${String(number)}`,
    speed: [2, 1.5, 1, 1][number % 4] ?? 1,
    slots: 16,
}));

const costs: BatchCosts = { baseMs: 16, requestMs: 0.9, promptTokenMs: 0.08, roundTripMs: 0 };

const plans: readonly PolicyPlan[] = [
    ...cedarlineLoads.map((load) => ({
        name: `cedarline-${String(load)}`,
        entries: 8,
        workers,
        costs,
        durationMs: DURATION_MS,
        computeLoads: () => computeMix(cedarlineMix, load),
        failureMs: undefined,
    })),
    {
        name: "umwuka-dust",
        entries: 8,
        workers,
        costs,
        durationMs: dust.durationMs,
        computeLoads: (nowMs) => {
            const isDust = nowMs >= dust.startMs && nowMs < dust.endMs;
            return { urgent: isDust ? 0.7 : 0.05, interactive: 0.2, narrative: 0.9 };
        },
        failureMs: dust.failureMs,
    },
];

/** Measures policies with consecutive seeds, starting at the given one; use at least five. */
export const runPolicyBench: Bench = async ({ seed, repeats }) => {
    const rows: BenchRow[] = [];
    for (const plan of plans) {
        for (const policy of [...policies, ...selections]) {
            const figures: PolicyFigures[] = [];
            for (let offset = 0; offset < repeats; offset += 1) {
                figures.push(computeFigures(plan, await runPolicy(plan, policy, seed + offset)));
            }
            rows.push(...createRows(plan.name, policy.name, figures));
        }
    }
    return rows;
};

/** Figures of a run. */
export interface PolicyFigures {
    readonly completedWithinBound: number;
    readonly urgentP99OverBound: number;
    readonly interactiveP95Ms: number;
    readonly minShareOverFair: number;
    readonly refused: number;
    readonly recoverySeconds: number;
}

/**
 * Computes the figures of a run.
 * @param plan - load and failures
 * @param run - results of the run
 * @returns the figures
 */
export function computeFigures(plan: PolicyPlan, run: PolicyRun): PolicyFigures {
    const samples = run.samples.filter(({ request }) => request.arrivedMs >= WARM_UP_MS);
    const seconds = (plan.durationMs - WARM_UP_MS) / 1_000;
    const isInTime = ({ outcome }: PolicySample): boolean =>
        outcome.endedMs >= WARM_UP_MS && outcome.endedMs < plan.durationMs;
    const good = run.samples.filter((sample) => isInTime(sample) && isWithinBound(sample));
    const offered = countTokens(samples) / seconds;
    const urgent = getFirstTokens(samples, "urgent");
    return {
        // Below the limit, no more than the offered load can be completed.
        completedWithinBound: countTokens(good) / seconds / Math.min(run.limit, offered),
        urgentP99OverBound: computeQuantiles(urgent).p99 / defaultLatencyBounds.urgent.first_token_ms,
        interactiveP95Ms: computeQuantiles(getFirstTokens(samples, "interactive")).p95,
        minShareOverFair: computeMinShare(samples),
        refused: samples.filter(({ outcome }) => outcome.kind === "refused").length / samples.length,
        recoverySeconds: computeRecoverySeconds(plan, run.samples),
    };
}

function isWithinBound({ request, outcome }: PolicySample): boolean {
    const bound = defaultLatencyBounds[request.priority];
    return outcome.kind === "finished" && outcome.firstTokenMs <= bound.first_token_ms
        && outcome.meanTokenIntervalMs <= bound.between_tokens_ms;
}

function getFirstTokens(samples: readonly PolicySample[], priority: PriorityClass): readonly number[] {
    return samples
        .filter(({ request, outcome }) => request.priority === priority && outcome.kind === "finished")
        .map(({ outcome }) => outcome.firstTokenMs);
}

/**
 * Computes the minimum ratio of received to fair share over the organisations with a backlog. Shares are fair within a
 * class; classes that are hardly served, because higher priorities take all capacity, are left out.
 */
function computeMinShare(samples: readonly PolicySample[]): number {
    const all = countTokens(samples.filter(isWithinBound));
    const ratios = priorityClasses.map((priority) => {
        const ofClass = samples.filter(({ request }) => request.priority === priority);
        return countTokens(ofClass.filter(isWithinBound)) < all * MIN_CLASS_SHARE ? 1 : computeMinShareOfClass(ofClass);
    });
    return Math.min(...ratios);
}

/** Share of all tokens below which the shares within a class are not meaningful. */
const MIN_CLASS_SHARE = 0.1;

function computeMinShareOfClass(samples: readonly PolicySample[]): number {
    const names = [...new Set(samples.map(({ request }) => request.organisation))];
    const asked = names.map((name) => countTokens(samples.filter(({ request }) => request.organisation === name)));
    const got = names.map((name) =>
        countTokens(samples.filter((sample) => sample.request.organisation === name && isWithinBound(sample)))
    );
    const fair = computeMaxMinShares(asked, got.reduce((sum, tokens) => sum + tokens, 0));
    const ratios = names.flatMap((_, index) => {
        const [wanted = 0, received = 0, due = 0] = [asked[index], got[index], fair[index]];
        return received < wanted * BACKLOG_SHARE ? [received / due] : [];
    });
    return Math.min(1, ...ratios);
}

/** An organisation has a backlog if it received less than this share of what it requested. */
const BACKLOG_SHARE = 0.95;

/** Computes max-min fair shares that do not exceed the requested amounts. */
function computeMaxMinShares(asked: readonly number[], total: number): readonly number[] {
    const shares = asked.map(() => 0);
    let left = total;
    let open = asked.map((_, index) => index);
    while (open.length > 0 && left > 1) {
        const part = left / open.length;
        for (const index of open) {
            const given = Math.min(part, (asked[index] ?? 0) - (shares[index] ?? 0));
            shares[index] = (shares[index] ?? 0) + given;
            left -= given;
        }
        open = open.filter((index) => (asked[index] ?? 0) - (shares[index] ?? 0) > 1);
    }
    return shares;
}

/** The contract requires that 95 % of the requests are within their bounds. */
const MAX_VIOLATION_SHARE = 0.05;

/** Computes the time from the failure to the end of the last window in which too many urgent requests exceeded their bounds. */
function computeRecoverySeconds(plan: PolicyPlan, samples: readonly PolicySample[]): number {
    const { failureMs } = plan;
    if (failureMs === undefined) {
        return 0;
    }
    let lastViolationMs = failureMs;
    for (let fromMs = failureMs; fromMs < plan.durationMs; fromMs += WINDOW_MS) {
        const window = samples.filter(({ request }) =>
            request.priority === "urgent" && request.arrivedMs >= fromMs && request.arrivedMs < fromMs + WINDOW_MS
        );
        const bad = window.filter((sample) => !isWithinBound(sample));
        if (bad.length > window.length * MAX_VIOLATION_SHARE) {
            lastViolationMs = fromMs + WINDOW_MS;
        }
    }
    return (lastViolationMs - failureMs) / 1_000;
}

/**
 * Creates the rows of one policy in one scenario.
 * @param scenario - name of the plan
 * @param policy - name of the policy
 * @param figures - figures of each seed
 * @returns rows with the means over all seeds
 */
export function createRows(scenario: string, policy: string, figures: readonly PolicyFigures[]): readonly BenchRow[] {
    const mean = (get: (one: PolicyFigures) => number): number =>
        figures.reduce((sum, one) => sum + get(one), 0) / figures.length;
    const row = (metric: string, unit: string, value: number): BenchRow => ({
        scenario,
        policy,
        metric,
        unit,
        value,
        repeats: figures.length,
    });
    return [
        row("completed-within-bound", "share of the limit", mean((one) => one.completedWithinBound)),
        row("urgent-p99-over-bound", "ratio", mean((one) => one.urgentP99OverBound)),
        row("interactive-first-token-p95", "ms", mean((one) => one.interactiveP95Ms)),
        row("least-share-over-fair", "ratio", mean((one) => one.minShareOverFair)),
        row("refused", "share", mean((one) => one.refused)),
        ...(scenario === "umwuka-dust" ? [row("back-within-bounds", "s", mean((one) => one.recoverySeconds))] : []),
    ];
}

function computeMix(
    mix: Readonly<Record<PriorityClass, number>>,
    load: number,
): Readonly<Record<PriorityClass, number>> {
    const [urgent, interactive, narrative] = priorityClasses.map((name) => mix[name] * load);
    return { urgent: urgent ?? 0, interactive: interactive ?? 0, narrative: narrative ?? 0 };
}

function countTokens(samples: readonly PolicySample[]): number {
    return samples.reduce((sum, { request }) => sum + request.outputTokens, 0);
}
