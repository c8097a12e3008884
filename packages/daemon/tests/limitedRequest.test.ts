/**
 * Handling of a request whose upstreams have used up their rate limits.
 */
import { expect } from "chai";
import { postToEntry } from "./postToEntry.js";
import { formatResponse, ScriptedUpstream, TestEntry } from "./routedHarness.js";

const OBJECTIVE_MS = 500;
const ALWAYS = Number.POSITIVE_INFINITY;

describe("a request waits for a permit held for it, but no longer than its objective allows", () => {
    const rows: readonly {
        readonly title: string;
        readonly limited: { readonly checks: number; readonly remainingMs: number; readonly isHeld: boolean; };
        readonly objectiveMs?: number;
        readonly status: number;
        readonly retryAfter?: string;
        readonly isAtOnce?: boolean;
    }[] = [
        { title: "a permit is held for soon", limited: { checks: 2, remainingMs: 60, isHeld: true }, status: 200 },
        {
            title: "a permit is held for later than the objective allows",
            limited: { checks: ALWAYS, remainingMs: 400, isHeld: true },
            status: 503,
            retryAfter: "0.4",
            isAtOnce: true,
        },
        {
            title: "the next permit is not held, and late",
            limited: { checks: ALWAYS, remainingMs: 900, isHeld: false },
            status: 503,
            retryAfter: "0.9",
            isAtOnce: true,
        },
        { title: "the leader is being queried", limited: { checks: 1, remainingMs: 0, isHeld: false }, status: 200 },
        {
            title: "the leader grants none",
            limited: { checks: ALWAYS, remainingMs: 0, isHeld: false },
            status: 503,
        },
        {
            title: "a request with a shorter objective does not wait as long",
            limited: { checks: ALWAYS, remainingMs: 60, isHeld: true },
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
                (socket, id) => socket.write(formatResponse(200, id, "done")),
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
                expect(entry.targetChecks === 1).to.equal(isAtOnce);
            }
            finally {
                await entry.close();
                upstream.close();
            }
        });
    }
});
