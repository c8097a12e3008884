/**
 * Time that threads have waited for a processor. A bound on the time of a test holds on a busy machine if it leaves this time
 * out.
 */
import { existsSync, readFileSync, readlinkSync } from "node:fs";

const THREAD_LINK = "/proc/thread-self";
const NS_PER_MS = 1e6;
/** The runtime's clock, also while a fake one is installed. */
const getRuntimeMs = performance.now.bind(performance);

/**
 * Gets the id of the calling thread.
 * @returns the id, or undefined on systems without procfs
 */
export function getThreadId(): number | undefined {
    return existsSync(THREAD_LINK) ? Number(readlinkSync(THREAD_LINK).split("/").at(-1)) : undefined;
}

/** Second field of `schedstat`: time on a run queue, in nanoseconds. */
function getWaitMs(threadId: number): number {
    const fields = readFileSync(`/proc/self/task/${String(threadId)}/schedstat`, "latin1").split(" ");
    return Number(fields[1]) / NS_PER_MS;
}

/**
 * Creates a clock that stands still while a thread waits for a processor.
 * @param threadIds - threads of this process that the measured work waits for in turn
 * @returns the time in milliseconds; the monotonic clock on systems without procfs
 */
export function createProcessorClock(threadIds: readonly (number | undefined)[]): () => number {
    const known = threadIds.filter((id) => id !== undefined);
    return () => getRuntimeMs() - known.reduce((sum, id) => sum + getWaitMs(id), 0);
}
