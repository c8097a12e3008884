import type { Route } from "@crankfork/schemas";
import { expect } from "chai";
import { request as sendHttp } from "node:http";
import type { Socket } from "node:net";
import {
    type EntryOptions,
    formatChunk,
    formatEvent,
    formatResponse,
    formatStreamHead,
    goneUpstream,
    type ReceivedResponse,
    ScriptedUpstream,
    TestEntry,
    type UpstreamScript,
} from "./routedHarness.js";

const scripts: Readonly<Record<string, UpstreamScript>> = {
    good: (socket, id) => socket.write(formatResponse(200, id, "good")),
    failing: (socket, id) => socket.write(formatResponse(500, id, "bad")),
    declining: (socket, id) => socket.write(formatResponse(503, id, "", "x-not-run: 1\r\n")),
    crossed: (socket) => socket.write(formatResponse(200, "another", "other")),
    reset: (socket) => socket.resetAndDestroy(),
    short: (socket, id) => {
        socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\ncontent-length: 100\r\n\r\npart`);
        setTimeout(() => socket.resetAndDestroy(), 5);
    },
    rubbish: (socket) => socket.write("what?\r\n\r\n"),
    closeDelimited: (socket, id) => socket.end(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nconnection: close\r\n\r\nto the end`),
    closeDelimitedReset: (socket, id) => {
        socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nconnection: close\r\n\r\npart`);
        setTimeout(() => socket.resetAndDestroy(), 5);
    },
    surplus: (socket, id) => socket.write(formatResponse(200, id, "good") + formatResponse(200, id, "again")),
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
    disconnectAfterMs?: number,
    callerHeaders: Record<string, string> = {},
): Promise<ReceivedResponse> {
    return await new Promise((resolve) => {
        let body = "";
        const headers = { "x-id": "one", ...callerHeaders };
        const request = sendHttp(url, { method: "POST", headers, agent: false }, (response) => {
            const finish = (isComplete: boolean): void => {
                const retryAfter = response.headers["retry-after"];
                const { "content-length": length, "transfer-encoding": encoding } = response.headers;
                resolve({ status: response.statusCode, body, isComplete, retryAfter, length, encoding });
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
            resolve({ status: undefined, body, isComplete: false });
        });
        request.end("body");
        if (disconnectAfterMs !== undefined) {
            setTimeout(() => request.destroy(), disconnectAfterMs);
        }
    });
}

async function runScenario(
    names: readonly string[],
    route: Partial<Route>,
    options: Pick<EntryOptions, "isPath" | "maySwitchPath" | "ended" | "followLink"> = {},
): Promise<{
    readonly seen: ReceivedResponse;
    readonly requests: readonly string[][];
    readonly suspects: readonly string[];
}> {
    const upstreams = await Promise.all(
        names.map((name, index) =>
            ScriptedUpstream.open(`${name}${String(index)}`, scripts[name] ?? (() => undefined))
        ),
    );
    const entry = await TestEntry.open({
        upstreams,
        route,
        ...options,
        queryStall: () => Promise.resolve({ kind: "stalled", faultAddress: "at-fault" }),
    });
    const seen = await ask(entry.url);
    await entry.close();
    upstreams.forEach((upstream) => {
        upstream.close();
    });
    return { seen, requests: upstreams.map((upstream) => upstream.requests), suspects: entry.suspects };
}

const notRepeatable = { is_repeatable: false, most_attempts: 1 };
const events = (...ids: readonly number[]): string => ids.map(formatEvent).join("");

const rows: readonly {
    readonly title: string;
    readonly upstreams: readonly string[];
    readonly route?: Partial<Route>;
    readonly status: number | undefined;
    readonly body?: string;
    readonly sent: readonly number[];
}[] = [
    { title: "a successful response is returned unchanged", upstreams: ["good"], status: 200, body: "good", sent: [1] },
    {
        title: "a failure is retried elsewhere",
        upstreams: ["failing", "good"],
        status: 200,
        body: "good",
        sent: [1, 1],
    },
    {
        title: "after two failures the last is forwarded",
        upstreams: ["failing", "failing", "good"],
        status: 500,
        body: "bad",
        sent: [1, 1, 0],
    },
    {
        title: "not repeatable: a failure is forwarded",
        upstreams: ["failing", "good"],
        route: notRepeatable,
        status: 500,
        body: "bad",
        sent: [1, 0],
    },
    {
        title: "not repeatable: a declined request is sent elsewhere",
        upstreams: ["declining", "good"],
        route: notRepeatable,
        status: 200,
        sent: [1, 1],
    },
    {
        title: "declined by all is refused as not run",
        upstreams: ["declining", "declining"],
        status: 503,
        sent: [1, 1],
    },
    {
        title: "not repeatable: a request whose connection was reset may have run",
        upstreams: ["reset", "good"],
        route: notRepeatable,
        status: 502,
        sent: [1, 0],
    },
    {
        title: "a request whose connection was reset is retried elsewhere",
        upstreams: ["reset", "good"],
        status: 200,
        sent: [1, 1],
    },
    {
        title: "a response to another request is not forwarded",
        upstreams: ["crossed", "good"],
        status: 200,
        body: "good",
        sent: [1, 1],
    },
    {
        title: "not repeatable: after a response to another request it may have run",
        upstreams: ["crossed", "good"],
        route: notRepeatable,
        status: 502,
        sent: [1, 0],
    },
    {
        title: "a truncated response is not forwarded",
        upstreams: ["short", "good"],
        status: 200,
        body: "good",
        sent: [1, 1],
    },
    {
        title: "bytes that are not an HTTP response",
        upstreams: ["rubbish", "good"],
        status: 200,
        body: "good",
        sent: [1, 1],
    },
    {
        title: "a close-delimited response is complete",
        upstreams: ["closeDelimited"],
        status: 200,
        body: "to the end",
        sent: [1],
    },
    {
        title: "a close-delimited response whose connection is reset is incomplete",
        upstreams: ["closeDelimitedReset", "good"],
        status: 200,
        body: "good",
        sent: [1, 1],
    },
    {
        title: "bytes after a complete response are dropped",
        upstreams: ["surplus"],
        status: 200,
        body: "good",
        sent: [1],
    },
    { title: "no upstream", upstreams: [], status: 503, sent: [] },
    {
        title: "the route's time-out has passed, and the request may have run",
        upstreams: ["mute"],
        route: { timeout_ms: 60 },
        status: 504,
        sent: [1],
    },
    {
        title: "without a response within the objective the request is retried elsewhere",
        upstreams: ["mute", "good"],
        status: 200,
        sent: [1, 1],
    },
    {
        title: "not repeatable: without a response within the objective the request waits",
        upstreams: ["mute", "good"],
        route: { ...notRepeatable, timeout_ms: 200 },
        status: 504,
        sent: [1, 0],
    },
    {
        title: "a stream is forwarded event by event",
        upstreams: ["stream"],
        route: { kind: "stream" },
        status: 200,
        body: events(1, 2, 3, 4),
        sent: [1],
    },
    {
        title: "a stream that breaks within an event continues elsewhere without lost or duplicate events",
        upstreams: ["streamReset", "stream"],
        route: { kind: "stream" },
        status: 200,
        body: events(1, 2, 3, 4),
        sent: [1, 1],
    },
    {
        title: "a stream that ends within an event is incomplete",
        upstreams: ["streamCut", "stream"],
        route: { kind: "stream" },
        status: 200,
        body: events(1, 2, 3, 4),
        sent: [1, 1],
    },
    {
        title: "events with decreasing ids are not forwarded",
        upstreams: ["streamBack", "stream"],
        route: { kind: "stream" },
        status: 200,
        body: events(2, 3, 4),
        sent: [1, 1],
    },
];

describe("a routed request gets its own, complete response and runs no more often than allowed", () => {
    for (const { title, upstreams, route = {}, status, body, sent } of rows) {
        it(title, async () => {
            const { seen, requests } = await runScenario(upstreams, route);
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

    it("a response without a length is forwarded without one, since its upstream may have crashed", async () => {
        const { seen } = await runScenario(["closeDelimited"], {});
        expect(seen).to.include({ body: "to the end", length: undefined, encoding: undefined });
        const selfDelimited = await runScenario(["good"], {});
        expect(selfDelimited.seen.length).to.equal("4");
    });

    it("if all paths are at capacity the caller is refused soon, with Retry-After", async () => {
        const entry = await TestEntry.open({ upstreams: [], route: { objective_ms: 100 }, fallback: "full" });
        const seen = await ask(entry.url);
        await entry.close();
        expect(entry.ends.map((end) => end.refusal)).to.deep.equal(["full"]);
        expect(seen.status).to.equal(503);
        expect(Number(seen.retryAfter)).to.be.above(1);
    });

    it("if the engines don't hold the model the caller is refused at once, with Retry-After", async () => {
        const entry = await TestEntry.open({
            upstreams: [],
            route: { timeout_ms: 20_000 },
            fallback: "too-few-engines",
        });
        const startMs = performance.now();
        const seen = await ask(entry.url, undefined, { "x-deadline": "20000" });
        await entry.close();
        expect(entry.ends).to.deep.include({ outcome: "refused", status: 503, refusal: "too-few-engines" });
        expect(Number(seen.retryAfter)).to.equal(5);
        // It would wait 1.8 s for a path that is being loaded.
        expect(performance.now() - startMs).to.be.below(1_800);
    });

    const retryRows = [
        { title: "a new caller is refused soon", deadlineMs: 10_000, status: 503 },
        { title: "a retrying caller waits for capacity", deadlineMs: 8_000, status: 200 },
    ];
    for (const { title, deadlineMs, status } of retryRows) {
        it(`if all paths are at capacity for a moment, ${title}`, async () => {
            const good = await ScriptedUpstream.open("good", scripts.good ?? (() => undefined));
            const route = { objective_ms: 400, timeout_ms: 10_000 };
            // Checks are 40 ms apart: capacity is available after 200 ms; a new caller waits 60 ms, a retrying one 1 s.
            const entry = await TestEntry.open({ upstreams: [good], route, fullChecks: 6 });
            const seen = await ask(entry.url, undefined, { "x-deadline": String(deadlineMs) });
            await entry.close();
            good.close();
            expect(seen.status).to.equal(status);
        });
    }

    it("a stream that is not repeatable is aborted visibly", async () => {
        const { seen } = await runScenario(["streamReset", "stream"], { kind: "stream", ...notRepeatable });
        expect(seen).to.include({ status: 200, body: events(1, 2), isComplete: false });
    });

    for (const isRepeatable of [true, false]) {
        it(`links see the events of each attempt and its end, repeatable: ${String(isRepeatable)}`, async () => {
            const seenLinks: string[] = [];
            const followLink: EntryOptions["followLink"] = ({ upstreamName }) => ({
                recordEvent: () => seenLinks.push(upstreamName),
                close: () => seenLinks.push("end"),
            });
            const route = { kind: "stream", is_repeatable: isRepeatable } as const;
            await runScenario(["streamReset", "stream"], route, { followLink });
            const attempts = isRepeatable ? ["streamReset0", "end", "stream1", "end"] : ["streamReset0", "end"];
            const changes = seenLinks.filter((one, index) => one !== seenLinks[index - 1]);
            expect(changes).to.deep.equal(attempts);
        });
    }

    it("a stream whose path stalls continues elsewhere, and the failed engine is excluded", async () => {
        const options = { isPath: true, maySwitchPath: false };
        const { seen, suspects } = await runScenario(["streamSilent", "stream"], { kind: "stream" }, options);
        expect(seen).to.include({ body: events(1, 2, 3, 4), isComplete: true });
        expect(suspects).to.deep.equal(["at-fault"]);
    });

    const limitRows = [
        { title: "two runs are the limit", upstreams: ["reset", "reset", "good"], ended: [], sent: [1, 1, 0] },
        {
            title: "an upstream that has terminated does not count",
            upstreams: ["reset", "reset", "good"],
            ended: ["reset0"],
            sent: [1, 1, 1],
        },
        {
            title: "an upstream that never ran the request does not change the count, even if it has terminated",
            upstreams: ["declining", "reset", "reset", "good"],
            ended: ["declining0"],
            sent: [1, 1, 1, 0],
        },
    ];
    for (const { title, upstreams, ended, sent } of limitRows) {
        it(`a request of two attempts: ${title}`, async () => {
            const { requests } = await runScenario(upstreams, {}, { ended });
            expect(requests.map((one) => one.length)).to.deep.equal(sent);
        });
    }

    it("streams that fall silent together continue elsewhere before any report arrives, and no engine is suspected", async () => {
        const silent = await ScriptedUpstream.open("silent", scripts["streamSilent"] ?? (() => undefined));
        const good = await ScriptedUpstream.open("good", scripts["stream"] ?? (() => undefined));
        const route = { kind: "stream", pause_objective_ms: 200 } as const;
        const entry = await TestEntry.open({ upstreams: [silent, good], route, isPath: true });
        const seen = await Promise.all([ask(entry.url), ask(entry.url), ask(entry.url)]);
        await entry.close();
        silent.close();
        good.close();
        seen.forEach((one) => {
            expect(one).to.include({ body: events(1, 2, 3, 4), isComplete: true });
        });
        expect(entry.suspects).to.deep.equal([]);
    });

    it("an upstream that refuses connections was sent nothing", async () => {
        const good = await ScriptedUpstream.open("good", scripts.good ?? (() => undefined));
        const entry = await TestEntry.open({ upstreams: [goneUpstream, good], route: notRepeatable });
        expect(await ask(entry.url)).to.include({ status: 200, body: "good" });
        expect(entry.suspects).to.deep.equal(["gone"]);
        await entry.close();
        good.close();
    });

    it("the upstream's connection is closed when the caller disconnects", async () => {
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
