/**
 * Guards against idle connections to a silent upstream that cost one caller after another the route's time-out: a
 * connection that timed out is replaced before another idle one is used.
 */
import { expect } from "chai";
import { request as sendHttp } from "node:http";
import type { Socket } from "node:net";
import { installProcessorTimers } from "./processorTimers.js";
import { formatResponse, ScriptedUpstream, TestEntry } from "./routedHarness.js";

const IDLE = 4;
const REQUESTS = 8;
const TIMEOUT_MS = 150;

async function ask(url: string, id: string): Promise<number | undefined> {
    return await new Promise((resolve) => {
        const request = sendHttp(url, { method: "POST", headers: { "x-id": id }, agent: false }, (response) => {
            response.resume().once("end", () => {
                resolve(response.statusCode);
            });
        });
        request.on("error", () => {
            resolve(undefined);
        });
        request.end("body");
    });
}

describe("connections to an upstream that went silent make at most one caller time out", () => {
    installProcessorTimers();

    const rows = [
        { title: "a request that is not repeatable", isRepeatable: false, isSilent: true, unanswered: 1 },
        { title: "a repeatable request", isRepeatable: true, isSilent: true, unanswered: 1 },
        { title: "no connection is silent", isRepeatable: false, isSilent: false, unanswered: 0 },
    ];
    for (const { title, isRepeatable, isSilent, unanswered } of rows) {
        it(title, async () => {
            const silent = new Set<Socket>();
            const open = new Set<Socket>();
            const upstream = await ScriptedUpstream.open("u", (socket, id) => {
                open.add(socket);
                if (!silent.has(socket)) {
                    setTimeout(() => socket.write(formatResponse(200, id, "good")), 20);
                }
            });
            const entry = await TestEntry.open({
                upstreams: [upstream],
                route: { is_repeatable: isRepeatable, most_attempts: 1, timeout_ms: TIMEOUT_MS },
            });
            try {
                await Promise.all(
                    Array.from({ length: IDLE }, (_unused, number) => ask(entry.url, `a${String(number)}`)),
                );
                if (isSilent) {
                    open.forEach((socket) => silent.add(socket));
                }
                const statuses: (number | undefined)[] = [];
                for (let number = 0; number < REQUESTS; number += 1) {
                    statuses.push(await ask(entry.url, `b${String(number)}`));
                }
                expect(statuses.filter((status) => status !== 200)).to.have.lengthOf(unanswered);
            }
            finally {
                await entry.close();
                upstream.close();
            }
        });
    }
});
