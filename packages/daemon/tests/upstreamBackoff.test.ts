/**
 * Handling of a request whose upstream asked for a backoff: before it was chosen, while a connection was being
 * established, or in the response to the request itself.
 */
import { expect } from "chai";
import type { NoticeFunctions } from "../src/request/requestFunctions.js";
import { postToEntry } from "./postToEntry.js";
import { formatResponse, ScriptedUpstream, TestEntry, type UpstreamScript } from "./routedHarness.js";

const respond: UpstreamScript = (socket, id) => socket.write(formatResponse(200, id, "done"));
const reject: UpstreamScript = (socket, id) =>
    socket.write(formatResponse(503, id, "", "x-not-run: 1\r\nretry-after: 3\r\n"));
const failWithBackoff: UpstreamScript = (socket, id) =>
    socket.write(formatResponse(503, id, "x", "retry-after: 3\r\n"));

interface Case {
    readonly title: string;
    readonly scripts: readonly UpstreamScript[];
    readonly notices?: Partial<NoticeFunctions>;
    readonly remainingMs?: number;
    readonly status: number;
    readonly retryAfter?: string;
    /** Requests that reached each upstream. */
    readonly reached: readonly number[];
    readonly isRepeatable?: boolean;
}

describe("a request and the backoff of its upstream", () => {
    const rows: readonly Case[] = [
        { title: "rejected: it goes to another upstream", scripts: [reject, respond], status: 200, reached: [1, 1] },
        {
            title: "rejected by all: refused, with the end of the first backoff in Retry-After",
            scripts: [reject, reject],
            remainingMs: 2_900,
            status: 503,
            retryAfter: "2.9",
            reached: [1, 1],
        },
        {
            title: "all in backoff: refused at once",
            scripts: [],
            remainingMs: 2_000,
            status: 503,
            retryAfter: "2",
            reached: [],
        },
        {
            title: "an infinite backoff: no Retry-After",
            scripts: [],
            remainingMs: Infinity,
            status: 503,
            reached: [],
        },
        {
            title: "the backoff begins while a connection is established: nothing is sent there",
            scripts: [respond, respond],
            notices: { maySend: ({ upstreamId }) => upstreamId !== "u0" },
            status: 200,
            reached: [0, 1],
        },
        {
            title: "the same, for a request that is not repeatable",
            scripts: [respond, respond],
            notices: { maySend: ({ upstreamId }) => upstreamId !== "u0" },
            status: 200,
            reached: [0, 1],
            isRepeatable: false,
        },
        {
            title: "the same, without another upstream",
            scripts: [respond],
            notices: { maySend: () => false },
            remainingMs: 500,
            status: 503,
            retryAfter: "0.5",
            reached: [0],
        },
        {
            title: "a forwarded failure: its backoff applied to this instance only",
            scripts: [failWithBackoff],
            remainingMs: 700,
            status: 503,
            retryAfter: "0.7",
            reached: [1],
        },
    ];
    for (const { title, scripts, notices, remainingMs, status, retryAfter, reached, isRepeatable = true } of rows) {
        it(title, async () => {
            const upstreams = await Promise.all(
                scripts.map((script, number) => ScriptedUpstream.open(`u${String(number)}`, script)),
            );
            const entry = await TestEntry.open({
                upstreams,
                route: { is_repeatable: isRepeatable, most_attempts: 3 },
                ...(notices === undefined ? {} : { notices }),
                ...(remainingMs === undefined ? {} : { backoffMs: remainingMs }),
            });
            try {
                const seen = await postToEntry(entry.url);
                expect([seen.status, seen.retryAfter]).to.deep.equal([status, retryAfter]);
                expect(upstreams.map(({ requests }) => requests.length)).to.deep.equal(reached);
                expect(entry.suspects).to.deep.equal([]);
            }
            finally {
                await entry.close();
                upstreams.forEach((upstream) => {
                    upstream.close();
                });
            }
        });
    }
});
