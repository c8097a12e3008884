/**
 * A time-out for new connections. undici's own time-outs have a resolution of one second.
 */
import { type buildConnector, errors } from "undici";

/**
 * Limits the time to establish a connection. A machine that is powered off or cut off does not reset connections, and a
 * lost SYN is retransmitted only after 1 s; entries that start shortly before the voters' machines would reach a leader
 * that late.
 * @param connect - opens a connection
 * @param timeoutMs - the time-out, in milliseconds
 * @returns a connector that fails after that time; a connection that is established later is closed
 */
export function withConnectTimeout(connect: buildConnector.connector, timeoutMs: number): buildConnector.connector {
    return (options, callback) => {
        let isSettled = false;
        const fail = (): void => {
            if (!isSettled) {
                isSettled = true;
                callback(new errors.ConnectTimeoutError(`no connection within ${String(timeoutMs)} ms`), null);
            }
        };
        // After a pause of the process the timer fires before the event loop has seen that the connection is there.
        const timer = setTimeout(() => setImmediate(fail), timeoutMs);
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
