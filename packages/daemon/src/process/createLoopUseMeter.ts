/**
 * Creates a meter of the event loop.
 * @returns a function that returns the share of the time since its last call for which the loop was busy, 0 to 1
 */
export function createLoopUseMeter(): () => number {
    let last = performance.eventLoopUtilization();
    return () => {
        const current = performance.eventLoopUtilization();
        const { utilization } = performance.eventLoopUtilization(current, last);
        last = current;
        return utilization;
    };
}
