/**
 * Guards against replies of other instances and of engines that are used although they are cut or no valid response.
 */
import { expect } from "chai";
import { createEngineClient, type EngineClient } from "../src/connection/engineClient.js";
import { createAgent, ExchangeError } from "../src/connection/httpClient.js";
import { createPeerClient } from "../src/connection/peerClient.js";
import { HybridClock } from "../src/process/hybridClock.js";
import {
    AnswerServer,
    createInvalidAnswers,
    createValidAnswers,
    type SentAnswer,
    UNSENT_BYTES,
} from "./invalidAnswers.js";

const TIMEOUT_MS = 2_000;
type Agent = ReturnType<typeof createAgent>;

function createEngine(agent: Agent, address: string): EngineClient {
    return createEngineClient({
        agent,
        name: "e",
        address,
        timeoutMs: TIMEOUT_MS,
        statusTimeoutMs: TIMEOUT_MS,
        handleStrayAnswer: () => undefined,
        handleLimitNotice: () => undefined,
        handleCancelFailure: () => undefined,
    });
}

const identity = { run: "r", epoch: 1, position: 0, first_layer: 0, end_layer: 1 };
const model = { model: "m", version: "1" };

const readers: readonly {
    readonly title: string;
    readonly reply: unknown;
    readonly isLine?: true;
    /** Requests without a body are sent at once. */
    readonly hasBody?: false;
    /** Sends a request that holds a text. */
    readonly call: (agent: Agent, address: string, text: string) => Promise<unknown>;
}[] = [
    {
        title: "a call to another instance",
        reply: { jsonrpc: "2.0", id: 1, result: {} },
        call: (agent, address, text) =>
            createPeerClient({ agent, secret: undefined, clock: new HybridClock() })
                .call(address, "synchronise", { text }, TIMEOUT_MS),
    },
    {
        title: "a step",
        reply: { ...identity, result: { kind: "refused", reason: "full" } },
        isLine: true,
        call: (agent, address, text) =>
            createEngine(agent, address).runStep(
                { ...identity, ...model, version: text, priority: "interactive", inputs: [1] },
                new AbortController().signal,
            ),
    },
    {
        title: "a status",
        reply: {
            holds: [],
            load: { running: 0, waiting: 0, kv_used: 0, kv_total: 1, age_ms: 0 },
            is_leaving: false,
        },
        hasBody: false,
        call: (agent, address) => createEngine(agent, address).getStatus(),
    },
    {
        title: "an order",
        reply: { kind: "accepted" },
        call: (agent, address, text) =>
            createEngine(agent, address).sendOrder({
                fence: { term: 1, index: 1 },
                life_ms: 1,
                holds: [{ ...model, version: text, first_layer: 0, end_layer: 1 }],
            }),
    },
    {
        title: "the export of a cache",
        reply: [],
        call: (agent, address, text) => createEngine(agent, address).exportCache(text),
    },
    {
        title: "the import of a cache",
        reply: {},
        call: (agent, address, text) =>
            createEngine(agent, address).importCache([{ ...identity, ...model, version: text, layers: [] }]),
    },
];

for (const { title: reader, reply, isLine, hasBody = true, call } of readers) {
    const body = JSON.stringify(reply) + (isLine === true ? "\n" : "");
    const [validAnswer] = createValidAnswers(body);
    const receive = async (answer: SentAnswer, earlierAnswer?: SentAnswer): Promise<unknown> => {
        const server = await AnswerServer.open(answer, earlierAnswer);
        const agent = createAgent();
        try {
            if (earlierAnswer !== undefined) {
                await call(agent, server.address, "a");
                // The connection is free only after its response has been passed on.
                await new Promise(setImmediate);
            }
            const text = answer.isEarly === true ? "a".repeat(UNSENT_BYTES) : "a";
            return await call(agent, server.address, text).then(() => "accepted", (error: unknown) => error);
        }
        finally {
            await agent.destroy();
            server.close();
        }
    };

    describe(`an invalid reply to ${reader} is an error`, () => {
        for (const answer of createInvalidAnswers(body).filter(({ isEarly }) => hasBody || isEarly !== true)) {
            it(answer.title, async () => {
                expect(await receive(answer)).to.be.instanceOf(ExchangeError);
            });

            it(`${answer.title}, on a connection that was used before`, async () => {
                expect(await receive(answer, validAnswer)).to.be.instanceOf(ExchangeError);
            });
        }
    });

    describe(`a valid reply to ${reader} is accepted`, () => {
        for (const answer of createValidAnswers(body)) {
            it(answer.title, async () => {
                expect(await receive(answer, validAnswer)).to.equal("accepted");
            });
        }
    });
}
