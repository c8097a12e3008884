/**
 * What becomes of one request whose upstream asked for rest: before it was chosen, while it waited for a connection, and by
 * the answer to the request itself.
 */
import { expect } from "chai";
import type { NoticeFunctions } from "../src/request/requestFunctions.js";
import { ask } from "./askEntry.js";
import { formatAnswer, ScriptedUpstream, TestEntry, type UpstreamScript } from "./routedHarness.js";

const answer: UpstreamScript = (socket, id) => socket.write(formatAnswer(200, id, "done"));
const turnAway: UpstreamScript = (socket, id) =>
    socket.write(formatAnswer(503, id, "", "x-not-run: 1\r\nretry-after: 3\r\n"));
const failWithRest: UpstreamScript = (socket, id) => socket.write(formatAnswer(503, id, "x", "retry-after: 3\r\n"));

interface Case {
    readonly title: string;
    readonly scripts: readonly UpstreamScript[];
    readonly notices?: Partial<NoticeFunctions>;
    readonly leftMs?: number;
    readonly status: number;
    readonly retryAfter?: string;
    /** Requests that reached each upstream. */
    readonly reached: readonly number[];
    readonly isRepeatable?: boolean;
}

describe("a request and the rest of its upstream", () => {
    const rows: readonly Case[] = [
        { title: "turned away: it goes to another", scripts: [turnAway, answer], status: 200, reached: [1, 1] },
        {
            title: "turned away by all: refused, and told when the first rest ends",
            scripts: [turnAway, turnAway],
            leftMs: 2_900,
            status: 503,
            retryAfter: "2.9",
            reached: [1, 1],
        },
        {
            title: "all rest: refused at once",
            scripts: [],
            leftMs: 2_000,
            status: 503,
            retryAfter: "2",
            reached: [],
        },
        {
            title: "a rest without an end: no time to come back",
            scripts: [],
            leftMs: Infinity,
            status: 503,
            reached: [],
        },
        {
            title: "the rest begins while a connection is made: nothing is sent there",
            scripts: [answer, answer],
            notices: { maySend: ({ upstreamId }) => upstreamId !== "u0" },
            status: 200,
            reached: [0, 1],
        },
        {
            title: "the same, for a request that may run once",
            scripts: [answer, answer],
            notices: { maySend: ({ upstreamId }) => upstreamId !== "u0" },
            status: 200,
            reached: [0, 1],
            isRepeatable: false,
        },
        {
            title: "the same, and no other is there",
            scripts: [answer],
            notices: { maySend: () => false },
            leftMs: 500,
            status: 503,
            retryAfter: "0.5",
            reached: [0],
        },
        {
            title: "a failure that is handed on: what it says of rest was meant for us",
            scripts: [failWithRest],
            leftMs: 700,
            status: 503,
            retryAfter: "0.7",
            reached: [1],
        },
    ];
    for (const { title, scripts, notices, leftMs, status, retryAfter, reached, isRepeatable = true } of rows) {
        it(title, async () => {
            const upstreams = await Promise.all(
                scripts.map((script, number) => ScriptedUpstream.open(`u${String(number)}`, script)),
            );
            const entry = await TestEntry.open({
                upstreams,
                route: { is_repeatable: isRepeatable, most_attempts: 3 },
                ...(notices === undefined ? {} : { notices }),
                ...(leftMs === undefined ? {} : { restLeftMs: leftMs }),
            });
            try {
                const seen = await ask(entry.url);
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
