import { readTimeline } from "@crankfork/cli";
import { expect } from "chai";
import { createConnection } from "node:net";
import { type JsonResponse, requestJson } from "../../src/harness/cluster.js";
import type { StepRegistry } from "../../src/harness/gherkin.js";
import { createCallerHeaders, LAYERS, MODEL, type World } from "../../src/harness/world.js";

interface RawRequest {
    readonly path?: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
}

/** Long, since each chunk of a stream contains the model name: a few hundred chunks fill all buffers up to the caller. */
const LONG_MODEL = `m${"x".repeat(16_000)}`;
const validBody = JSON.stringify({ model: MODEL, prompt: "a question", max_tokens: 3 });
const headers = createCallerHeaders();

/** Invalid requests by the name that features use. */
const invalidInputs: Readonly<Record<string, RawRequest>> = {
    "a body that is too large": { body: JSON.stringify({ model: MODEL, prompt: "x".repeat(8_192) }) },
    "broken JSON": { body: '{"model":' },
    "a body without a prompt": { body: JSON.stringify({ model: MODEL }) },
    "too many tokens asked for": { body: JSON.stringify({ model: MODEL, prompt: "a", max_tokens: 100_000 }) },
    "an unknown model": { body: validBody.replace(MODEL, "no-such-model") },
    "an unknown path": { path: "/v1/embeddings", body: validBody },
    "an unknown service": { path: "/services/no-such-service/x", body: "slip" },
    "no organisation": { headers: {}, body: validBody },
    "an unknown organisation": { headers: { ...headers, "x-organisation": "nobody" }, body: validBody },
    "a wrong secret": { headers: { ...headers, authorization: "Bearer wrong" }, body: validBody },
    "an unknown class": { headers: { ...headers, "x-priority": "soon" }, body: validBody },
    "a deadline that is no number": { headers: { ...headers, "x-deadline-ms": "tomorrow" }, body: validBody },
    "a call that claims to be repeatable": {
        path: "/services/slips/print",
        headers: { ...headers, "x-repeatable": "true" },
        body: "slip",
    },
    "a call without the key it needs": { path: "/services/slips/print", body: "slip" },
};

/** Steps that send invalid or incomplete requests, or inject malformed and missing responses. */
export function defineBadInputSteps(steps: StepRegistry<World>): void {
    steps.define("a caller sends {string} to {word}", async (world, input: string, entry: string) => {
        world.answers = [await sendRaw(world, entry, invalidInputs[input])];
    });

    steps.define("a caller sends a completion to {word}", async (world, entry: string) => {
        world.answers = [await sendRaw(world, entry, { body: validBody })];
    });

    steps.define(
        "the response is {int} with error {word} and outcome {word}",
        (world, status: number, id: string, outcome: string) => {
            const { error } = getAnswer(world).body as { error: Record<string, unknown>; };
            expect([getAnswer(world).status, error.id, error.outcome]).to.deep.equal([status, id, outcome]);
            for (const field of ["message", "step", "peer", "request_id", "type"]) {
                expect(error).to.have.property(field).that.is.a("string");
            }
        },
    );

    steps.define("the response has a retry delay", (world) => {
        const { error } = getAnswer(world).body as { error: { retry_after_ms?: number; }; };
        expect(error.retry_after_ms).to.be.above(0);
    });

    steps.define("the stand-ins have done no work", async (world) => {
        expect(await world.countAllWork()).to.equal(0);
    });

    steps.define("{word} sends malformed responses", async (world, name: string) => {
        await world.setFaults(name, { rubbish: true });
    });

    steps.define("{word} never answers", async (world, name: string) => {
        await world.setFaults(name, { silent: true });
    });

    steps.define("{word} sends each answer twice and {int} ms late", async (world, name: string, late_ms: number) => {
        await world.setFaults(name, { doubled: true, late_ms });
    });

    steps.define(
        "a standalone entry that disconnects stalled callers, with a model whose chunks are large",
        async (world) => {
            for (const name of ["engine-1", "engine-2"]) {
                await world.startEngine(name, {
                    model_layers: { [LONG_MODEL]: LAYERS },
                    batch_ms: 0,
                    token_layer_ms: 0,
                });
            }
            const limits = { stream_buffer: "16KiB", caller_stall: "500ms" };
            await world.cluster.startEntry({
                name: "entry-1",
                hasDisk: true,
                sections: { instance: { alone: true }, limits },
            });
            const models = [{ name: LONG_MODEL, layers: LAYERS, max_tokens: 5_000 }];
            await world.cluster.confirm("entry-1", { ...world.createIntent({ id: "first" }), models });
            await world.cluster.waitUntilReady();
            await world.cluster.waitUntilLoaded(world.engines.size);
        },
    );

    steps.define("a caller requests {int} tokens and never reads the response", async (world, max_tokens: number) => {
        const [host, port] = world.cluster.get("entry-1").addresses.callers.split(":");
        const body = JSON.stringify({ model: LONG_MODEL, prompt: "a question", max_tokens, stream: true });
        const lines = Object.entries({ ...headers, "content-length": String(body.length) }).map((pair) =>
            pair.join(": ")
        );
        const socket = createConnection(Number(port), host).pause();
        socket.on("error", () => undefined);
        await new Promise<void>((resolve) => {
            socket.write(["POST /v1/completions HTTP/1.1", "host: x", ...lines, "", body].join("\r\n"), () => {
                resolve();
            });
        });
        await world.cluster.waitUntil("the run to begin", async () => (await world.getCounts("engine-1")).computed > 0);
    });

    steps.define("the engines have computed less than half of {int} tokens", async (world, tokens: number) => {
        expect(await world.countAllWork()).to.be.within(1, LAYERS * tokens / 2);
    });

    steps.define(
        "the log of {word} records that the request failed with {word}",
        async (world, entry: string, id: string) => {
            await world.cluster.waitUntil("the event", () => {
                const events = readTimeline([world.cluster.get(entry).logFile], {});
                return Promise.resolve(events.some((one) => one.event === "request-failed" && one.fields.error === id));
            });
        },
    );

    steps.define("a caller disconnects from {word} in the middle of a request", async (world, entry: string) => {
        const [host, port] = world.cluster.get(entry).addresses.callers.split(":");
        const socket = createConnection(Number(port), host);
        await new Promise<void>((resolve) => {
            const head = 'POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 500\r\n\r\n{"model"';
            socket.write(head, () => {
                socket.destroy();
                resolve();
            });
        });
    });
}

function sendRaw(world: World, entry: string, raw: RawRequest | undefined): Promise<JsonResponse> {
    if (raw === undefined) {
        throw new Error("the feature names an unknown input");
    }
    const { callers } = world.cluster.get(entry).addresses;
    return requestJson(callers, "POST", raw.path ?? "/v1/completions", raw.body, raw.headers ?? headers);
}

function getAnswer(world: World): JsonResponse {
    const answer = world.answers.at(-1);
    if (answer === undefined) {
        throw new Error("no response was received in this scenario");
    }
    return answer;
}
