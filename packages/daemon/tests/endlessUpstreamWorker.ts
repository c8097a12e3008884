/**
 * A stub upstream in a thread of its own, so that what it sends takes neither time nor memory of the entry's thread. For each
 * request it sends a prelude, and then a unit again and again until its connection is closed.
 */
import { type AddressInfo, createServer, type Socket } from "node:net";
import { parentPort, workerData } from "node:worker_threads";
import { createProcessorClock, getThreadId } from "./processorWait.js";

/** What the upstream sends; `ID` stands for the request id. */
export interface EndlessScript {
    readonly prelude: string;
    readonly unit: string;
    /** Interval between two units; as fast as they are read if absent. */
    readonly intervalMs?: number;
}

/** Where the upstream listens, and the thread that it runs in. */
export interface EndlessAddress {
    readonly port: number;
    readonly threadId: number | undefined;
}

/** What happened to the connections of the upstream. */
export interface EndlessStats {
    readonly requests: number;
    /** Connections on which the first unit has been sent. */
    readonly spoiled: number;
    /** Requests on a connection on which bytes without end were being sent. */
    readonly reused: number;
    /** Connections that are still open. */
    readonly open: number;
    /** Longest time for which a connection stayed open after its request, without the time of waiting for a processor. */
    readonly longestOpenMs: number;
}

const UNIT_BYTES = 65_536;
const { prelude, unit, intervalMs } = workerData as EndlessScript;
const threadId = getThreadId();
/** The id of the process is that of its main thread, in which the entry runs. */
const getNowMs = createProcessorClock(threadId === undefined ? [] : [threadId, process.pid]);
const block = intervalMs === undefined ? unit.repeat(Math.max(1, Math.floor(UNIT_BYTES / unit.length))) : unit;
const started = new Map<Socket, number>();
let requests = 0;
let spoiled = 0;
let reused = 0;
let longestOpenMs = 0;

function sendEndlessly(socket: Socket, start: string): void {
    if (intervalMs !== undefined) {
        socket.write(start);
        let isSpoiled = false;
        const timer = setInterval(() => {
            socket.write(block, () => {
                spoiled += isSpoiled ? 0 : 1;
                isSpoiled = true;
            });
        }, intervalMs);
        socket.once("close", () => {
            clearInterval(timer);
        });
        return;
    }
    const fill = (): void => {
        while (!socket.destroyed && socket.write(block)) {
            // Fills the buffer of the socket.
        }
    };
    socket.on("drain", fill);
    // In one write, so that a whole answer is not received without what follows it.
    socket.write(start + block);
    fill();
}

const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.on("close", () => {
        longestOpenMs = Math.max(longestOpenMs, getNowMs() - (started.get(socket) ?? getNowMs()));
        started.delete(socket);
    });
    socket.on("data", (chunk) => {
        const id = /x-id: (\S+)/i.exec(chunk.toString("latin1"))?.[1];
        if (id === undefined) {
            return;
        }
        requests += 1;
        if (started.has(socket)) {
            reused += 1;
            return;
        }
        started.set(socket, getNowMs());
        sendEndlessly(socket, prelude.replaceAll("ID", id));
    });
});
server.listen(0, "127.0.0.1", () => {
    const address: EndlessAddress = { port: (server.address() as AddressInfo).port, threadId };
    parentPort?.postMessage(address);
});
parentPort?.on("message", () => {
    const nowMs = getNowMs();
    const openMs = [...started.values()].map((startMs) => nowMs - startMs);
    const stats: EndlessStats = {
        requests,
        spoiled,
        reused,
        open: started.size,
        longestOpenMs: Math.max(longestOpenMs, ...openMs),
    };
    parentPort?.postMessage(stats);
});
