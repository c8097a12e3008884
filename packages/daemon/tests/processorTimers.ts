/**
 * Timers that stand still while this thread waits for a processor. On a busy machine a timer of the runtime fires before
 * bytes are read that arrived first, so that a sound upstream seems silent.
 */
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { request } from "undici";
import { installClock } from "./installedClock.js";
import { createProcessorClock, getThreadId } from "./processorWait.js";

const STEP_MS = 1;

/**
 * Installs timers and a monotonic clock for the tests of a suite that leave out the time of waiting for a processor; sockets
 * stay real.
 */
export function installProcessorTimers(): void {
    let uninstall = (): void => undefined;

    beforeEach(async () => {
        await startUndiciTimer();
        uninstall = startProcessorTimers();
    });

    afterEach(() => {
        uninstall();
    });
}

function startProcessorTimers(): () => void {
    const getNowMs = createProcessorClock([getThreadId()]);
    const startMs = getNowMs();
    const { clearInterval: stopSteps } = globalThis;
    let passedMs = 0;
    const steps = setInterval(() => {
        const stepMs = Math.floor(getNowMs() - startMs) - passedMs;
        if (stepMs > 0) {
            passedMs += stepMs;
            clock.tick(stepMs);
        }
    }, STEP_MS);
    const clock = installClock();
    return () => {
        stopSteps(steps);
        clock.uninstall();
    };
}

/** undici keeps the first timer that it creates for the life of the process, so that must be one of the runtime. */
async function startUndiciTimer(): Promise<void> {
    const server = createServer((_request, response) => response.end());
    await once(server.listen(0, "127.0.0.1"), "listening");
    const { port } = server.address() as AddressInfo;
    const { body } = await request(`http://127.0.0.1:${String(port)}`, { reset: true });
    await body.dump();
    server.close();
}
