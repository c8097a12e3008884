import { expect } from "chai";
import { type CompletionCall, computeExpectedText, streamCompletion } from "../../src/harness/caller.js";
import type { StepRegistry } from "../../src/harness/gherkin.js";
import { createCallerHeaders, LAYERS, MODEL, ORGANISATION, type World } from "../../src/harness/world.js";
import { getProcess } from "./cluster.js";

/** Steps that send requests and look at what came of them. */
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
                    return streamCompletion({
                        ...createCall(world, entry, tokens, `caller ${String(number)}`),
                        handleToken: () => {
                            markStarted();
                        },
                    });
                })
            );
            world.background.push(
                Promise.all(calls).then((completions) => {
                    world.completions = completions;
                }),
            );
            await Promise.all(started);
        },
    );

    steps.define("all streams have ended", async (world) => {
        await Promise.all(world.background);
    });

    steps.define("every answer is whole", (world) => {
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

    steps.define("what came before the error is the beginning of the whole answer", (world) => {
        const [completion] = world.completions;
        expect(completion?.tokens).to.be.above(0);
        expect(computeExpectedText(completion!.call, LAYERS).startsWith(completion!.text)).to.equal(true);
    });

    steps.define("a caller leaves {word} after {int} tokens", async (world, entry: string, tokens: number) => {
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
    });

    steps.define("no engine has a run left", async (world) => {
        for (const name of world.engines.keys()) {
            await world.cluster.waitFor(`${name} to have no run`, async () => {
                const { running, waiting } = await world.getCounts(name);
                return running === 0 && waiting === 0;
            });
        }
    });

    steps.define("{word} computes nothing more", async (world, name: string) => {
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

    steps.define("all answers are {int} and alike", (world, status: number) => {
        expect(world.answers.map((answer) => answer.status)).to.deep.equal(world.answers.map(() => status));
        expect(new Set(world.answers.map((answer) => JSON.stringify(answer.body))).size).to.equal(1);
    });

    steps.define("slip {string} was printed {int} time(s)", async (world, slip: string, count: number) => {
        expect(await world.countEffects(slip)).to.equal(count);
    });
}

/** Creates a completion call of the usual organisation. */
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
