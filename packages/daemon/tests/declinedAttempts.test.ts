/**
 * Guards against streams that are cut with time left because upstreams declined earlier attempts.
 */
import { expect } from "chai";
import { request as sendHttp } from "node:http";
import type { Socket } from "node:net";
import {
    formatChunk,
    formatEvent,
    formatResponse,
    formatStreamHead,
    type ReceivedResponse,
    ScriptedUpstream,
    TestEntry,
} from "./routedHarness.js";

const EVENTS = 6;
const EVENTS_PER_RUN = 2;
const TIMEOUT_MS = 6_000;

async function ask(url: string): Promise<ReceivedResponse> {
    return await new Promise((resolve) => {
        let body = "";
        const headers = { "x-id": "one", "x-deadline": String(TIMEOUT_MS) };
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

/** Sends some events of a stream, and ends its connection after a time unless the stream is complete. */
function runPart(socket: Socket, id: string, text: string, endAfterMs: number): void {
    const first = Number(/last-event-id: (\d+)/i.exec(text)?.[1] ?? 0) + 1;
    const last = Math.min(EVENTS, first + EVENTS_PER_RUN - 1);
    socket.write(formatStreamHead(id));
    for (let event = first; event <= last; event += 1) {
        socket.write(formatChunk(formatEvent(event)));
    }
    if (last === EVENTS) {
        socket.write(formatChunk(""));
        return;
    }
    setTimeout(() => socket.resetAndDestroy(), endAfterMs);
}

function decline(socket: Socket, id: string): void {
    socket.write(formatResponse(421, id, "", "x-not-run: 1\r\n"));
}

describe("attempts that upstreams declined do not end a stream that another one can continue", () => {
    const rows: readonly {
        readonly title: string;
        /** Time from the last event of each run to the end of its connection. */
        readonly endAfterMs: number;
        readonly declining: number;
        /** Number of requests that each of these declines. */
        readonly declines: number;
    }[] = [
        { title: "the upstream breaks off twice, and two others decline", endAfterMs: 20, declining: 2, declines: 99 },
        {
            title: "three others decline while the upstream is silent, and take the stream after it has ended",
            endAfterMs: 900,
            declining: 3,
            declines: 1,
        },
    ];
    for (const { title, endAfterMs, declining, declines } of rows) {
        it(title, async () => {
            const first = await ScriptedUpstream.open("u0", (socket, id, text) => {
                runPart(socket, id, text, endAfterMs);
            });
            const others = await Promise.all(Array.from({ length: declining }, (_unused, at) => {
                let requests = 0;
                return ScriptedUpstream.open(`u${String(at + 1)}`, (socket, id, text) => {
                    requests += 1;
                    if (requests <= declines) {
                        decline(socket, id);
                    }
                    else {
                        runPart(socket, id, text, endAfterMs);
                    }
                });
            }));
            const entry = await TestEntry.open({
                upstreams: [first, ...others],
                route: { kind: "stream", most_attempts: 2, timeout_ms: TIMEOUT_MS },
                isPath: true,
                mayRepeatUpstream: true,
                queryStall: () => Promise.resolve({ kind: "unreachable" }),
            });
            const seen = await ask(entry.url);
            await entry.close();
            [first, ...others].forEach((one) => {
                one.close();
            });
            expect([first, ...others].map(({ requests }) => requests.length)).to.not.include(0);
            expect(seen.isComplete, seen.body).to.equal(true);
        });
    }
});
