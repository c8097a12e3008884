/**
 * Guards against a late surplus copy of a refusal that is taken for the answer to the next attempt of the same request: the
 * request was sent a third time, although the upstream was running it.
 */
import { expect } from "chai";
import type { Socket } from "node:net";
import { waitMs } from "../src/process/waitMs.js";
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
import { TestRelay, TestRelaySource } from "./testRelay.js";

const DECISION_MS = 20;
const formatRefusal = (id: string): string => formatResponse(503, id, "", "x-not-run: 1\r\n");
const formatFailure = (id: string): string => formatResponse(500, id, "failed");

/** Answers the first attempt, and repeats that answer before the next one on the same connection. */
function createScript(
    first: (id: string) => string,
    serve: (socket: Socket, id: string) => void,
    recordRun: () => void,
): UpstreamScript {
    const surplus = new WeakMap<Socket, string>();
    let attempts = 0;
    return (socket, id) => {
        attempts += 1;
        socket.write(surplus.get(socket) ?? "");
        surplus.delete(socket);
        if (attempts === 1) {
            surplus.set(socket, first(id));
            socket.write(first(id));
            return;
        }
        recordRun();
        serve(socket, id);
    };
}

function serveStream(socket: Socket, id: string): void {
    socket.write(formatStreamHead(id) + formatChunk(formatEvent(1)) + formatChunk(""));
}

function serveCall(socket: Socket, id: string): void {
    socket.write(formatResponse(200, id, "good"));
}

describe("a late surplus copy of an answer is not taken for the answer to the next attempt of its request", () => {
    const rows = [
        {
            title: "a stream that was refused",
            kind: "stream",
            isRepeatable: false,
            first: formatRefusal,
            serve: serveStream,
        },
        { title: "a call that was refused", kind: "call", isRepeatable: false, first: formatRefusal, serve: serveCall },
        {
            title: "a repeatable call that failed",
            kind: "call",
            isRepeatable: true,
            first: formatFailure,
            serve: serveCall,
        },
    ] as const;
    for (const isRelayed of [false, true]) {
        for (const { title, kind, isRepeatable, first, serve } of rows) {
            it(`${title}, ${isRelayed ? "through a relay" : "directly"}`, async () => {
                let runs = 0;
                const upstream = await ScriptedUpstream.open(
                    "u",
                    createScript(first, serve, () => {
                        runs += 1;
                    }),
                );
                const relay = await TestRelay.open([upstream]);
                const source = new TestRelaySource([relay]);
                const options: EntryOptions = {
                    upstreams: [upstream],
                    mayRepeatUpstream: true,
                    route: { kind, is_repeatable: isRepeatable, most_attempts: 3 },
                    // The connection of the first attempt is idle again when the next one is sent.
                    crashes: {
                        needsResendGrant: () => true,
                        claimResend: () => waitMs(DECISION_MS).then(() => "granted"),
                    },
                    ...(isRelayed ? { getConnections: source.getConnections } : {}),
                };
                const entry = await TestEntry.open(options);
                try {
                    const { status } = await postToEntry(entry.url);
                    expect({ status, runs }).to.deep.equal({ status: 200, runs: 1 });
                }
                finally {
                    await entry.close();
                    await relay.close();
                    await source.connections.destroy();
                    upstream.close();
                }
            });
        }
    }
});
