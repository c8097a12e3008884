import type { Route } from "@crankfork/schemas";
import { expect } from "chai";
import { waitMs } from "../src/process/waitMs.js";
import { installClock } from "./installedClock.js";
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

/** Statuses that tell the caller that its request has not run and never will. */
const NOT_RUN_STATUSES = [408, 421, 429, 503];
const TIMEOUT_MS = 250;
/** Longer than the waits and the time-out of a request, after which nothing may be sent. */
const LATER_MS = 300;

/** Every way in which an attempt can end, and whether the upstream may have run the request. */
const endings: Readonly<Record<string, { readonly mayRun: boolean; readonly script?: UpstreamScript; }>> = {
    "not sent": { mayRun: false },
    "kept back": { mayRun: false },
    declined: { mayRun: false, script: (socket, id) => socket.write(formatResponse(503, id, "", "x-not-run: 1\r\n")) },
    failed: { mayRun: true, script: (socket, id) => socket.write(formatResponse(500, id, "bad")) },
    reset: { mayRun: true, script: (socket) => socket.resetAndDestroy() },
    closed: { mayRun: true, script: (socket) => socket.end() },
    "truncated response": {
        mayRun: true,
        script: (socket, id) => socket.end(`HTTP/1.1 200 X\r\nx-id: ${id}\r\ncontent-length: 9\r\n\r\npart`),
    },
    "no HTTP": { mayRun: true, script: (socket) => socket.write("what?\r\n\r\n") },
    "stray response": { mayRun: true, script: (socket) => socket.write(formatResponse(200, "another", "")) },
    "truncated decline": {
        mayRun: true,
        script: (socket, id) =>
            socket.end(`HTTP/1.1 503 X\r\nx-id: ${id}\r\nx-not-run: 1\r\ncontent-length: 9\r\n\r\n`),
    },
    // Given up as stalled where the request is repeatable, otherwise at the time-out.
    silent: { mayRun: true, script: () => undefined },
    "silent stream": { mayRun: true, script: (socket, id) => socket.write(formatStreamHead(id)) },
    "begun stream": {
        mayRun: true,
        script: (socket, id) => socket.end(formatStreamHead(id) + formatChunk(formatEvent(1))),
    },
};

/** One ending for each outcome of an attempt. */
const seconds = ["not sent", "kept back", "declined", "failed", "reset", "silent", "begun stream"];

/** What a request meets after its attempts. */
const sequels: Readonly<Record<string, (hasBeenSent: () => boolean) => Partial<EntryOptions>>> = {
    "no upstream": () => ({}),
    "paths full": () => ({ fallback: "full" }),
    "too few engines": () => ({ fallback: "too-few-engines" }),
    "at their limits": () => ({ fallback: "limited" }),
    "in backoff": () => ({ backoffMs: 30 }),
    // The path is there when the next step is chosen, and gone when it is taken.
    "path lost at the second check": () => ({ fallback: "full", lostAfterChecks: 2 }),
    "path lost at the third check": () => ({ fallback: "full", lostAfterChecks: 3 }),
    "key expires": () => ({ validKeyChecks: 1 }),
    quarantine: (hasBeenSent) => ({ crashes: { isQuarantined: hasBeenSent } }),
};

/**
 * Advances a paused clock by a millisecond with each turn of the event loop, so that time-outs do not depend on how fast
 * the process runs.
 * @returns restores the clock
 */
function startLoopClock(): () => void {
    const clock = installClock();
    let isRunning = true;
    const advance = (): void => {
        if (isRunning) {
            clock.tick(1);
            setImmediate(advance);
        }
    };
    setImmediate(advance);
    return () => {
        isRunning = false;
        clock.uninstall();
    };
}

interface Played {
    readonly status: number | undefined;
    /** Upstreams that received the request and may have run it. */
    readonly runs: number;
    readonly sentLater: number;
}

async function play(
    names: readonly string[],
    route: Partial<Route>,
    createOptions: (hasBeenSent: () => boolean) => Partial<EntryOptions>,
    headers: Readonly<Record<string, string>> = {},
): Promise<Played> {
    const upstreams = await Promise.all(
        names.map(async (name, index) =>
            await ScriptedUpstream.open(`${name}-${String(index)}`, endings[name]?.script ?? (() => undefined))
        ),
    );
    const countSent = (): number => upstreams.reduce((sum, one) => sum + one.requests.length, 0);
    const entry = await TestEntry.open({
        // Nobody listens at port 1.
        upstreams: upstreams.map(({ name, address }) => (
            { name, address: name.startsWith("not sent") ? "127.0.0.1:1" : address }
        )),
        route: { timeout_ms: TIMEOUT_MS, ...route },
        isPath: true,
        notices: { maySend: ({ upstreamId }) => !upstreamId.startsWith("kept back") },
        ...createOptions(() => countSent() > 0),
    });
    const status = await fetch(entry.url, { method: "POST", body: "b", headers: { "x-id": "one", ...headers } }).then(
        async (response) => await response.text().then(() => response.status, () => undefined),
        () => undefined,
    );
    const sentBefore = countSent();
    await waitMs(LATER_MS);
    const sentLater = countSent() - sentBefore;
    const runs =
        upstreams.filter((one, index) => one.requests.length > 0 && endings[names[index] ?? ""]?.mayRun).length;
    await entry.close();
    upstreams.forEach((one) => {
        one.close();
    });
    return { status, runs, sentLater };
}

// Guards against a caller that repeats a request elsewhere although it ran, since it was told that it had not.
describe("a refusal that says that the request has not run is true", () => {
    let stopClock: () => void;

    beforeEach(() => {
        stopClock = startLoopClock();
    });

    afterEach(() => {
        stopClock();
    });

    const attempts = Object.keys(endings).flatMap((first) => [
        [first],
        ...seconds.map((next) => [first, next]),
    ]);
    const cases = (["call", "stream"] as const).flatMap((kind) => attempts.map((names) => ({ kind, names })));
    for (const isRepeatable of [false, true]) {
        for (const [sequel, createOptions] of Object.entries(sequels)) {
            it(`one or two attempts, repeatable: ${String(isRepeatable)}, then ${sequel}`, async () => {
                const played = await Promise.all(cases.map(async ({ kind, names }) => {
                    const route = { kind, is_repeatable: isRepeatable };
                    return { kind, names, ...await play(names, route, createOptions) };
                }));
                const refused = played.filter(({ status }) => NOT_RUN_STATUSES.includes(status ?? 0));
                expect(refused.filter(({ runs, sentLater }) => runs + sentLater > 0)).to.deep.equal([]);
                // The table meets both kinds of answers.
                expect(refused).not.to.have.length(0);
                expect(refused).not.to.have.length(played.length);
            });
        }
    }

    const waits = [
        { title: "its time ran out", fullChecks: 6, deadlineMs: 60 },
        { title: "it waited for room as long as it may", fullChecks: 6, deadlineMs: TIMEOUT_MS },
    ];
    for (const { title, fullChecks, deadlineMs } of waits) {
        it(`a request that was refused while it waited is not sent later: ${title}`, async () => {
            const headers = { "x-deadline": String(deadlineMs) };
            const played = await play(["failed"], {}, () => ({ fullChecks }), headers);
            expect(played).to.deep.equal({ status: 503, runs: 0, sentLater: 0 });
        });
    }
});
