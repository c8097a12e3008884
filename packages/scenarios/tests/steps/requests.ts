import { readTimeline } from "@crankfork/cli";
import { expect } from "chai";
import { type CompletionCall, computeExpectedText, streamCompletion } from "../../src/harness/caller.js";
import { requestJson } from "../../src/harness/cluster.js";
import type { StepRegistry } from "../../src/harness/gherkin.js";
import { createCallerHeaders, LAYERS, MODEL, ORGANISATION, type World } from "../../src/harness/world.js";
import { getProcess } from "./cluster.js";

/** Steps that send requests and check their results. */
export function defineRequestSteps(steps: StepRegistry<World>): void {
    steps.define("a caller streams {int} tokens from {word}", async (world, tokens: number, entry: string) => {
        world.completions = [await streamCompletion(createCall(world, entry, tokens))];
    });

    steps.define(
        "a caller streams {int} tokens from {word} and {word} is killed at token {int}",
        async (world, tokens: number, entry: string, victim: string, at: number) => {
            const handleToken = (count: number): Promise<void> | undefined =>
                count === at ? getProcess(world, victim).kill() : undefined;
            world.completions = [await streamCompletion({ ...createCall(world, entry, tokens), handleToken })];
        },
    );

    steps.define(
        "{int} callers stream {int} tokens from each entry",
        async (world, callers: number, tokens: number) => {
            const calls = [...world.cluster.entries.keys()].flatMap((entry) =>
                Array.from(
                    { length: callers },
                    (_, number) => createCall(world, entry, tokens, `caller ${String(number)}`),
                )
            );
            world.completions = await Promise.all(calls.map(streamCompletion));
        },
    );

    steps.define(
        "{int} callers begin to stream {int} tokens from each entry",
        async (world, callers: number, tokens: number) => {
            const started: Promise<void>[] = [];
            const calls = [...world.cluster.entries.keys()].flatMap((entry) =>
                Array.from({ length: callers }, (_, number) => {
                    let markStarted: () => void = () => undefined;
                    started.push(
                        new Promise((resolve) => {
                            markStarted = resolve;
                        }),
                    );
                    const call = createCall(world, entry, tokens, `caller ${String(number)}`);
                    // A refused request has no first token; a later step reports the refusal.
                    return streamCompletion({ ...call, handleToken: () => markStarted() }).finally(() => markStarted());
                })
            );
            world.backgroundTasks.push(
                Promise.all(calls).then((completions) => {
                    world.completions = completions;
                }),
            );
            await Promise.all(started);
        },
    );

    steps.define("all streams have ended", async (world) => {
        await Promise.all(world.backgroundTasks);
    });

    steps.define("every completion is complete and correct", (world) => {
        expect(world.completions).to.have.length.above(0);
        for (const completion of world.completions) {
            expect(completion.errorId).to.equal(undefined);
            expect(completion.tokens).to.equal(completion.call.maxTokens);
            expect(completion.text).to.equal(computeExpectedText(completion.call, LAYERS));
        }
    });

    steps.define("the stream ends with error {word} and outcome {word}", (world, id: string, outcome: string) => {
        expect(world.completions.map((one) => [one.errorId, one.outcome])).to.deep.equal([[id, outcome]]);
    });

    steps.define("the text before the error is a prefix of the expected text", (world) => {
        const [completion] = world.completions;
        expect(completion?.tokens).to.be.above(0);
        expect(computeExpectedText(completion!.call, LAYERS).startsWith(completion!.text)).to.equal(true);
    });

    steps.define(
        "a caller disconnects from {word} after {int} tokens",
        async (world, entry: string, tokens: number) => {
            const leave = new AbortController();
            const call: CompletionCall = {
                ...createCall(world, entry, 500),
                signal: leave.signal,
                handleToken: (count) => {
                    if (count === tokens) {
                        leave.abort();
                    }
                },
            };
            await streamCompletion(call).catch(() => undefined);
        },
    );

    steps.define("no engine has an active run", async (world) => {
        for (const name of world.engines.keys()) {
            await world.cluster.waitUntil(`${name} to have no run`, async () => {
                const { running, waiting } = await world.getCounts(name);
                return running === 0 && waiting === 0;
            });
        }
    });

    steps.define("{word} receives no further work", async (world, name: string) => {
        const before = (await world.getCounts(name)).computed;
        for (const entry of world.cluster.entries.keys()) {
            await streamCompletion(createCall(world, entry, 5));
        }
        expect((await world.getCounts(name)).computed).to.equal(before);
    });

    steps.define(
        "a caller sends slip {string} with key {string} to {word}",
        async (world, slip: string, key: string, entry: string) => {
            world.answers.push(await world.callService(entry, slip, { "idempotency-key": key }));
        },
    );

    steps.define(
        "a caller sends slip {string} with key {string} to every entry at once",
        async (world, slip: string, key: string) => {
            const names = [...world.cluster.entries.keys()];
            world.answers = await Promise.all(
                names.map((name) => world.callService(name, slip, { "idempotency-key": key })),
            );
        },
    );

    steps.define("{word} drops its responses", (world, name: string) => world.setFaults(name, { drop_answers: true }));
    steps.define("{word} evicts all runs", (world, name: string) => world.setFaults(name, { evicting: true }));
    steps.define(
        "{word} refuses all calls as not run",
        (world, name: string) => world.setFaults(name, { not_run: true }),
    );
    steps.define("{word} recovers", (world, name: string) => world.setFaults(name, {}));

    steps.define(
        "a caller sends slip {string} with key {string} to {word}, which is killed {int} ms later",
        async (world, slip: string, key: string, entry: string, delayMs: number) => {
            const call = world.callService(entry, slip, { "idempotency-key": key }).catch(() => undefined);
            await new Promise((resolve) => setTimeout(resolve, delayMs));
            await world.cluster.get(entry).process.kill();
            await call;
            lastSlips.set(world, { slip, key });
        },
    );

    steps.define("the same slip is retried at {word} until its outcome is final", async (world, entry: string) => {
        const sent = lastSlips.get(world);
        await world.cluster.waitUntil("a final answer", async () => {
            const answer = await world.callService(entry, sent?.slip ?? "", { "idempotency-key": sent?.key ?? "" });
            const { error } = (answer.body ?? {}) as { error?: { id: string; }; };
            world.answers = [answer];
            return answer.status === 200 || error?.id === "owner-lost";
        });
    });

    steps.define(
        "slip {string} was printed at most once, and exactly once where the response is 200",
        async (world, slip: string) => {
            const count = await world.countEffects(slip);
            expect(count).to.be.at.most(1);
            if (world.answers[0]?.status === 200) {
                expect(count).to.equal(1);
            }
        },
    );

    steps.define("the response is {int} with an outcome of {word}", (world, status: number, outcome: string) => {
        const { error } = world.answers.at(-1)?.body as { error: { outcome: string; }; };
        expect([world.answers.at(-1)?.status, error.outcome]).to.deep.equal([status, outcome]);
    });

    steps.define("all responses but the first are {int}", (world, status: number) => {
        const rest = world.answers.slice(1).map((answer) => answer.status);
        expect(rest).to.deep.equal(rest.map(() => status)).and.have.length.above(0);
    });

    steps.define(
        "a caller streams {int} tokens with key {string} from {word}",
        async (world, tokens: number, key: string, entry: string) => {
            world.completions.push(await streamCompletion(createKeyedCall(world, entry, tokens, key)));
        },
    );

    steps.define(
        "a caller streams {int} tokens with key {string} from {word} and its first stage is killed at token {int}",
        async (world, tokens: number, key: string, entry: string, at: number) => {
            const handleToken = async (count: number): Promise<void> => {
                if (count === at) {
                    await killBusyEngine(world);
                }
            };
            world.completions = [
                await streamCompletion({ ...createKeyedCall(world, entry, tokens, key), handleToken }),
            ];
        },
    );

    steps.define(
        "a caller streams {int} tokens with key {string} from {word} and the busy engine number {int} evicts at token {int}",
        async (world, tokens: number, key: string, entry: string, number: number, at: number) => {
            const before = await countComputed(world);
            const handleToken = async (count: number): Promise<void> => {
                if (count === at) {
                    const busy = await findBusyEngines(world);
                    await world.setFaults(busy[number - 1] ?? "", { leaving: true, evicting: true });
                }
            };
            world.completions = [
                await streamCompletion({ ...createKeyedCall(world, entry, tokens, key), handleToken }),
            ];
            computedCounts.set(world, await countComputed(world) - before);
        },
    );

    steps.define("the timeline of {word} has the event {word}", (world, entry: string, event: string) => {
        const events = readTimeline([world.cluster.get(entry).logFile], {}).map((one) => one.event);
        expect(events).to.include(event);
    });

    steps.define(
        "no layer computed a position twice: {int} layers, {int} tokens and a prompt of {int}",
        (world, layers: number, tokens: number, prompt: number) => {
            // The last token is generated but not fed back as an input.
            expect(computedCounts.get(world)).to.equal(layers * (prompt + tokens - 1));
        },
    );

    steps.define(
        "{int} other caller(s) keep(s) the engines busy from {word}",
        async (world, callers: number, entry: string) => {
            const started = Array.from({ length: callers }, (_, number) =>
                new Promise<void>((resolve) => {
                    const call = createCall(world, entry, 400, `busy caller ${String(number)}`);
                    const handleToken = (): void => {
                        resolve();
                    };
                    world.backgroundTasks.push(streamCompletion({ ...call, handleToken }).catch(() => undefined));
                }));
            await Promise.all(started);
        },
    );

    steps.define(
        "a caller sends a request to {word} with a deadline of {int} ms",
        async (world, entry: string, deadline: number) => {
            const call = createCall(world, entry, 3);
            const headers = { ...call.headers, "x-deadline-ms": String(deadline) };
            world.completions = [await streamCompletion({ ...call, headers, priority: "interactive" })];
        },
    );

    steps.define(
        "a caller streams {int} tokens from {word} and is refused",
        async (world, tokens: number, entry: string) => {
            world.completions = [await streamCompletion(createCall(world, entry, tokens, "a refused caller"))];
        },
    );

    steps.define("the stream is refused with {word}, outcome not-run and a retry delay", (world, id: string) => {
        const [completion] = world.completions;
        expect([completion?.errorId, completion?.outcome, completion?.tokens]).to.deep.equal([id, "not-run", 0]);
        expect(completion?.retryAfterMs).to.be.above(0);
    });

    steps.define("the engines have run no request {string}", async (world, name: string) => {
        // Engines record the runs that they computed under the id that the entry assigned to the request.
        const refused = world.completions[0]?.requestId ?? name;
        for (const engine of world.engines.values()) {
            if (engine.process.isRunning) {
                const { body } = await requestJson(engine.address, "GET", "/v1/seen");
                expect(body).to.not.include(refused);
            }
        }
    });

    steps.define("the stream ends with outcome {word}", (world, outcome: string) => {
        expect(world.completions.map((one) => one.outcome)).to.deep.equal([outcome]);
    });

    steps.define("the response repeats the stored error", (world) => {
        const [first, second] = world.completions;
        expect([second?.errorId, second?.outcome, second?.tokens]).to.deep.equal([first?.errorId, first?.outcome, 0]);
    });

    steps.define("all responses are {int} and identical", (world, status: number) => {
        expect(world.answers.map((answer) => answer.status)).to.deep.equal(world.answers.map(() => status));
        expect(new Set(world.answers.map((answer) => JSON.stringify(answer.body))).size).to.equal(1);
    });

    steps.define("slip {string} was printed {int} time(s)", async (world, slip: string, count: number) => {
        expect(await world.countEffects(slip)).to.equal(count);
    });
}

const lastSlips = new WeakMap<World, { readonly slip: string; readonly key: string; }>();

function createKeyedCall(world: World, entry: string, tokens: number, key: string): CompletionCall {
    const call = createCall(world, entry, tokens);
    return { ...call, headers: { ...call.headers, "idempotency-key": key } };
}

const computedCounts = new WeakMap<World, number>();

async function countComputed(world: World): Promise<number> {
    const counts = await Promise.all([...world.engines.keys()].map((name) => world.getCounts(name)));
    return counts.reduce((sum, count) => sum + count.computed, 0);
}

async function findBusyEngines(world: World): Promise<readonly string[]> {
    const names = [...world.engines.keys()];
    const counts = await Promise.all(names.map((name) => world.getCounts(name)));
    return names.filter((_, index) => (counts[index]?.running ?? 0) > 0);
}

async function killBusyEngine(world: World): Promise<void> {
    const [busy = ""] = await findBusyEngines(world);
    await world.engines.get(busy)?.process.kill();
    world.engines.delete(busy);
}

/** Creates a completion call of the default organisation. */
export function createCall(world: World, entry: string, maxTokens: number, name = "a caller"): CompletionCall {
    return {
        address: world.cluster.get(entry).addresses.callers,
        organisation: ORGANISATION,
        priority: "interactive",
        model: MODEL,
        prompt: `explain the cash limit to ${name} at ${entry}`,
        maxTokens,
        headers: createCallerHeaders(),
    };
}
