/**
 * Observes the exchanges that go over a connection pool.
 */
import type { Dispatcher } from "undici";

/** Sends requests; the part of undici's dispatcher that exchanges use. */
export type RequestDispatcher = Pick<Dispatcher, "dispatch">;

/** Callbacks of one exchange. */
export interface ExchangeObserver {
    readonly handleBytes: () => void;
    /** The exchange is over, also if it never started; `error` is undefined after a complete response. */
    readonly handleEnd: (error: Error | undefined) => void;
}

/**
 * Wraps a handler so that an observer is called before it.
 * @param handler - the handler of an exchange
 * @param observer - the observer
 * @returns a handler for a dispatcher
 */
export function observeHandler(
    handler: Dispatcher.DispatchHandler,
    observer: ExchangeObserver,
): Dispatcher.DispatchHandler {
    return {
        onRequestStart: (controller, context) => {
            handler.onRequestStart?.(controller, context);
        },
        onResponseStart: (controller, status, headers, text) => {
            observer.handleBytes();
            handler.onResponseStart?.(controller, status, headers, text);
        },
        onResponseData: (controller, chunk) => {
            observer.handleBytes();
            handler.onResponseData?.(controller, chunk);
        },
        onResponseEnd: (controller, trailers) => {
            observer.handleEnd(undefined);
            handler.onResponseEnd?.(controller, trailers);
        },
        onResponseError: (controller, error) => {
            observer.handleEnd(error);
            handler.onResponseError?.(controller, error);
        },
    };
}
