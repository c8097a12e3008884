/**
 * What becomes of one request whose upstreams get as many requests as they take.
 */
import { expect } from "chai";
import { postToEntry } from "./postToEntry.js";
import { formatAnswer, ScriptedUpstream, TestEntry } from "./routedHarness.js";

const OBJECTIVE_MS = 500;
const FOR_EVER = Number.POSITIVE_INFINITY;

describe("a request waits for a send that is held for it, and no longer than its answer bears", () => {
    const rows: readonly {
        readonly title: string;
        readonly limited: { readonly looks: number; readonly leftMs: number; readonly isHeld: boolean; };
        readonly objectiveMs?: number;
        readonly status: number;
        readonly retryAfter?: string;
        readonly isAtOnce?: boolean;
    }[] = [
        { title: "one is held for soon", limited: { looks: 2, leftMs: 60, isHeld: true }, status: 200 },
        {
            title: "one is held for later than it bears",
            limited: { looks: FOR_EVER, leftMs: 400, isHeld: true },
            status: 503,
            retryAfter: "0.4",
            isAtOnce: true,
        },
        {
            title: "the next one is free for somebody, and far",
            limited: { looks: FOR_EVER, leftMs: 900, isHeld: false },
            status: 503,
            retryAfter: "0.9",
            isAtOnce: true,
        },
        { title: "the leader is being asked", limited: { looks: 1, leftMs: 0, isHeld: false }, status: 200 },
        {
            title: "the leader has none",
            limited: { looks: FOR_EVER, leftMs: 0, isHeld: false },
            status: 503,
        },
        {
            title: "one that has to be answered sooner does not wait as long",
            limited: { looks: FOR_EVER, leftMs: 60, isHeld: true },
            objectiveMs: 100,
            status: 503,
            retryAfter: "0.06",
            isAtOnce: true,
        },
    ];
    for (const { title, limited, objectiveMs = OBJECTIVE_MS, status, retryAfter, isAtOnce = false } of rows) {
        it(title, async () => {
            const upstream = await ScriptedUpstream.open(
                "u0",
                (socket, id) => socket.write(formatAnswer(200, id, "done")),
            );
            const entry = await TestEntry.open({
                upstreams: [upstream],
                route: { objective_ms: objectiveMs, most_attempts: 3 },
                limited,
            });
            try {
                const seen = await postToEntry(entry.url);
                expect(seen.status).to.equal(status);
                if (retryAfter !== undefined) {
                    expect(seen.retryAfter).to.equal(retryAfter);
                }
                expect(upstream.requests.length).to.equal(status === 200 ? 1 : 0);
                expect(entry.looks === 1).to.equal(isAtOnce);
            }
            finally {
                await entry.close();
                upstream.close();
            }
        });
    }
});
