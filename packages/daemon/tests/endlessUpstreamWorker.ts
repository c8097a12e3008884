/**
 * A stub upstream in a thread of its own, so that what it sends takes neither time nor memory of the entry's thread. For each
 * request it sends a prelude, and then a unit again and again until its connection is closed.
 */
import { createServer, type Socket } from "node:net";
import { parentPort, workerData } from "node:worker_threads";

/** What the upstream sends; `ID` stands for the request id. */
export interface EndlessScript {
    readonly prelude: string;
    readonly unit: string;
    /** Interval between two units; as fast as they are read if absent. */
    readonly intervalMs?: number;
}

/** What happened to the connections of the upstream. */
export interface EndlessStats {
    readonly requests: number;
    /** Requests on a connection on which bytes without end were being sent. */
    readonly reused: number;
    /** Connections that are still open. */
    readonly open: number;
    /** Longest time for which a connection stayed open after its request. */
    readonly longestOpenMs: number;
}

const UNIT_BYTES = 65_536;
const { prelude, unit, intervalMs } = workerData as EndlessScript;
const block = intervalMs === undefined ? unit.repeat(Math.max(1, Math.floor(UNIT_BYTES / unit.length))) : unit;
const started = new Map<Socket, number>();
let requests = 0;
let reused = 0;
let longestOpenMs = 0;

function sendEndlessly(socket: Socket): void {
    if (intervalMs !== undefined) {
        const timer = setInterval(() => socket.write(block), intervalMs);
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
    fill();
}

const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.on("close", () => {
        longestOpenMs = Math.max(longestOpenMs, performance.now() - (started.get(socket) ?? performance.now()));
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
        started.set(socket, performance.now());
        socket.write(prelude.replaceAll("ID", id));
        sendEndlessly(socket);
    });
});
server.listen(0, "127.0.0.1", () => {
    parentPort?.postMessage(server.address());
});
parentPort?.on("message", () => {
    const nowMs = performance.now();
    const openMs = [...started.values()].map((startMs) => nowMs - startMs);
    const stats: EndlessStats = {
        requests,
        reused,
        open: started.size,
        longestOpenMs: Math.max(longestOpenMs, ...openMs),
    };
    parentPort?.postMessage(stats);
});
