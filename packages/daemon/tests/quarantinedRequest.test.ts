import { expect } from "chai";
import type { ResendDecision } from "../src/process/entry/resendClaims.js";
import { postToEntry } from "./postToEntry.js";
import {
    type EntryOptions,
    formatChunk,
    formatEvent,
    formatResponse,
    formatStreamHead,
    ScriptedUpstream,
    TestEntry,
    type UpstreamScript,
} from "./routedHarness.js";

const scripts: Readonly<Record<string, UpstreamScript>> = {
    good: (socket, id) => socket.write(formatResponse(200, id, "good")),
    failing: (socket, id) => socket.write(formatResponse(500, id, "bad")),
    declining: (socket, id) => socket.write(formatResponse(503, id, "", "x-not-run: 1\r\n")),
    crossed: (socket) => socket.write(formatResponse(200, "another", "other")),
    rubbish: (socket) => socket.write("what?\r\n\r\n"),
    reset: (socket) => socket.resetAndDestroy(),
    closed: (socket) => socket.end(),
    short: (socket, id) => {
        socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\ncontent-length: 100\r\n\r\npart`);
        setTimeout(() => socket.resetAndDestroy(), 5);
    },
    closeDelimited: (socket, id) => socket.end(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nconnection: close\r\n\r\nto the end`),
    streamCloseDelimited: (socket, id) =>
        socket.end(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nconnection: close\r\n\r\n${formatEvent(1)}`),
    streamClosedEarly: (socket, id) => socket.end(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nconnection: close\r\n\r\n`),
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

describe("the result of an attempt tells whether an upstream crashed while running the request", () => {
    const rows: readonly { readonly script: string; readonly kind?: "stream"; readonly seen: readonly string[]; }[] = [
        { script: "good", seen: ["completed"] },
        { script: "failing", seen: ["completed"] },
        { script: "declining", seen: [] },
        { script: "crossed", seen: [] },
        { script: "closeDelimited", seen: ["unconfirmed at u, midway"] },
        { script: "rubbish", seen: [] },
        { script: "reset", seen: ["crash at u, silent"] },
        { script: "closed", seen: ["crash at u, silent"] },
        { script: "short", seen: ["crash at u, silent"] },
        { script: "stream", kind: "stream", seen: ["completed"] },
        { script: "streamReset", kind: "stream", seen: ["crash at u, midway"] },
        { script: "streamResetEarly", kind: "stream", seen: ["crash at u, silent"] },
        { script: "streamCloseDelimited", kind: "stream", seen: ["unconfirmed at u, midway"] },
        { script: "streamClosedEarly", kind: "stream", seen: ["unconfirmed at u, silent"] },
    ];
    for (const { script, kind = "call", seen } of rows) {
        it(`${script}: ${seen.join() || "nothing"}`, async () => {
            const recorded: string[] = [];
            const upstream = await ScriptedUpstream.open("u", scripts[script]!);
            const entry = await TestEntry.open({
                upstreams: [upstream],
                route: { kind, timeout_ms: 1_000 },
                crashes: {
                    recordCrash: (_context, upstreamId, { hadProgress }) =>
                        recorded.push(`crash at ${upstreamId}, ${hadProgress ? "midway" : "silent"}`),
                    recordUnconfirmed: (_context, { upstreams, hadProgress }) =>
                        recorded.push(`unconfirmed at ${upstreams.join()}, ${hadProgress ? "midway" : "silent"}`),
                    recordSuccess: () => recorded.push("completed"),
                },
            });
            try {
                await postToEntry(entry.url);
                expect(recorded).to.deep.equal(seen);
            }
            finally {
                await entry.close();
                upstream.close();
            }
        });
    }
});

describe("the preconditions of a request are checked right before it is sent", () => {
    const rows: readonly { readonly title: string; readonly options: () => Omit<EntryOptions, "upstreams">; }[] = [
        {
            title: "its deadline, which passed while the machine slept",
            options: () => ({ route: { timeout_ms: 1_000 }, sleepMs: 3_000 }),
        },
        {
            title: "its quarantine, which began while it waited for a path",
            options: () => {
                let checks = 0;
                const isQuarantined = (): boolean => {
                    checks += 1;
                    return checks > 2;
                };
                return { route: { objective_ms: 2_000 }, fullChecks: 3, crashes: { isQuarantined } };
            },
        },
        {
            title: "its key, whose lease expired while it waited for a path",
            options: () => ({ route: { objective_ms: 2_000 }, fullChecks: 3, validKeyChecks: 3 }),
        },
    ];
    for (const { title, options } of rows) {
        it(title, async () => {
            const upstream = await ScriptedUpstream.open("u", scripts.good!);
            const entry = await TestEntry.open({ upstreams: [upstream], ...options() });
            try {
                const seen = await postToEntry(entry.url);
                expect([seen.status, upstream.requests.length]).to.deep.equal([503, 0]);
            }
            finally {
                await entry.close();
                upstream.close();
            }
        });
    }
});

describe("a quarantined request is refused at once, with its own error", () => {
    const rows: readonly {
        readonly title: string;
        /** Number of checks before the request is quarantined. */
        readonly freeChecks: number;
        readonly isTrialGranted: boolean;
        readonly script: string;
        readonly sends: number;
        readonly status: number;
        readonly error: string | undefined;
    }[] = [
        {
            title: "before it ran",
            freeChecks: 0,
            isTrialGranted: false,
            script: "good",
            sends: 0,
            status: 503,
            error: "held",
        },
        {
            title: "after its own crash",
            freeChecks: 1,
            isTrialGranted: false,
            script: "reset",
            sends: 1,
            status: 502,
            error: "held-after-run",
        },
        {
            title: "no path is available, and no trial is used up",
            freeChecks: 0,
            isTrialGranted: true,
            script: "none",
            sends: 0,
            status: 503,
            error: "held",
        },
        {
            title: "a trial is granted and completes",
            freeChecks: 0,
            isTrialGranted: true,
            script: "good",
            sends: 1,
            status: 200,
            error: undefined,
        },
        {
            title: "a trial is sent once although other upstreams are available",
            freeChecks: 0,
            isTrialGranted: true,
            script: "reset",
            sends: 1,
            status: 502,
            error: "upstream-failed",
        },
        {
            title: "a declined trial is not sent again",
            freeChecks: 0,
            isTrialGranted: true,
            script: "declining",
            sends: 1,
            status: 503,
            error: "declined",
        },
    ];
    for (const { title, freeChecks, isTrialGranted, script, sends, status, error } of rows) {
        it(title, async () => {
            let checks = 0;
            const upstreams = await Promise.all(
                (script === "none" ? [] : ["u", "v", "w"]).map((name) => ScriptedUpstream.open(name, scripts[script]!)),
            );
            const entry = await TestEntry.open({
                upstreams,
                route: { most_attempts: 3 },
                crashes: {
                    isQuarantined: () => {
                        checks += 1;
                        return checks > freeChecks;
                    },
                    claimTrial: () => Promise.resolve(isTrialGranted),
                },
            });
            try {
                const seen = await postToEntry(entry.url);
                expect(seen.status).to.equal(status);
                expect(upstreams.reduce((sum, one) => sum + one.requests.length, 0)).to.equal(sends);
                if (error !== undefined) {
                    const refusal = JSON.parse(seen.body) as { error: string; final?: boolean; };
                    expect(refusal.error).to.equal(error);
                    expect(refusal.final).to.equal(error.startsWith("held") ? true : undefined);
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

describe("a request under which an upstream crashed is sent again only after the leader has agreed", () => {
    const rows: readonly {
        readonly title: string;
        /** Number of sends after which a grant is needed. */
        readonly freeSends: number;
        readonly decision: ResendDecision;
        readonly script: string;
        readonly sends: number;
        readonly status: number;
        readonly error: string | undefined;
    }[] = [
        {
            title: "granted",
            freeSends: 0,
            decision: "granted",
            script: "good",
            sends: 1,
            status: 200,
            error: undefined,
        },
        {
            title: "quarantined meanwhile",
            freeSends: 0,
            decision: "quarantined",
            script: "good",
            sends: 0,
            status: 503,
            error: "held",
        },
        {
            title: "no leader has decided",
            freeSends: 0,
            decision: "undecided",
            script: "good",
            sends: 0,
            status: 503,
            error: "resend-undecided",
        },
        {
            title: "no leader has decided after its own crash",
            freeSends: 1,
            decision: "undecided",
            script: "reset",
            sends: 1,
            status: 502,
            error: "upstream-failed",
        },
        {
            title: "each attempt needs a grant of its own",
            freeSends: 0,
            decision: "granted",
            script: "reset",
            sends: 3,
            status: 502,
            error: "upstream-failed",
        },
    ];
    for (const { title, freeSends, decision, script, sends, status, error } of rows) {
        it(title, async () => {
            const upstreams = await Promise.all(
                ["u", "v", "w"].map((name) => ScriptedUpstream.open(name, scripts[script]!)),
            );
            const countSends = (): number => upstreams.reduce((sum, one) => sum + one.requests.length, 0);
            let claims = 0;
            const entry = await TestEntry.open({
                upstreams,
                route: { most_attempts: 3 },
                crashes: {
                    needsResendGrant: () => countSends() >= freeSends,
                    claimResend: () => {
                        claims += 1;
                        return Promise.resolve(decision);
                    },
                },
            });
            try {
                const seen = await postToEntry(entry.url);
                const refusal = seen.status === 200 ? undefined : JSON.parse(seen.body) as { error: string; };
                expect([countSends(), seen.status, refusal?.error]).to.deep.equal([sends, status, error]);
                expect(claims).to.equal(decision === "granted" ? sends : 1);
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
