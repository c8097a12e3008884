/**
 * A soak run: entries, engines and printers run as processes while faults are injected and callers check the responses.
 */
import { waitMs } from "@crankfork/daemon";
import * as z from "zod";
import { type CompletionResult, streamCompletion } from "../harness/caller.js";
import { MODEL, ORGANISATION, World } from "../harness/world.js";
import { checkCompletion, checkSlip, checkVersions, type SlipAnswer } from "./checkInvariants.js";
import { FaultInjector } from "./faultInjector.js";
import { createDraw, createFaultSchedule, type SoakFault } from "./faultSeries.js";
import { SoakLink } from "./soakLink.js";
import { CALL_TIMEOUT_MS, withTimeout } from "./withTimeout.js";

/** Parameters of a soak run. */
export interface SoakOptions {
    readonly seed: number;
    readonly durationMs: number;
    readonly entries: number;
    readonly callers: number;
}

/** Result of a soak run. */
export interface SoakResult {
    readonly seed: number;
    readonly faults: readonly SoakFault[];
    /** Number of slips and completions that succeeded. */
    readonly served: number;
    readonly requested: number;
    /** Descriptions of violated invariants; empty if the run passed. */
    readonly violations: readonly string[];
}

const PRINTERS = 2;
const ENGINES = 2;
const TOKENS = 12;
const STATUS_POLL_MS = 100;
/** Share of the slips that are sent again with the same key, whatever the first response was. */
const RESEND_PROBABILITY = 0.4;

const doneSchema = z.object({ done: z.string() });
const errorSchema = z.object({ error: z.object({ outcome: z.string() }) });
const statusSchema = z.object({ state: z.string(), configuration_version: z.int() });

/**
 * Runs the soak test with one seed, and ends all processes that it started.
 * @param options - seed, duration and sizes
 * @returns counts and violations
 */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
    const run = new SoakRun(options);
    try {
        await run.start();
        return await run.execute();
    }
    finally {
        await run.close();
    }
}

class SoakRun {
    private readonly world = new World();
    private readonly proxies: SoakLink[] = [];
    private readonly slips = new Map<string, SlipAnswer[]>();
    private readonly completions: CompletionResult[] = [];
    private readonly versions = new Map<string, number[]>();
    private isFinished = false;

    constructor(private readonly options: SoakOptions) {}

    async start(): Promise<void> {
        const { world } = this;
        for (let number = 1; number <= ENGINES; number += 1) {
            await world.startEngine(`engine-${String(number)}`);
        }
        for (let number = 1; number <= PRINTERS; number += 1) {
            await this.startPrinter(`printer-${String(number)}`);
        }
        for (let number = 1; number <= this.options.entries; number += 1) {
            await world.cluster.startEntry({ name: `entry-${String(number)}`, hasDisk: true });
        }
        await world.cluster.init();
        await world.applyIntent({ id: "first" });
    }

    async execute(): Promise<SoakResult> {
        const { seed, durationMs, callers, entries } = this.options;
        const faults = createFaultSchedule({ seed, durationMs, targets: entries });
        const { world, proxies, entryNames } = this;
        const injector = new FaultInjector({ world, proxies, entryNames });
        const work = [
            ...Array.from({ length: callers }, (_, number) => this.runCaller(number)),
            this.pollVersions(),
            this.injectFaults(faults, injector),
        ];
        await Promise.all(work);
        await this.clearFaults();
        await Promise.all(entryNames.map((entry) => this.recordVersion(entry)));
        const violations = [...await this.checkSlips(), ...this.checkCompletionsAndVersions(injector.confirmedVersion)];
        const slips = [...this.slips.values()];
        const completions = this.completions.filter((one) => one.status === 200 && one.errorId === undefined);
        return {
            seed,
            faults,
            served: completions.length + slips.filter((answers) => answers.some(isSuccess)).length,
            requested: this.completions.length + slips.length,
            violations,
        };
    }

    async close(): Promise<void> {
        this.proxies.forEach((proxy) => {
            proxy.close();
        });
        await this.world.close();
    }

    private async startPrinter(name: string): Promise<void> {
        const { world } = this;
        await world.startService(name);
        const printer = world.services.get(name);
        if (printer !== undefined) {
            const proxy = await SoakLink.open(printer.address);
            this.proxies.push(proxy);
            // Entries reach the printer only through the proxy.
            world.services.set(name, { process: printer.process, address: proxy.address });
        }
    }

    private get entryNames(): readonly string[] {
        return [...this.world.cluster.entries.keys()];
    }

    private async runCaller(number: number): Promise<void> {
        const draw = createDraw(this.options.seed * 1_000 + number);
        for (let turn = 0; !this.isFinished; turn += 1) {
            const entry = this.pickEntry(draw);
            if (number % 2 === 0) {
                const slip = `slip ${String(number)}-${String(turn)}`;
                await this.sendSlip(entry, slip);
                if (draw() < RESEND_PROBABILITY) {
                    await this.sendSlip(this.pickEntry(draw), slip);
                }
            }
            else {
                await this.streamCompletion(entry, `caller ${String(number)} turn ${String(turn)}`);
            }
            await waitMs(20 + draw() * 60);
        }
    }

    private pickEntry(draw: () => number): string {
        return this.entryNames[Math.floor(draw() * this.entryNames.length)] ?? "";
    }

    private async sendSlip(entry: string, slip: string): Promise<void> {
        const answers = this.slips.get(slip) ?? [];
        this.slips.set(slip, answers);
        try {
            const answer = await withTimeout(this.world.callService(entry, slip, { "idempotency-key": slip }));
            const done = doneSchema.safeParse(answer.body);
            const error = errorSchema.safeParse(answer.body);
            answers.push({
                status: answer.status,
                outcome: error.success ? error.data.error.outcome : undefined,
                text: done.success ? done.data.done : undefined,
            });
        }
        catch {
            // The connection broke or the call timed out, so the outcome is unknown to the caller.
            answers.push({ status: undefined, outcome: undefined, text: undefined });
        }
    }

    private async streamCompletion(entry: string, prompt: string): Promise<void> {
        const call = {
            address: this.world.cluster.get(entry).addresses.callers,
            organisation: ORGANISATION,
            priority: "normal",
            model: MODEL,
            prompt,
            maxTokens: TOKENS,
            signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
        };
        // A broken connection leaves no result to check; the text before the break is covered by other callers' completions.
        const result = await streamCompletion(call).catch(() => undefined);
        if (result !== undefined) {
            this.completions.push(result);
        }
    }

    private async pollVersions(): Promise<void> {
        while (!this.isFinished) {
            await Promise.all(this.entryNames.map((entry) => this.recordVersion(entry)));
            await waitMs(STATUS_POLL_MS);
        }
    }

    private async recordVersion(entry: string): Promise<void> {
        const answer = await withTimeout(this.world.cluster.callOperatorApi(entry, "GET", "/v1/status")).catch(() =>
            undefined
        );
        const status = statusSchema.safeParse(answer?.body);
        // A starting entry knows no version yet, reports that and serves no callers.
        if (status.success && status.data.state === "ready") {
            const versions = this.versions.get(entry) ?? [];
            versions.push(status.data.configuration_version);
            this.versions.set(entry, versions);
        }
    }

    private async injectFaults(faults: readonly SoakFault[], injector: FaultInjector): Promise<void> {
        const pending: Promise<void>[] = [];
        const startMs = performance.now();
        for (const fault of faults) {
            await waitMs(Math.max(0, fault.offsetMs - (performance.now() - startMs)));
            pending.push(injector.inject(fault));
        }
        await waitMs(Math.max(0, this.options.durationMs - (performance.now() - startMs)));
        await Promise.all(pending);
        this.isFinished = true;
    }

    /** Restores links and printers once all faults are over, since the printers are asked for their counts through the links. */
    private async clearFaults(): Promise<void> {
        this.proxies.forEach((proxy) => {
            proxy.setLink({ kind: "sound" });
        });
        for (let printer = 1; printer <= PRINTERS; printer += 1) {
            await this.world.setFaults(`printer-${String(printer)}`, {});
        }
        await this.world.cluster.waitUntilReady();
    }

    private async checkSlips(): Promise<readonly string[]> {
        const violations: string[] = [];
        for (const [slip, answers] of this.slips) {
            violations.push(...checkSlip({ slip, answers, printCount: await this.world.countEffects(slip) }));
        }
        return violations;
    }

    private checkCompletionsAndVersions(confirmed: number): readonly string[] {
        const newest = Math.max(0, ...[...this.versions.values()].map((versions) => versions.at(-1) ?? 0));
        return [
            ...this.completions.flatMap(checkCompletion),
            ...[...this.versions].flatMap(([entry, versions]) => checkVersions(entry, versions)),
            ...(newest < confirmed ? [`version ${String(confirmed)} was confirmed but is lost`] : []),
        ];
    }
}

function isSuccess(answer: SlipAnswer): boolean {
    return answer.status === 200;
}
