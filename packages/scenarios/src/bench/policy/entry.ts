/**
 * An entry of the policy bench: the product's own gate and selection, or a baseline's.
 */
import { AdmissionController } from "@crankfork/daemon";
import { chooseCandidate, computeLoadScore, type SlotShareView } from "@crankfork/decisions";
import { defaultLatencyBounds } from "@crankfork/schemas";
import type { PolicyRequest, PolicyWorker } from "./worker.js";

/** How requests are held back and where they are sent. */
export interface PolicySettings {
    readonly name: string;
    /** `none` sends at once; `queue` waits for a slot and refuses nothing; `admission` is the product's own. */
    readonly gate: "none" | "queue" | "admission";
    readonly selection: "random" | "round-robin" | "own-in-flight" | "report" | "clamp" | "clamp-all" | "score";
    /** How the slots of all workers are shared out over entries. */
    readonly share: (view: SlotShareView) => number;
}

/** What entries share in the bench. */
export interface EntryWorld {
    readonly workers: readonly PolicyWorker[];
    readonly random: () => number;
    readonly countEntries: () => number;
    /** Requests in flight at a worker from entries other than one, as its last gossip told. */
    readonly countOthers: (entry: number, worker: string) => number;
    /** Requests that run or wait at entries other than one, as their last gossip told. */
    readonly countOthersDemand: (entry: number) => number;
    readonly record: (request: PolicyRequest, outcome: RequestOutcome) => void;
}

/** How a request of the bench ended. */
export interface RequestOutcome {
    readonly kind: "finished" | "refused" | "lost";
    readonly firstTokenMs: number;
    readonly meanGapMs: number;
    readonly endedMs: number;
}

const NEVER = Number.POSITIVE_INFINITY;
const unbounded = { class: "interactive", first_token_ms: 10_000_000, between_tokens_ms: 34 } as const;

/** One entry. */
export class PolicyEntry {
    private readonly inFlight = new Map<string, number>();
    private readonly startTimes = new Map<string, Map<number, number>>();
    private readonly gate: AdmissionController;
    private next = 0;
    isDead = false;

    /**
     * @param number - which entry
     * @param policy - what it decides by
     * @param world - workers and the other entries
     */
    constructor(readonly number: number, private readonly policy: PolicySettings, private readonly world: EntryWorld) {
        const slots = (ownDemand: number): number => {
            const living = world.workers.filter((worker) => !worker.isDead);
            const total = living.reduce((sum, worker) => sum + worker.settings.slots, 0);
            const othersDemand = world.countOthersDemand(number);
            return policy.share({ slots: total, entries: world.countEntries(), ownDemand, othersDemand });
        };
        this.gate = new AdmissionController("model", policy.gate === "queue" ? 1_000_000 : 1_000, slots);
    }

    /** Requests that run or wait here. */
    get demand(): number {
        return this.gate.demand;
    }

    /** Its requests in flight, by worker. */
    getInFlight(): ReadonlyMap<string, number> {
        return new Map(this.inFlight);
    }

    /** Lets waiting requests run where shares have grown. */
    refresh(): void {
        this.gate.startQueued();
    }

    /**
     * Takes a request.
     * @param request - the request
     */
    async handle(request: PolicyRequest): Promise<void> {
        const tokens = request.promptTokens + request.outputTokens;
        if (this.policy.gate !== "none") {
            try {
                await this.gate.acquire({
                    organisation: this.policy.gate === "queue" ? "all" : request.organisation,
                    weight: 1,
                    priority: this.getGateClass(request),
                    tokens,
                    bound: this.policy.gate === "queue" ? unbounded : defaultLatencyBounds[request.priority],
                    deadlineMs: NEVER,
                    signal: new AbortController().signal,
                });
            }
            catch {
                this.record(request, "refused", NEVER, NEVER);
                return;
            }
        }
        this.start(request);
    }

    /** A first-in-first-out queue knows one class. */
    private getGateClass(request: PolicyRequest): PolicyRequest["priority"] {
        return this.policy.gate === "queue" ? "interactive" : request.priority;
    }

    private start(request: PolicyRequest): void {
        const startedMs = performance.now();
        const progress = { firstMs: NEVER, lastMs: startedMs, tokens: 0 };
        this.send(request, progress, () => {
            if (this.policy.gate !== "none") {
                this.gate.release(this.getGateClass(request), { firstTokenMs: progress.firstMs - startedMs });
            }
            const gapMs = (progress.lastMs - progress.firstMs) / Math.max(1, progress.tokens - 1);
            this.record(request, "finished", progress.firstMs - request.arrivedMs, gapMs);
        });
    }

    private send(
        request: PolicyRequest,
        progress: { firstMs: number; lastMs: number; tokens: number; },
        end: () => void,
    ): void {
        const worker = this.choose();
        if (worker === undefined) {
            this.record(request, "lost", NEVER, NEVER);
            return;
        }
        const { name } = worker.settings;
        this.addInFlight(name, request.number, 1);
        worker.add(request, progress.tokens, {
            handleToken: (count) => {
                progress.tokens = count;
                progress.lastMs = performance.now();
                progress.firstMs = Math.min(progress.firstMs, progress.lastMs);
            },
            handleEnd: () => {
                this.addInFlight(name, request.number, -1);
                end();
            },
            handleLost: () => {
                this.addInFlight(name, request.number, -1);
                this.send(request, progress, end);
            },
        });
    }

    private record(
        request: PolicyRequest,
        kind: RequestOutcome["kind"],
        firstTokenMs: number,
        meanGapMs: number,
    ): void {
        const isLost = this.isDead && kind === "finished";
        this.world.record(request, {
            kind: isLost ? "lost" : kind,
            firstTokenMs,
            meanGapMs,
            endedMs: performance.now(),
        });
    }

    private addInFlight(worker: string, request: number, change: 1 | -1): void {
        this.inFlight.set(worker, (this.inFlight.get(worker) ?? 0) + change);
        const starts = this.startTimes.get(worker) ?? new Map<number, number>();
        this.startTimes.set(worker, starts);
        if (change === 1) {
            starts.set(request, performance.now());
        }
        else {
            starts.delete(request);
        }
    }

    private choose(): PolicyWorker | undefined {
        const workers = this.world.workers.filter((worker) => !worker.isDead);
        switch (this.policy.selection) {
            case "random":
                return workers[Math.floor(this.world.random() * workers.length)];
            case "round-robin":
                this.next += 1;
                return workers[(this.next + this.number * 5) % workers.length];
            case "own-in-flight":
            case "report":
            case "clamp":
            case "clamp-all":
            case "score":
                return chooseCandidate(workers, (worker) => this.computeScore(worker), this.world.random);
        }
    }

    private computeScore(worker: PolicyWorker): number {
        const { name, slots, speed } = worker.settings;
        const own = this.inFlight.get(name) ?? 0;
        const others = this.world.countOthers(this.number, name);
        const report = worker.lastReport;
        const nowMs = performance.now();
        switch (this.policy.selection) {
            case "report":
                return (report.count + 1) / (slots * speed);
            case "clamp":
                return ((own === 0 ? 0 : report.count) + 1) / (slots * speed);
            case "clamp-all":
                return ((own + others === 0 ? 0 : report.count + this.countSince(name, report.sampledMs)) + 1)
                    / (slots * speed);
            case "score":
                return computeLoadScore({
                    reported: report.count,
                    reportAgeMs: nowMs - report.sampledMs,
                    ownInFlight: own,
                    ownSinceReport: this.countSince(name, report.sampledMs),
                    othersInFlight: others,
                    slots,
                    speed,
                });
            case "own-in-flight":
            case "random":
            case "round-robin":
                return own + 1;
        }
    }

    private countSince(worker: string, sampledMs: number): number {
        let count = 0;
        for (const startedMs of this.startTimes.get(worker)?.values() ?? []) {
            count += startedMs > sampledMs ? 1 : 0;
        }
        return count;
    }
}
