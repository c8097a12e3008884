import type { Step, StepResponse } from "@crankfork/schemas";
import { expect } from "chai";
import { monitorEventLoopDelay } from "node:perf_hooks";
import { createEngineClient, type EngineClient } from "../src/connection/engineClient.js";
import { createAgent, ExchangeError } from "../src/connection/httpClient.js";
import { waitMs } from "../src/process/waitMs.js";
import { type EndlessReply, EndlessServer } from "./endlessServer.js";

const MIB = 1_048_576;
const MAX_SENT_BYTES = 256 * MIB;
const MAX_MEMORY_BYTES = 48 * MIB;
const MAX_PAUSE_MS = 250;
const TIMEOUT_MS = 500;
/** Time-out of a call, and the machine's load. */
const END_MS = TIMEOUT_MS + 500;
/** A call with steps is kept for a second time-out, in which late answers are counted. */
const CLOSED_MS = 2 * TIMEOUT_MS + 500;

type Reply = Omit<EndlessReply, "title">;

interface Observed {
    readonly result: unknown;
    readonly endMs: number;
    readonly pauseMs: number;
    readonly memoryBytes: number;
    readonly sentBytes: number;
    /** Connections that are open after {@link CLOSED_MS}. */
    readonly openReplies: number;
}

const step: Step = {
    run: "run-1",
    epoch: 0,
    position: 0,
    model: "m",
    version: "1",
    first_layer: 0,
    end_layer: 4,
    priority: "interactive",
    inputs: [1],
};
const answer: StepResponse = {
    run: step.run,
    epoch: 0,
    position: 0,
    first_layer: 0,
    end_layer: 4,
    result: { kind: "activations", outputs: [1] },
};

async function play(
    reply: Reply,
    call: (agent: ReturnType<typeof createAgent>, address: string) => Promise<unknown>,
): Promise<Observed> {
    const server = await EndlessServer.open({ title: "", ...reply }, MAX_SENT_BYTES);
    const agent = createAgent();
    const delays = monitorEventLoopDelay({ resolution: 5 });
    const readUsed = (): number => process.memoryUsage().heapUsed + process.memoryUsage().arrayBuffers;
    const before = readUsed();
    let most = before;
    const sampler = setInterval(() => {
        most = Math.max(most, readUsed());
    }, 20);
    const startMs = performance.now();
    delays.enable();
    try {
        const result = await Promise.race([
            call(agent, server.address).catch((error: unknown) => error),
            waitMs(4 * END_MS).then(() => "still open"),
        ]);
        const endMs = performance.now() - startMs;
        await waitMs(Math.max(0, CLOSED_MS - endMs));
        delays.disable();
        const { sentBytes, openReplies } = server;
        return { result, endMs, pauseMs: delays.max / 1e6, memoryBytes: most - before, sentBytes, openReplies };
    }
    finally {
        clearInterval(sampler);
        await agent.destroy();
        server.close();
    }
}

function checkBounds({ endMs, pauseMs, memoryBytes, openReplies }: Observed): void {
    expect(endMs, "time of the call").to.be.below(END_MS);
    expect(pauseMs, "pause of the thread").to.be.below(MAX_PAUSE_MS);
    expect(memoryBytes, "memory").to.be.below(MAX_MEMORY_BYTES);
    expect(openReplies, "open connections").to.equal(0);
}

function checkFailure({ result }: Observed, kinds: readonly string[]): void {
    expect(result).to.be.instanceOf(ExchangeError);
    expect((result as ExchangeError).failure).to.be.oneOf(kinds);
}

function callEngine<Value>(
    run: (client: EngineClient) => Promise<Value>,
): (agent: ReturnType<typeof createAgent>, address: string) => Promise<Value> {
    return (agent, address) =>
        run(createEngineClient({
            agent,
            name: "engine",
            address,
            timeoutMs: TIMEOUT_MS,
            statusTimeoutMs: TIMEOUT_MS,
            handleStrayAnswer: () => undefined,
            handleLimitNotice: () => undefined,
            handleCancelFailure: () => undefined,
        }));
}

const runStep = callEngine((client) => client.runStep(step, new AbortController().signal));

const STREAM = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const formatChunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;
const LONG = formatChunk("x".repeat(65_536));
const SHORT = formatChunk("x").repeat(10_000);
const LINE = `${JSON.stringify(answer)}\n`;
const OTHER = `${JSON.stringify({ ...answer, run: "run-2" })}\n`;

describe("a step whose answers do not end fails in time, at bounded cost", () => {
    const rows: readonly (EndlessReply & { readonly kinds: readonly string[]; })[] = [
        { title: "a line", opening: STREAM, repeated: LONG, pauseMs: 0, kinds: ["oversized"] },
        { title: "a line in chunks of one byte", opening: STREAM, repeated: SHORT, pauseMs: 0, kinds: ["oversized"] },
        { title: "a line, slowly", opening: STREAM, repeated: formatChunk("x"), pauseMs: 25, kinds: ["silent"] },
        {
            title: "answers to other steps",
            opening: STREAM,
            repeated: formatChunk(OTHER.repeat(100)),
            pauseMs: 0,
            kinds: ["oversized"],
        },
        {
            title: "answers to other steps, slowly",
            opening: STREAM,
            repeated: formatChunk(OTHER),
            pauseMs: 25,
            kinds: ["silent"],
        },
    ];
    for (const { kinds, ...row } of rows) {
        it(row.title, async () => {
            const observed = await play(row, runStep);
            checkFailure(observed, kinds);
            checkBounds(observed);
        });
    }
});

describe("a call whose steps are all answered ends, whatever follows", () => {
    const rows: readonly EndlessReply[] = [
        { title: "a line", opening: STREAM + formatChunk(LINE), repeated: LONG, pauseMs: 0 },
        { title: "a line, slowly", opening: STREAM + formatChunk(LINE), repeated: formatChunk("x"), pauseMs: 25 },
        { title: "the answer", opening: STREAM, repeated: formatChunk(LINE.repeat(100)), pauseMs: 0 },
        { title: "the answer, slowly", opening: STREAM, repeated: formatChunk(LINE), pauseMs: 25 },
        { title: "trailers, slowly", opening: `${STREAM}${formatChunk(LINE)}0\r\n`, repeated: "a: b\r\n", pauseMs: 25 },
    ];
    for (const row of rows) {
        it(row.title, async () => {
            const observed = await play(row, runStep);
            expect(observed.result).to.deep.equal(answer);
            checkBounds(observed);
        });
    }
});

describe("a failure of steps whose body does not end counts as its head says", () => {
    const opening = "HTTP/1.1 503 Busy\r\nretry-after: 2\r\ntransfer-encoding: chunked\r\n\r\n";
    const rows: readonly EndlessReply[] = [
        { title: "chunks", opening, repeated: LONG, pauseMs: 0 },
        { title: "chunks of one byte", opening, repeated: SHORT, pauseMs: 0 },
        { title: "slowly", opening, repeated: formatChunk("x"), pauseMs: 25 },
    ];
    for (const row of rows) {
        it(row.title, async () => {
            const observed = await play(row, runStep);
            checkFailure(observed, ["rubbish"]);
            expect((observed.result as ExchangeError).retryAfterMs).to.equal(2_000);
            checkBounds(observed);
        });
    }
});

describe("a small reply of an engine has a small limit", () => {
    const operations: Readonly<Record<string, (client: EngineClient) => Promise<unknown>>> = {
        status: (client) => client.getStatus(),
        order: (client) => client.sendOrder({} as Parameters<EngineClient["sendOrder"]>[0]),
        import: (client) => client.importCache([]),
    };
    for (const [title, run] of Object.entries(operations)) {
        it(title, async () => {
            const observed = await play({ opening: STREAM, repeated: LONG, pauseMs: 0 }, callEngine(run));
            checkFailure(observed, ["oversized"]);
            checkBounds(observed);
            expect(observed.sentBytes, "bytes sent").to.be.below(16 * MIB);
        });
    }
});
