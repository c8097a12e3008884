/**
 * Guards against answers that an entry cuts because their upstreams are silent for a while.
 */
import type { Route } from "@crankfork/schemas";
import { expect } from "chai";
import { request as sendHttp } from "node:http";
import type { Socket } from "node:net";
import type { StallReport } from "../src/request/requestFunctions.js";
import { installProcessorTimers } from "./processorTimers.js";
import {
    formatChunk,
    formatEvent,
    formatResponse,
    formatStreamHead,
    goneUpstream,
    type ReceivedResponse,
    ScriptedUpstream,
    TestEntry,
} from "./routedHarness.js";

const EVENTS = 20;
const EVENT_INTERVAL_MS = 10;
/** Time for which a paused upstream does not answer a query of its state. */
const REPORT_TIMEOUT_MS = 40;
const TIMEOUT_MS = 4_000;

/** An upstream that runs a request step by step, and does nothing while it is paused. */
class PausableUpstream {
    isPaused = false;
    /** Answers to requests that arrive from now on. */
    behaviour: "run" | "decline" | "reset" | "fail" = "run";
    private readonly timers = new Set<NodeJS.Timeout>();

    private constructor(readonly upstream: ScriptedUpstream, private readonly responseMs: number) {}

    static async open(name: string, responseMs: number): Promise<PausableUpstream> {
        let handle: (socket: Socket, id: string, text: string) => void = () => undefined;
        const scripted = await ScriptedUpstream.open(name, (socket, id, text) => {
            handle(socket, id, text);
        });
        const pausable = new PausableUpstream(scripted, responseMs);
        handle = (socket, id, text) => {
            pausable.respond(socket, id, text);
        };
        return pausable;
    }

    async getReport(): Promise<StallReport> {
        if (!this.isPaused) {
            return { kind: "moving" };
        }
        await new Promise((resolve) => setTimeout(resolve, REPORT_TIMEOUT_MS));
        return { kind: "unreachable" };
    }

    close(): void {
        this.timers.forEach((timer) => {
            clearInterval(timer);
        });
        this.upstream.close();
    }

    private respond(socket: Socket, id: string, text: string): void {
        switch (this.behaviour) {
            case "decline":
                socket.write(formatResponse(503, id, "", "x-not-run: 1\r\n"));
                return;
            case "reset":
                socket.resetAndDestroy();
                return;
            case "fail":
                socket.write(formatResponse(500, id, "bad"));
                return;
            case "run":
                break;
        }
        const isStream = /x-kind: stream/i.test(text);
        let event = Number(/last-event-id: (\d+)/i.exec(text)?.[1] ?? 0);
        let waitedMs = 0;
        let hasHead = false;
        const timer = setInterval(() => {
            if (socket.destroyed) {
                clearInterval(timer);
                return;
            }
            if (this.isPaused) {
                return;
            }
            waitedMs += EVENT_INTERVAL_MS;
            if (waitedMs < this.responseMs) {
                return;
            }
            if (!isStream) {
                socket.write(formatResponse(200, id, "good"));
                clearInterval(timer);
                return;
            }
            if (!hasHead) {
                hasHead = true;
                socket.write(formatStreamHead(id));
            }
            event += 1;
            if (event <= EVENTS) {
                socket.write(formatChunk(formatEvent(event)));
            }
            else {
                socket.write(formatChunk(""));
                clearInterval(timer);
            }
        }, EVENT_INTERVAL_MS);
        this.timers.add(timer);
    }
}

async function ask(url: string, kind: Route["kind"]): Promise<ReceivedResponse> {
    return await new Promise((resolve) => {
        let body = "";
        const headers = { "x-id": "one", "x-kind": kind, "x-deadline": String(TIMEOUT_MS) };
        const request = sendHttp(url, { method: "POST", headers, agent: false }, (response) => {
            response.on("data", (chunk: Buffer) => body += chunk.toString());
            response.on("end", () => {
                resolve({ status: response.statusCode, body, isComplete: true });
            });
            response.on("error", () => {
                resolve({ status: response.statusCode, body, isComplete: false });
            });
        });
        request.on("error", () => {
            resolve({ status: undefined, body, isComplete: false });
        });
        request.end("body");
    });
}

interface PauseCase {
    readonly title: string;
    readonly kind?: Route["kind"];
    readonly mostAttempts: number;
    /** Names of the upstreams. */
    readonly upstreams: number;
    /** When upstreams pause and continue, in milliseconds after the request, with their numbers; all by default. */
    readonly pauses: readonly { readonly fromMs: number; readonly toMs: number; readonly at?: readonly number[]; }[];
    /** Behaviour of the upstreams from the first pause on, for requests that arrive later. */
    readonly later?: readonly PausableUpstream["behaviour"][];
    /** Retries that the budget allows; any number by default. */
    readonly retries?: number;
    /** Time that an upstream takes until it begins to answer. */
    readonly responseMs?: number;
    readonly maySwitchPath?: boolean;
}

const streams: readonly PauseCase[] = [1, 2, 3].flatMap((mostAttempts) =>
    [100, 400, 1_000].map((pauseMs) => ({
        title: `all upstreams pause for ${String(pauseMs)} ms, ${String(mostAttempts)} attempts`,
        mostAttempts,
        upstreams: 3,
        pauses: [{ fromMs: 60, toMs: 60 + pauseMs }],
    }))
);

const rows: readonly PauseCase[] = [
    ...streams,
    {
        title: "the only upstream pauses",
        mostAttempts: 2,
        upstreams: 1,
        pauses: [{ fromMs: 60, toMs: 500 }],
    },
    {
        title: "the retry budget is spent",
        mostAttempts: 2,
        upstreams: 2,
        pauses: [{ fromMs: 60, toMs: 500, at: [0] }],
        retries: 0,
    },
    {
        title: "the retry budget is spent, and silence alone is no reason to switch",
        mostAttempts: 2,
        upstreams: 2,
        pauses: [{ fromMs: 60, toMs: 500, at: [0] }],
        retries: 0,
        maySwitchPath: false,
    },
    {
        title: "the second attempt is declined",
        mostAttempts: 2,
        upstreams: 2,
        pauses: [{ fromMs: 60, toMs: 500, at: [0] }],
        later: ["run", "decline"],
    },
    {
        title: "the connection of the second attempt is reset",
        mostAttempts: 2,
        upstreams: 2,
        pauses: [{ fromMs: 60, toMs: 500, at: [0] }],
        later: ["run", "reset"],
    },
    {
        title: "the second attempt fails",
        mostAttempts: 2,
        upstreams: 2,
        pauses: [{ fromMs: 60, toMs: 500, at: [0] }],
        later: ["run", "fail"],
    },
    {
        title: "two pauses, one after the other",
        mostAttempts: 2,
        upstreams: 3,
        pauses: [{ fromMs: 60, toMs: 300 }, { fromMs: 380, toMs: 700 }],
    },
    {
        title: "one upstream pauses, then the next one",
        mostAttempts: 2,
        upstreams: 2,
        pauses: [{ fromMs: 60, toMs: 300, at: [0] }, { fromMs: 200, toMs: 700, at: [1] }],
    },
    {
        title: "all upstreams pause before the first event",
        mostAttempts: 2,
        upstreams: 2,
        pauses: [{ fromMs: 0, toMs: 600 }],
    },
    {
        title: "the only upstream pauses before the first event",
        mostAttempts: 2,
        upstreams: 1,
        pauses: [{ fromMs: 0, toMs: 600 }],
    },
    {
        title: "a call that all upstreams answer late",
        kind: "call",
        mostAttempts: 2,
        upstreams: 2,
        pauses: [{ fromMs: 0, toMs: 600 }],
    },
    {
        title: "a call whose budget is spent",
        kind: "call",
        mostAttempts: 2,
        upstreams: 2,
        pauses: [{ fromMs: 0, toMs: 300 }],
        retries: 0,
    },
    {
        title: "a call whose second attempt fails",
        kind: "call",
        mostAttempts: 2,
        upstreams: 2,
        pauses: [{ fromMs: 0, toMs: 300 }],
        later: ["run", "fail"],
    },
    {
        title: "a call whose second attempt is reset",
        kind: "call",
        mostAttempts: 2,
        upstreams: 2,
        pauses: [{ fromMs: 0, toMs: 300 }],
        later: ["run", "reset"],
    },
    {
        title: "a call that takes longer than its objective everywhere",
        kind: "call",
        mostAttempts: 2,
        upstreams: 2,
        pauses: [],
        responseMs: 250,
    },
];

async function play(row: PauseCase): Promise<{
    readonly seen: ReceivedResponse;
    readonly sent: readonly number[];
}> {
    const { kind = "stream" } = row;
    const pausables = await Promise.all(
        Array.from(
            { length: row.upstreams },
            (_unused, at) => PausableUpstream.open(`u${String(at)}`, row.responseMs ?? 0),
        ),
    );
    let retries = 0;
    const entry = await TestEntry.open({
        upstreams: pausables.map(({ upstream }) => upstream),
        route: { kind, most_attempts: row.mostAttempts, timeout_ms: TIMEOUT_MS },
        isPath: kind === "stream",
        maySwitchPath: row.maySwitchPath ?? true,
        claimRetry: () => {
            retries += 1;
            return retries <= (row.retries ?? Number.POSITIVE_INFINITY);
        },
        queryStall: async ({ upstreamName }) =>
            await pausables.find(({ upstream }) => upstream.name === upstreamName)!.getReport(),
    });
    const timers = row.pauses.flatMap(({ fromMs, toMs, at }) => {
        const chosen = pausables.filter((_one, number) => at?.includes(number) !== false);
        const setPaused = (isPaused: boolean): void => {
            chosen.forEach((one) => {
                one.isPaused = isPaused;
            });
        };
        if (fromMs === 0) {
            setPaused(true);
        }
        return [
            setTimeout(() => {
                setPaused(true);
                row.later?.slice(1).forEach((behaviour, at) => {
                    pausables[at + 1]!.behaviour = behaviour;
                });
            }, fromMs),
            setTimeout(() => {
                setPaused(false);
            }, toMs),
        ];
    });
    try {
        const seen = await ask(entry.url, kind);
        return { seen, sent: pausables.map(({ upstream }) => upstream.requests.length) };
    }
    finally {
        timers.forEach((timer) => {
            clearTimeout(timer);
        });
        await entry.close();
        pausables.forEach((one) => {
            one.close();
        });
    }
}

describe("an answer is whole although its upstreams are silent for a while", () => {
    installProcessorTimers();

    for (const row of rows) {
        it(row.title, async () => {
            const { seen, sent } = await play(row);
            const whole = row.kind === "call"
                ? "good"
                : Array.from({ length: EVENTS }, (_unused, at) => formatEvent(at + 1)).join("");
            expect(seen).to.deep.equal({ status: 200, body: whole, isComplete: true });
            expect(sent.filter((count) => count > 0).length).to.be.at.most(row.mostAttempts);
        });
    }
});

describe("a stream whose upstream is gone goes on elsewhere within its pause objective", () => {
    installProcessorTimers();

    it("three streams that fall silent together", async () => {
        const PAUSE_MS = 200;
        const silent = await PausableUpstream.open("silent", 0);
        const good = await PausableUpstream.open("good", 0);
        const entry = await TestEntry.open({
            upstreams: [silent.upstream, good.upstream],
            route: { kind: "stream", pause_objective_ms: PAUSE_MS, timeout_ms: TIMEOUT_MS },
            isPath: true,
        });
        setTimeout(() => {
            silent.isPaused = true;
        }, 80);
        const seen = await Promise.all([1, 2, 3].map(() => ask(entry.url, "stream")));
        await entry.close();
        silent.close();
        good.close();
        expect(seen.every(({ isComplete }) => isComplete)).to.equal(true);
        expect(entry.ends.map(({ longestPauseMs }) => (longestPauseMs ?? 0) <= PAUSE_MS))
            .to.deep.equal([true, true, true]);
    });
});

describe("an attempt or a retry is not spent at an upstream that is silent as well", () => {
    installProcessorTimers();

    const MOST_MS = 1_500;
    const rows: readonly {
        readonly title: string;
        /** When each upstream pauses and continues, in milliseconds after the request. */
        readonly pauses: readonly (readonly { readonly fromMs: number; readonly toMs: number; }[])[];
        readonly retries?: number;
    }[] = [
        {
            title: "both pause, the first one goes on and is then silent for good",
            pauses: [[{ fromMs: 60, toMs: 300 }, { fromMs: 400, toMs: TIMEOUT_MS }], [{ fromMs: 60, toMs: 600 }]],
        },
        {
            title: "the first two of three are silent for good",
            pauses: [[{ fromMs: 60, toMs: TIMEOUT_MS }], [{ fromMs: 60, toMs: TIMEOUT_MS }], []],
        },
        {
            title: "the first two of three are silent for good, and one retry is left",
            pauses: [[{ fromMs: 60, toMs: TIMEOUT_MS }], [{ fromMs: 60, toMs: TIMEOUT_MS }], []],
            retries: 1,
        },
    ];
    for (const { title, pauses, retries = Number.POSITIVE_INFINITY } of rows) {
        it(title, async () => {
            const pausables = await Promise.all(
                pauses.map((_unused, at) => PausableUpstream.open(`u${String(at)}`, 0)),
            );
            const getReport = ({ upstreamName }: { readonly upstreamName: string; }): Promise<StallReport> =>
                pausables.find(({ upstream }) => upstream.name === upstreamName)!.getReport();
            let claimed = 0;
            const entry = await TestEntry.open({
                upstreams: pausables.map(({ upstream }) => upstream),
                route: { kind: "stream", most_attempts: 2, timeout_ms: TIMEOUT_MS },
                isPath: true,
                claimRetry: () => {
                    claimed += 1;
                    return claimed <= retries;
                },
                queryStall: getReport,
                isPathResponsive: async (target) => (await getReport(target)).kind !== "unreachable",
            });
            const timers = pauses.flatMap((spans, at) =>
                spans.flatMap(({ fromMs, toMs }) =>
                    [{ ms: fromMs, isPaused: true }, { ms: toMs, isPaused: false }].map(({ ms, isPaused }) =>
                        setTimeout(() => {
                            pausables[at]!.isPaused = isPaused;
                        }, ms)
                    )
                )
            );
            const startMs = performance.now();
            const seen = await ask(entry.url, "stream");
            const durationMs = performance.now() - startMs;
            timers.forEach((timer) => {
                clearTimeout(timer);
            });
            await entry.close();
            pausables.forEach((one) => {
                one.close();
            });
            expect(seen.isComplete).to.equal(true);
            expect(durationMs).to.be.at.most(MOST_MS);
        });
    }
});

describe("a failure whose upstream is silent within its body is passed on whole", () => {
    installProcessorTimers();

    const PAUSE_MS = 1_200;
    const rows = [
        { title: "of a request that may run once", isRepeatable: false },
        { title: "of the last attempt of a repeatable request", isRepeatable: true },
    ];
    for (const { title, isRepeatable } of rows) {
        it(title, async () => {
            const upstream = await ScriptedUpstream.open("u", (socket, id) => {
                const [head = "", rest = ""] = formatResponse(500, id, "failure").split("lure");
                socket.write(head);
                setTimeout(() => socket.write(`lure${rest}`), PAUSE_MS);
            });
            const entry = await TestEntry.open({
                upstreams: [upstream],
                route: { kind: "call", is_repeatable: isRepeatable, most_attempts: 1, timeout_ms: TIMEOUT_MS },
            });
            const { status, body } = await ask(entry.url, "call");
            await entry.close();
            upstream.close();
            expect({ status, body }).to.deep.equal({ status: 500, body: "failure" });
        });
    }
});

describe("an upstream that did not respond to a backup attempt is used for the next attempt", () => {
    installProcessorTimers();

    it("the silent attempt breaks off once it responds again", async () => {
        const silent = await PausableUpstream.open("silent", 0);
        const other = await PausableUpstream.open("other", 0);
        const entry = await TestEntry.open({
            upstreams: [silent.upstream, other.upstream],
            route: { kind: "stream", most_attempts: 2, timeout_ms: TIMEOUT_MS },
            isPath: true,
            queryStall: () => silent.getReport(),
            isPathResponsive: () => Promise.resolve(!other.isPaused),
        });
        setTimeout(() => {
            silent.isPaused = true;
            other.isPaused = true;
        }, 60);
        setTimeout(() => {
            other.isPaused = false;
            silent.upstream.crash();
        }, 425);
        const seen = await ask(entry.url, "stream");
        await entry.close();
        silent.close();
        other.close();
        expect(seen.isComplete).to.equal(true);
    });
});

describe("a backup attempt that did not run does not prevent another one", () => {
    installProcessorTimers();

    const SERVED_AGAIN_MS = 1_200;
    const MOST_MS = 3_000;
    const rows: readonly {
        readonly title: string;
        /** Upstreams beside the first one, which is silent for good. */
        readonly others: readonly ("declines at first" | "accepts no connections" | "sound")[];
        readonly retries?: number;
    }[] = [
        { title: "the only other upstream declines at first", others: ["declines at first"] },
        {
            title: "four others decline at first",
            others: Array.from({ length: 4 }, () => "declines at first" as const),
        },
        {
            title: "the second upstream accepts no connections, and one retry is left",
            others: ["accepts no connections", "sound"],
            retries: 1,
        },
    ];
    for (const { title, others, retries = Number.POSITIVE_INFINITY } of rows) {
        it(title, async () => {
            const pausables = await Promise.all(
                ["silent", ...others].map((_unused, at) => PausableUpstream.open(`u${String(at)}`, 0)),
            );
            let claimed = 0;
            const entry = await TestEntry.open({
                upstreams: pausables.map(({ upstream }, at) =>
                    others[at - 1] === "accepts no connections" ? goneUpstream : upstream
                ),
                route: { kind: "stream", most_attempts: 2, timeout_ms: TIMEOUT_MS },
                isPath: true,
                claimRetry: () => {
                    claimed += 1;
                    return claimed <= retries;
                },
                releaseRetry: () => {
                    claimed -= 1;
                },
            });
            setTimeout(() => {
                pausables[0]!.isPaused = true;
            }, 60);
            const declining = pausables.filter((_one, at) => others[at - 1] === "declines at first");
            declining.forEach((one) => {
                one.behaviour = "decline";
            });
            setTimeout(() => {
                declining.forEach((one) => {
                    one.behaviour = "run";
                });
            }, SERVED_AGAIN_MS);
            const startMs = performance.now();
            const seen = await ask(entry.url, "stream");
            const durationMs = performance.now() - startMs;
            await entry.close();
            pausables.forEach((one) => {
                one.close();
            });
            expect(seen.isComplete).to.equal(true);
            expect(durationMs).to.be.at.most(MOST_MS);
        });
    }
});

describe("one report that fails at once does not count as two missing ones", () => {
    installProcessorTimers();

    /** Time for which an entry shares a report. */
    const SHARED_MS = 70;
    it("an engine that pauses longer than contracted, and then reports", async () => {
        const engine = await PausableUpstream.open("engine", 0);
        let firstMs: number | undefined;
        const entry = await TestEntry.open({
            upstreams: [engine.upstream],
            route: { kind: "stream", timeout_ms: TIMEOUT_MS },
            isPath: true,
            queryStall: () => {
                firstMs ??= performance.now();
                const isShared = performance.now() - firstMs < SHARED_MS;
                return Promise.resolve({ kind: isShared ? "unreachable" : "moving" });
            },
        });
        setTimeout(() => {
            engine.isPaused = true;
        }, 60);
        setTimeout(() => {
            engine.isPaused = false;
        }, 400);
        const seen = await ask(entry.url, "stream");
        await entry.close();
        engine.close();
        expect(seen.isComplete).to.equal(true);
        expect(entry.suspects).to.deep.equal([]);
    });
});

describe("a stream whose engine is silent begins elsewhere within its objective", () => {
    installProcessorTimers();

    it("the engine sends no report", async () => {
        const OBJECTIVE_MS = 500;
        const ENGINE_TIMEOUT_MS = 350;
        const silent = await PausableUpstream.open("silent", 0);
        const good = await PausableUpstream.open("good", 0);
        silent.isPaused = true;
        const entry = await TestEntry.open({
            upstreams: [silent.upstream, good.upstream],
            route: { kind: "stream", objective_ms: OBJECTIVE_MS, pause_objective_ms: 200, timeout_ms: TIMEOUT_MS },
            isPath: true,
            queryStall: async ({ upstreamName }) => {
                if (upstreamName === "silent") {
                    await new Promise((resolve) => setTimeout(resolve, ENGINE_TIMEOUT_MS));
                    return { kind: "unreachable" };
                }
                return { kind: "moving" };
            },
        });
        const startMs = performance.now();
        const seen = await ask(entry.url, "stream");
        await entry.close();
        silent.close();
        good.close();
        expect(seen.isComplete).to.equal(true);
        expect((entry.ends[0]?.firstMs ?? Number.POSITIVE_INFINITY) - startMs).to.be.at.most(OBJECTIVE_MS);
    });
});

describe("a stream whose upstream broke off waits for another one as long as its caller does", () => {
    installProcessorTimers();

    const AVAILABLE_AFTER_MS = 2_500;
    const rows = [
        { title: "no other upstream can take it before", isAvailable: false, hasRetry: true },
        { title: "the retry budget is spent before", isAvailable: true, hasRetry: false },
    ];
    for (const { title, isAvailable, hasRetry } of rows) {
        it(title, async () => {
            const broken = await ScriptedUpstream.open("broken", (socket, id) => {
                socket.write(formatStreamHead(id) + formatChunk(formatEvent(1)));
                setTimeout(() => socket.resetAndDestroy(), 20);
            });
            const good = await PausableUpstream.open("good", 0);
            const startMs = performance.now();
            const isLate = (): boolean => performance.now() - startMs > AVAILABLE_AFTER_MS;
            const entry = await TestEntry.open({
                upstreams: [broken, good.upstream],
                route: { kind: "stream", timeout_ms: 2 * TIMEOUT_MS },
                isPath: true,
                isAvailable: (name) => name === "broken" || isAvailable || isLate(),
                claimRetry: () => hasRetry || isLate(),
            });
            const seen = await ask(entry.url, "stream");
            await entry.close();
            broken.close();
            good.close();
            expect(seen.isComplete).to.equal(true);
        });
    }
});
