/**
 * A limit on the time that a new connection takes. undici's own is exact to a second only.
 */
import { type buildConnector, errors } from "undici";

/**
 * Limits the time in which a connection comes up. Purpose: a machine that has no power or is cut off says nothing, and
 * its first packet is sent again after a second. Entries that start a moment before the voters' machines would reach a leader
 * that late.
 * @param connect - makes the connection
 * @param timeoutMs - time for it
 * @returns makes a connection or fails within that time; one that comes up later is closed
 */
export function withConnectTimeout(connect: buildConnector.connector, timeoutMs: number): buildConnector.connector {
    return (options, callback) => {
        let isSettled = false;
        const timer = setTimeout(() => {
            isSettled = true;
            callback(new errors.ConnectTimeoutError(`no connection within ${String(timeoutMs)} ms`), null);
        }, timeoutMs);
        connect(options, (...result) => {
            clearTimeout(timer);
            if (isSettled) {
                result[1]?.destroy();
                return;
            }
            isSettled = true;
            callback(...result);
        });
    };
}
