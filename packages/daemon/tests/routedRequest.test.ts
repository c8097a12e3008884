import type { Route } from "@crankfork/schemas";
import { expect } from "chai";
import { request as sendHttp } from "node:http";
import { createServer, type Socket } from "node:net";
import {
    type EntryOptions,
    formatAnswer,
    formatChunk,
    formatEvent,
    formatStreamHead,
    ScriptedUpstream,
    type SeenAnswer,
    TestEntry,
    type UpstreamScript,
} from "./routedHarness.js";

const answers: Readonly<Record<string, UpstreamScript>> = {
    good: (socket, id) => socket.write(formatAnswer(200, id, "good")),
    failing: (socket, id) => socket.write(formatAnswer(500, id, "bad")),
    declining: (socket, id) => socket.write(formatAnswer(503, id, "", "x-not-run: 1\r\n")),
    crossed: (socket) => socket.write(formatAnswer(200, "another", "other")),
    reset: (socket) => socket.resetAndDestroy(),
    short: (socket, id) => {
        socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\ncontent-length: 100\r\n\r\npart`);
        setTimeout(() => socket.resetAndDestroy(), 5);
    },
    rubbish: (socket) => socket.write("what?\r\n\r\n"),
    unframed: (socket, id) => socket.end(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nconnection: close\r\n\r\nto the end`),
    unframedReset: (socket, id) => {
        socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nconnection: close\r\n\r\npart`);
        setTimeout(() => socket.resetAndDestroy(), 5);
    },
    surplus: (socket, id) => socket.write(formatAnswer(200, id, "good") + formatAnswer(200, id, "again")),
    stream: (socket, id, request) => {
        const after = Number(/last-event-id: (\d+)/i.exec(request)?.[1] ?? 0);
        const rest = [1, 2, 3, 4].filter((event) => event > after).map((event) => formatChunk(formatEvent(event)));
        socket.write(formatStreamHead(id) + rest.join("") + formatChunk(""));
    },
    streamReset: (socket, id) => {
        socket.write(formatStreamHead(id) + formatChunk(formatEvent(1) + formatEvent(2) + "id: 3\nda"));
        setTimeout(() => socket.resetAndDestroy(), 10);
    },
    streamCut: (socket, id) =>
        socket.write(formatStreamHead(id) + formatChunk(formatEvent(1) + "id: 2\nda") + formatChunk("")),
    streamSilent: (socket, id) => socket.write(formatStreamHead(id) + formatChunk(formatEvent(1))),
    streamBack: (socket, id) =>
        socket.write(formatStreamHead(id) + formatChunk(formatEvent(2) + formatEvent(1)) + formatChunk("")),
    mute: () => undefined,
};

async function ask(
    url: string,
    leaveAfterMs?: number,
    callerHeaders: Record<string, string> = {},
): Promise<SeenAnswer> {
    return await new Promise((resolve) => {
        let body = "";
        const headers = { "x-id": "one", ...callerHeaders };
        const request = sendHttp(url, { method: "POST", headers, agent: false }, (response) => {
            const finish = (isWhole: boolean): void => {
                const retryAfter = response.headers["retry-after"];
                const { "content-length": length, "transfer-encoding": encoding } = response.headers;
                resolve({ status: response.statusCode, body, isWhole, retryAfter, length, encoding });
            };
            response.on("data", (chunk: Buffer) => body += chunk.toString());
            response.on("end", () => {
                finish(true);
            });
            response.on("error", () => {
                finish(false);
            });
        });
        request.on("error", () => {
            resolve({ status: undefined, body, isWhole: false });
        });
        request.end("body");
        if (leaveAfterMs !== undefined) {
            setTimeout(() => request.destroy(), leaveAfterMs);
        }
    });
}

async function play(
    names: readonly string[],
    route: Partial<Route>,
    options: Pick<EntryOptions, "isPath" | "mayLeave" | "ended"> = {},
): Promise<{
    readonly seen: SeenAnswer;
    readonly requests: readonly string[][];
    readonly suspects: readonly string[];
}> {
    const upstreams = await Promise.all(
        names.map((name, index) =>
            ScriptedUpstream.open(`${name}${String(index)}`, answers[name] ?? (() => undefined))
        ),
    );
    const entry = await TestEntry.open({
        upstreams,
        route,
        ...options,
        askStall: () => Promise.resolve({ kind: "stalled", faultAddress: "at-fault" }),
    });
    const seen = await ask(entry.url);
    await entry.close();
    upstreams.forEach((upstream) => {
        upstream.close();
    });
    return { seen, requests: upstreams.map((upstream) => upstream.requests), suspects: entry.suspects };
}

const once = { is_repeatable: false, most_attempts: 1 };
const events = (...ids: readonly number[]): string => ids.map(formatEvent).join("");

const rows: readonly {
    readonly title: string;
    readonly upstreams: readonly string[];
    readonly route?: Partial<Route>;
    readonly status: number | undefined;
    readonly body?: string;
    readonly sent: readonly number[];
}[] = [
    { title: "a good answer comes back as it is", upstreams: ["good"], status: 200, body: "good", sent: [1] },
    { title: "a failure is tried elsewhere", upstreams: ["failing", "good"], status: 200, body: "good", sent: [1, 1] },
    {
        title: "two failures hand the last on",
        upstreams: ["failing", "failing", "good"],
        status: 500,
        body: "bad",
        sent: [1, 1, 0],
    },
    {
        title: "once only: a failure is handed on",
        upstreams: ["failing", "good"],
        route: once,
        status: 500,
        body: "bad",
        sent: [1, 0],
    },
    {
        title: "once only: declined is tried elsewhere",
        upstreams: ["declining", "good"],
        route: once,
        status: 200,
        sent: [1, 1],
    },
    {
        title: "declined by all is refused as not run",
        upstreams: ["declining", "declining"],
        status: 503,
        sent: [1, 1],
    },
    { title: "once only: a reset may have run", upstreams: ["reset", "good"], route: once, status: 502, sent: [1, 0] },
    { title: "a reset is tried elsewhere", upstreams: ["reset", "good"], status: 200, sent: [1, 1] },
    {
        title: "an answer to another request is not handed on",
        upstreams: ["crossed", "good"],
        status: 200,
        body: "good",
        sent: [1, 1],
    },
    {
        title: "once only: an answer to another request may have run",
        upstreams: ["crossed", "good"],
        route: once,
        status: 502,
        sent: [1, 0],
    },
    {
        title: "an answer that is cut short is not handed on",
        upstreams: ["short", "good"],
        status: 200,
        body: "good",
        sent: [1, 1],
    },
    { title: "bytes that are no answer", upstreams: ["rubbish", "good"], status: 200, body: "good", sent: [1, 1] },
    {
        title: "an answer that ends with its connection is whole",
        upstreams: ["unframed"],
        status: 200,
        body: "to the end",
        sent: [1],
    },
    {
        title: "one that is reset on the way is not",
        upstreams: ["unframedReset", "good"],
        status: 200,
        body: "good",
        sent: [1, 1],
    },
    {
        title: "bytes after a whole answer belong to nobody",
        upstreams: ["surplus"],
        status: 200,
        body: "good",
        sent: [1],
    },
    { title: "no upstream", upstreams: [], status: 503, sent: [] },
    {
        title: "the route's time is over, and it may have run",
        upstreams: ["mute"],
        route: { timeout_ms: 60 },
        status: 504,
        sent: [1],
    },
    {
        title: "no answer within the objective is tried elsewhere",
        upstreams: ["mute", "good"],
        status: 200,
        sent: [1, 1],
    },
    {
        title: "once only: no answer within the objective is waited for",
        upstreams: ["mute", "good"],
        route: { ...once, timeout_ms: 200 },
        status: 504,
        sent: [1, 0],
    },
    {
        title: "a stream comes event by event",
        upstreams: ["stream"],
        route: { kind: "stream" },
        status: 200,
        body: events(1, 2, 3, 4),
        sent: [1],
    },
    {
        title: "a stream that breaks inside an event goes on elsewhere, with nothing lost or twice",
        upstreams: ["streamReset", "stream"],
        route: { kind: "stream" },
        status: 200,
        body: events(1, 2, 3, 4),
        sent: [1, 1],
    },
    {
        title: "a stream that ends inside an event is not complete",
        upstreams: ["streamCut", "stream"],
        route: { kind: "stream" },
        status: 200,
        body: events(1, 2, 3, 4),
        sent: [1, 1],
    },
    {
        title: "events that go back are not handed on",
        upstreams: ["streamBack", "stream"],
        route: { kind: "stream" },
        status: 200,
        body: events(2, 3, 4),
        sent: [1, 1],
    },
];

describe("a routed request gets its own answer, whole, and runs no more often than it may", () => {
    for (const { title, upstreams, route = {}, status, body, sent } of rows) {
        it(title, async () => {
            const { seen, requests } = await play(upstreams, route);
            expect(seen.status).to.equal(status);
            expect(requests.map((list) => list.length)).to.deep.equal(sent);
            if (body !== undefined) {
                expect(seen.body).to.equal(body);
            }
            if (status === 503) {
                expect(Number(seen.retryAfter)).to.be.above(0);
            }
        });
    }

    it("an answer without a length is handed on without one, since its upstream may have crashed", async () => {
        const { seen } = await play(["unframed"], {});
        expect(seen).to.include({ body: "to the end", length: undefined, encoding: undefined });
        const framed = await play(["good"], {});
        expect(framed.seen.length).to.equal("4");
    });

    it("where all paths are full the caller is soon told when to come back", async () => {
        const entry = await TestEntry.open({ upstreams: [], route: { objective_ms: 100 }, otherwise: "full" });
        const seen = await ask(entry.url);
        await entry.close();
        expect(entry.ends.map((end) => end.refusal)).to.deep.equal(["full"]);
        expect(seen.status).to.equal(503);
        expect(Number(seen.retryAfter)).to.be.above(1);
    });

    it("where the engines don't hold the model the caller is told at once, and when to come back", async () => {
        const entry = await TestEntry.open({
            upstreams: [],
            route: { timeout_ms: 20_000 },
            otherwise: "too-few-engines",
        });
        const startMs = performance.now();
        const seen = await ask(entry.url, undefined, { "x-deadline": "20000" });
        await entry.close();
        expect(entry.ends).to.deep.include({ outcome: "refused", status: 503, refusal: "too-few-engines" });
        expect(Number(seen.retryAfter)).to.equal(5);
        // Its patience for a path that is being loaded would be 1.8 s.
        expect(performance.now() - startMs).to.be.below(1_800);
    });

    const backRows = [
        { title: "a new caller is told soon to come back", deadlineMs: 10_000, status: 503 },
        { title: "one that is back is let wait for room", deadlineMs: 8_000, status: 200 },
    ];
    for (const { title, deadlineMs, status } of backRows) {
        it(`where all paths are full for a moment, ${title}`, async () => {
            const good = await ScriptedUpstream.open("good", answers.good ?? (() => undefined));
            const route = { objective_ms: 400, timeout_ms: 10_000 };
            // Looks are 40 ms apart: room comes after 200 ms, a new caller waits 60 ms and one that is back a second.
            const entry = await TestEntry.open({ upstreams: [good], route, fullLooks: 6 });
            const seen = await ask(entry.url, undefined, { "x-deadline": String(deadlineMs) });
            await entry.close();
            good.close();
            expect(seen.status).to.equal(status);
        });
    }

    it("a stream that may run only once breaks off visibly", async () => {
        const { seen } = await play(["streamReset", "stream"], { kind: "stream", ...once });
        expect(seen).to.include({ status: 200, body: events(1, 2), isWhole: false });
    });

    it("a stream whose path stands still goes on elsewhere, and the engine at fault is left out", async () => {
        const options = { isPath: true, mayLeave: false };
        const { seen, suspects } = await play(["streamSilent", "stream"], { kind: "stream" }, options);
        expect(seen).to.include({ body: events(1, 2, 3, 4), isWhole: true });
        expect(suspects).to.deep.equal(["at-fault"]);
    });

    const limitRows = [
        { title: "two runs are enough", upstreams: ["reset", "reset", "good"], ended: [], sent: [1, 1, 0] },
        {
            title: "one that has ended does not count",
            upstreams: ["reset", "reset", "good"],
            ended: ["reset0"],
            sent: [1, 1, 1],
        },
        {
            title: "one that never ran it takes nothing off, also where it has ended",
            upstreams: ["declining", "reset", "reset", "good"],
            ended: ["declining0"],
            sent: [1, 1, 1, 0],
        },
    ];
    for (const { title, upstreams, ended, sent } of limitRows) {
        it(`a request of two attempts: ${title}`, async () => {
            const { requests } = await play(upstreams, {}, { ended });
            expect(requests.map((one) => one.length)).to.deep.equal(sent);
        });
    }

    it("streams that fall silent together go on elsewhere before any report tells, and no engine is blamed", async () => {
        const silent = await ScriptedUpstream.open("silent", answers["streamSilent"] ?? (() => undefined));
        const good = await ScriptedUpstream.open("good", answers["stream"] ?? (() => undefined));
        const route = { kind: "stream", pause_objective_ms: 200 } as const;
        const entry = await TestEntry.open({ upstreams: [silent, good], route, isPath: true });
        const seen = await Promise.all([ask(entry.url), ask(entry.url), ask(entry.url)]);
        await entry.close();
        silent.close();
        good.close();
        seen.forEach((one) => {
            expect(one).to.include({ body: events(1, 2, 3, 4), isWhole: true });
        });
        expect(entry.suspects).to.deep.equal([]);
    });

    it("an upstream that nobody listens at was not sent anything", async () => {
        const closed = createServer();
        await new Promise<void>((resolve) => closed.listen(0, "127.0.0.1", resolve));
        const { port } = closed.address() as { port: number; };
        await new Promise((resolve) => closed.close(resolve));
        const gone = { name: "gone", address: `127.0.0.1:${String(port)}` };
        const good = await ScriptedUpstream.open("good", answers.good ?? (() => undefined));
        const entry = await TestEntry.open({ upstreams: [gone, good], route: once });
        expect(await ask(entry.url)).to.include({ status: 200, body: "good" });
        expect(entry.suspects).to.deep.equal(["gone"]);
        await entry.close();
        good.close();
    });

    it("the upstream's connection is closed when the caller leaves", async () => {
        let socket: Socket | undefined;
        const upstream = await ScriptedUpstream.open("mute", (opened) => {
            socket = opened;
        });
        const entry = await TestEntry.open({ upstreams: [upstream], route: {} });
        await ask(entry.url, 30);
        await new Promise((resolve) => {
            if (socket?.destroyed === false) {
                socket.once("close", resolve);
                socket.once("end", resolve);
            }
            else {
                resolve(undefined);
            }
        });
        expect(entry.ends.map((end) => end.outcome)).to.deep.equal(["caller-left"]);
        await entry.close();
        upstream.close();
    });
});
