import type { RouteStage } from "@crankfork/decisions";
import { intentSchema, type Step, type StepRefusal, type StepResponse, upstreamSchema } from "@crankfork/schemas";
import { expect } from "chai";
import VError from "verror";
import { ExchangeError, type ExchangeFailure } from "../src/connection/httpClient.js";
import { UpstreamState } from "../src/process/daemon/upstreamState.js";
import { generateTokens, type PipelineFunctions } from "../src/request/pipelineRun.js";

const [model] = intentSchema.parse({ id: "i", models: [{ name: "m", layers: 4 }] }).models;
const PROMPT = [7, 8, 9];

type Fault = ExchangeFailure | StepRefusal | "wrong-kind";

/** Stub engines that follow a script: the nth step fails with the given fault. */
class Engines {
    readonly steps: { readonly upstream: string; readonly step: Step; }[] = [];
    readonly cancelled: string[] = [];
    readonly failures: string[] = [];
    readonly states = new Map<string, UpstreamState>();
    retries = 0;
    /** Remaining backoff of the first engine, if all that are left are in backoff. */
    backoffMs: number | undefined;

    constructor(private readonly faults: Readonly<Record<number, Fault>>, private readonly budget = 10) {
        for (const name of ["a1", "a2", "b1", "b2"]) {
            const upstream = upstreamSchema.parse({ name, kind: "engine", address: "127.0.0.1:1" });
            this.states.set(name, new UpstreamState(upstream, this.createEngine(name)));
        }
    }

    get functions(): PipelineFunctions {
        return {
            chooseRoute: (_model, excluded) => this.chooseRoute(excluded),
            chooseReplacement: () => undefined,
            getUpstream: (name) => this.states.get(name),
            recordFailure: (state, error) => this.failures.push(`${state.upstream.name} ${error.failure}`),
            getBackoffMs: () => this.backoffMs,
            claimRetry: () => {
                this.retries += 1;
                return this.retries <= this.budget;
            },
            record: () => undefined,
        };
    }

    private chooseRoute(excluded: ReadonlySet<string>): readonly RouteStage[] | undefined {
        const first = ["a1", "a2"].find((name) => !excluded.has(name));
        const second = ["b1", "b2"].find((name) => !excluded.has(name));
        return first === undefined || second === undefined
            ? undefined
            : [{ upstream: first, firstLayer: 0, endLayer: 2 }, { upstream: second, firstLayer: 2, endLayer: 4 }];
    }

    private createEngine(upstream: string): NonNullable<UpstreamState["engine"]> {
        return {
            runStep: (step) => {
                this.steps.push({ upstream, step });
                return this.respond(upstream, step, this.faults[this.steps.length]);
            },
            cancelRun: () => this.cancelled.push(upstream),
            getStatus: () => Promise.reject(new Error("not implemented by the stub")),
            sendOrder: () => Promise.reject(new Error("not implemented by the stub")),
            exportCache: () => Promise.resolve([]),
            importCache: () => Promise.resolve(),
            rejectPendingSteps: () => undefined,
        };
    }

    private respond(upstream: string, step: Step, fault: Fault | undefined): Promise<StepResponse> {
        const { run, epoch, position, first_layer, end_layer } = step;
        const echo = { run, epoch, position, first_layer, end_layer };
        const token = { kind: "token" as const, token: 100 + position + step.inputs.length, text: "t", is_end: false };
        const activations = { kind: "activations" as const, outputs: step.inputs.map((input) => input * 2) };
        const isLast = (end_layer === 4) !== (fault === "wrong-kind");
        switch (fault) {
            case "not-reached":
            case "lost":
            case "silent":
            case "rubbish":
            case "unreadable":
            case "oversized":
            case "cancelled":
                return Promise.reject(new ExchangeError(fault, upstream, fault));
            case undefined:
            case "wrong-kind":
                return Promise.resolve({ ...echo, result: isLast ? token : activations });
            case "full":
            case "not-held":
            case "wrong-position":
            case "old-epoch":
            case "unknown-run":
            case "leaving":
                return Promise.resolve({ ...echo, result: { kind: "refused", reason: fault } });
        }
    }
}

async function generate(
    engines: Engines,
    isRepeatable = true,
    handleFirst: () => void = () => undefined,
): Promise<readonly string[]> {
    const texts: string[] = [];
    const request = {
        run: "r1",
        model: model!,
        promptTokens: PROMPT,
        maxTokens: 3,
        priority: "urgent" as const,
        isRepeatable,
        routeWaitMs: 0,
        signal: new AbortController().signal,
    };
    for await (const token of generateTokens(request, engines.functions)) {
        texts.push(token.text);
        if (texts.length === 1) {
            handleFirst();
        }
    }
    return texts;
}

const format = ({ upstream, step }: Engines["steps"][number]): string =>
    `${upstream} e${String(step.epoch)} p${String(step.position)} [${step.inputs.join(" ")}]`;

describe("a run passes each position through all stages, and restarts on a new route in a new epoch", () => {
    it("without a failure", async () => {
        const engines = new Engines({});
        await generate(engines);
        expect(engines.steps.map(format)).to.deep.equal([
            "a1 e0 p0 [7 8 9]",
            "b1 e0 p0 [14 16 18]",
            "a1 e0 p3 [103]",
            "b1 e0 p3 [206]",
            "a1 e0 p4 [104]",
            "b1 e0 p4 [208]",
        ]);
    });

    it("a lost stage: the remaining one restarts at position 0 in a new epoch, with the generated tokens in the prompt", async () => {
        const engines = new Engines({ 4: "lost" });
        expect(await generate(engines)).to.have.length(3);
        expect(engines.steps.slice(3, 6).map(format)).to.deep.equal([
            "b1 e0 p3 [206]",
            "a1 e1 p0 [7 8 9 103]",
            "b2 e1 p0 [14 16 18 206]",
        ]);
    });

    it("an engine that lost the run is used again, from position 0 in a new epoch", async () => {
        const engines = new Engines({ 3: "unknown-run" });
        expect(await generate(engines)).to.have.length(3);
        expect(engines.steps.slice(3, 5).map(format)).to.deep.equal([
            "a1 e1 p0 [7 8 9 103]",
            "b1 e1 p0 [14 16 18 206]",
        ]);
    });

    it("the run is cancelled at all engines that it used", async () => {
        const engines = new Engines({ 4: "lost" });
        await generate(engines);
        expect([...engines.cancelled].sort()).to.deep.equal(["a1", "b1", "b2"]);
        expect([...engines.states.values()].map((state) => state.ownInFlight)).to.deep.equal([0, 0, 0, 0]);
    });
});

describe("a run whose engine asked for a backoff", () => {
    const startBackoff = (engines: Engines, names: readonly string[]): void => {
        names.forEach((name) => engines.states.get(name)?.backoff.recordRetryAfter(60_000, performance.now()));
        engines.backoffMs = 60_000;
    };

    it("moves to another engine, also midway, and uses no retries for steps that were not sent", async () => {
        const engines = new Engines({}, 0);
        const texts = await generate(engines, true, () => {
            startBackoff(engines, ["b1"]);
        });
        expect(texts).to.have.length(3);
        expect(engines.steps.slice(2).map(({ upstream }) => upstream)).to.deep.equal(["a1", "a1", "b2", "a1", "b2"]);
        expect(engines.retries).to.equal(0);
    });

    it("is refused as not run, with the end of the first backoff, if all engines are in backoff", async () => {
        const engines = new Engines({});
        startBackoff(engines, ["a1", "a2", "b1", "b2"]);
        const error: unknown = await generate(engines).catch((thrown: unknown) => thrown);
        const info = VError.info(error as Error) as { id?: string; outcome?: string; retryAfterMs?: number; };
        expect([info.id, info.outcome, info.retryAfterMs, engines.steps.length])
            .to.deep.equal(["upstreams-resting", "not-run", 60_000, 0]);
    });
});

interface EndRow {
    readonly title: string;
    readonly faults: Readonly<Record<number, Fault>>;
    readonly isRepeatable?: boolean;
    readonly budget?: number;
    readonly id: string;
    readonly outcome: string;
}

const ends: readonly EndRow[] = [
    {
        title: "no engine was reached",
        faults: { 1: "not-reached", 2: "not-reached" },
        id: "no-route",
        outcome: "not-run",
    },
    {
        title: "all engines were full",
        faults: { 1: "full", 2: "full" },
        id: "upstream-not-reached",
        outcome: "not-run",
    },
    {
        title: "the first step was lost",
        faults: { 1: "lost" },
        isRepeatable: false,
        id: "upstream-lost",
        outcome: "unknown",
    },
    {
        title: "a later step was refused",
        faults: { 3: "leaving" },
        isRepeatable: false,
        id: "upstream-lost",
        outcome: "unknown",
    },
    {
        title: "the retry budget was exhausted before anything ran",
        faults: { 1: "not-reached" },
        budget: 0,
        id: "retries-spent",
        outcome: "not-run",
    },
    {
        title: "the retry budget was exhausted after a step",
        faults: { 2: "lost" },
        budget: 0,
        id: "retries-spent",
        outcome: "unknown",
    },
    { title: "the caller disconnected", faults: { 2: "cancelled" }, id: "cancelled", outcome: "unknown" },
    {
        title: "a middle stage returns a token, at every engine",
        faults: { 1: "wrong-kind", 2: "wrong-kind" },
        id: "no-route",
        outcome: "unknown",
    },
];

describe("the error of a run that ends early tells whether it may have run", () => {
    for (const { title, faults, isRepeatable, budget, id, outcome } of ends) {
        it(title, async () => {
            const error: unknown = await generate(new Engines(faults, budget), isRepeatable).catch((thrown: unknown) =>
                thrown
            );
            const info = VError.info(error as Error) as { id?: string; outcome?: string; };
            expect([info.id, info.outcome]).to.deep.equal([id, outcome]);
        });
    }

    it("a run that is not repeatable continues if the first step certainly did not run", async () => {
        expect(await generate(new Engines({ 1: "not-reached" }), false)).to.have.length(3);
    });
});
