import { expect } from "chai";
import { ask } from "./askEntry.js";
import {
    type EntryOptions,
    formatAnswer,
    formatChunk,
    formatEvent,
    formatStreamHead,
    ScriptedUpstream,
    TestEntry,
    type UpstreamScript,
} from "./routedHarness.js";

const scripts: Readonly<Record<string, UpstreamScript>> = {
    good: (socket, id) => socket.write(formatAnswer(200, id, "good")),
    failing: (socket, id) => socket.write(formatAnswer(500, id, "bad")),
    declining: (socket, id) => socket.write(formatAnswer(503, id, "", "x-not-run: 1\r\n")),
    crossed: (socket) => socket.write(formatAnswer(200, "another", "other")),
    rubbish: (socket) => socket.write("what?\r\n\r\n"),
    reset: (socket) => socket.resetAndDestroy(),
    closed: (socket) => socket.end(),
    short: (socket, id) => {
        socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\ncontent-length: 100\r\n\r\npart`);
        setTimeout(() => socket.resetAndDestroy(), 5);
    },
    unframed: (socket, id) => socket.end(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nconnection: close\r\n\r\nto the end`),
    stream: (socket, id) => socket.write(formatStreamHead(id) + formatChunk(formatEvent(1)) + formatChunk("")),
    streamReset: (socket, id) => {
        socket.write(formatStreamHead(id) + formatChunk(formatEvent(1)));
        setTimeout(() => socket.resetAndDestroy(), 10);
    },
    streamResetEarly: (socket, id) => {
        socket.write(formatStreamHead(id));
        setTimeout(() => socket.resetAndDestroy(), 10);
    },
};

describe("the end of a try says whether an upstream ended under the request", () => {
    const rows: readonly { readonly script: string; readonly kind?: "stream"; readonly seen: readonly string[]; }[] = [
        { script: "good", seen: ["ran well"] },
        { script: "failing", seen: ["ran well"] },
        { script: "declining", seen: [] },
        { script: "crossed", seen: [] },
        { script: "unframed", seen: [] },
        { script: "rubbish", seen: [] },
        { script: "reset", seen: ["crash at u, silent"] },
        { script: "closed", seen: ["crash at u, silent"] },
        { script: "short", seen: ["crash at u, silent"] },
        { script: "stream", kind: "stream", seen: ["ran well"] },
        { script: "streamReset", kind: "stream", seen: ["crash at u, midway"] },
        { script: "streamResetEarly", kind: "stream", seen: ["crash at u, silent"] },
    ];
    for (const { script, kind = "call", seen } of rows) {
        it(`${script}: ${seen.join() || "nothing"}`, async () => {
            const found: string[] = [];
            const upstream = await ScriptedUpstream.open("u", scripts[script]!);
            const entry = await TestEntry.open({
                upstreams: [upstream],
                route: { kind, timeout_ms: 1_000 },
                crashes: {
                    recordCrash: (_run, life, hadProgress) =>
                        found.push(`crash at ${life}, ${hadProgress ? "midway" : "silent"}`),
                    recordSuccess: () => found.push("ran well"),
                },
            });
            try {
                await ask(entry.url);
                expect(found).to.deep.equal(seen);
            }
            finally {
                await entry.close();
                upstream.close();
            }
        });
    }
});

describe("what a request rests on is looked at right before it is sent", () => {
    const rows: readonly { readonly title: string; readonly options: () => Omit<EntryOptions, "upstreams">; }[] = [
        {
            title: "its time, which ran out while the machine slept",
            options: () => ({ route: { timeout_ms: 1_000 }, sleepMs: 3_000 }),
        },
        {
            title: "whether it is held, as it came to be while it waited for a path",
            options: () => {
                let looks = 0;
                const isHeld = (): boolean => {
                    looks += 1;
                    return looks > 2;
                };
                return { route: { objective_ms: 2_000 }, fullLooks: 3, crashes: { isQuarantined: isHeld } };
            },
        },
        {
            title: "its key, whose lease ran out while it waited for a path",
            options: () => ({ route: { objective_ms: 2_000 }, fullLooks: 3, keyLooks: 3 }),
        },
    ];
    for (const { title, options } of rows) {
        it(title, async () => {
            const upstream = await ScriptedUpstream.open("u", scripts.good!);
            const entry = await TestEntry.open({ upstreams: [upstream], ...options() });
            try {
                const seen = await ask(entry.url);
                expect([seen.status, upstream.requests.length]).to.deep.equal([503, 0]);
            }
            finally {
                await entry.close();
                upstream.close();
            }
        });
    }
});

describe("a request that is held is refused at once, as what it is", () => {
    const rows: readonly {
        readonly title: string;
        /** How often it may be asked before it is held. */
        readonly freeLooks: number;
        readonly mayTry: boolean;
        readonly script: string;
        readonly sends: number;
        readonly status: number;
        readonly error: string | undefined;
    }[] = [
        {
            title: "before it ran",
            freeLooks: 0,
            mayTry: false,
            script: "good",
            sends: 0,
            status: 503,
            error: "held",
        },
        {
            title: "by its own crash",
            freeLooks: 1,
            mayTry: false,
            script: "reset",
            sends: 1,
            status: 502,
            error: "held-after-run",
        },
        {
            title: "at once where no path is there, and no trial is spent",
            freeLooks: 0,
            mayTry: true,
            script: "none",
            sends: 0,
            status: 503,
            error: "held",
        },
        {
            title: "unless a trial is due, and that runs well",
            freeLooks: 0,
            mayTry: true,
            script: "good",
            sends: 1,
            status: 200,
            error: undefined,
        },
        {
            title: "a trial is one send, though other upstreams are there",
            freeLooks: 0,
            mayTry: true,
            script: "reset",
            sends: 1,
            status: 502,
            error: "upstream-failed",
        },
        {
            title: "a trial that is declined is not sent on",
            freeLooks: 0,
            mayTry: true,
            script: "declining",
            sends: 1,
            status: 503,
            error: "declined",
        },
    ];
    for (const { title, freeLooks, mayTry, script, sends, status, error } of rows) {
        it(title, async () => {
            let looks = 0;
            const upstreams = await Promise.all(
                (script === "none" ? [] : ["u", "v", "w"]).map((name) => ScriptedUpstream.open(name, scripts[script]!)),
            );
            const entry = await TestEntry.open({
                upstreams,
                route: { most_attempts: 3 },
                crashes: {
                    isQuarantined: () => {
                        looks += 1;
                        return looks > freeLooks;
                    },
                    claimTrial: () => Promise.resolve(mayTry),
                },
            });
            try {
                const seen = await ask(entry.url);
                expect(seen.status).to.equal(status);
                expect(upstreams.reduce((sum, one) => sum + one.requests.length, 0)).to.equal(sends);
                if (error !== undefined) {
                    const told = JSON.parse(seen.body) as { error: string; final?: boolean; };
                    expect(told.error).to.equal(error);
                    expect(told.final).to.equal(error.startsWith("held") ? true : undefined);
                }
                if (error?.startsWith("held") === true) {
                    expect(seen.retryAfter).to.equal(undefined);
                }
            }
            finally {
                await entry.close();
                upstreams.forEach((one) => {
                    one.close();
                });
            }
        });
    }
});
