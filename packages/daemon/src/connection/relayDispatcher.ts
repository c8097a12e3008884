/**
 * Sends a request to an upstream through other entries: to the next one while the request has not reached the upstream.
 */
import type { Dispatcher } from "undici";
import { startTimer } from "../process/startTask.js";
import { RelayError, type RelayFailureKind } from "./exchangeFailure.js";
import type { RequestDispatcher } from "./observeDispatch.js";
import { formatRawHeaders } from "./rawHeaders.js";
import {
    decodeRelayEnd,
    decodeRelayResult,
    encodeRelayedRequest,
    RELAY_PATH,
    type RelayEnd,
    type RelayResult,
} from "./relayProtocol.js";
import { isInterim } from "./responseRule.js";
import type { UpstreamEndpoint } from "./upstreamConnections.js";

/** Where the requests of one attempt are relayed. */
export interface RelayOptions {
    readonly endpoint: UpstreamEndpoint;
    readonly relays: RelaySource;
    /** Most relays that a request is offered to while it has not reached the upstream. */
    readonly maxRelays: number;
    /** Called with the relay that a request is sent through. */
    readonly handleRelay: (relay: string) => void;
}

/** Chooses relays, and learns how they do. */
export interface RelaySource {
    /** Connections to other entries. */
    readonly connections: RequestDispatcher;
    /** Returns the peer address of a relay that is not among those tried; undefined if there is none. */
    readonly choose: (tried: ReadonlySet<string>) => string | undefined;
    /** The relay took a request. */
    readonly recordStart: (relay: string) => void;
    /** The relayed exchange is over; `isServed` if a whole response was received. */
    readonly recordEnd: (relay: string, isServed: boolean) => void;
    /** The relay did not send the request, or failed. */
    readonly recordFailure: (relay: string, reason: string) => void;
    /** The relay has not begun to answer a request for {@link SILENCE_MS}; the upstream may be slow, or the relay frozen. */
    readonly handleSilence: (relay: string, upstreamId: string) => void;
    /** The upstream asked the relay to back off. */
    readonly handleBackoff: (upstreamId: string, backoffMs: number) => void;
}

const SILENCE_MS = 400;

/**
 * Creates a dispatcher that relays requests to an upstream.
 * @param relayOptions - the upstream and the relays
 * @returns the dispatcher; its errors are of class RelayError
 */
export function createRelayDispatcher(relayOptions: RelayOptions): RequestDispatcher {
    return {
        dispatch: (options, handler) => {
            new RelayedExchange(relayOptions, options, handler).start();
            return true;
        },
    };
}

/** Controls the exchange with the present relay on behalf of the handler. */
class RelayedExchange implements Dispatcher.DispatchController {
    rawHeaders: string[] = [];
    rawTrailers: string[] = [];
    private readonly tried = new Set<string>();
    private current: Dispatcher.DispatchController | undefined;
    private abortReason: Error | undefined;
    private hasStarted = false;
    private isSettled = false;
    private wasUnreachable = false;

    constructor(
        private readonly relayOptions: RelayOptions,
        private readonly options: Dispatcher.DispatchOptions,
        private readonly handler: Dispatcher.DispatchHandler,
    ) {}

    get aborted(): boolean {
        return this.abortReason !== undefined;
    }

    get reason(): Error | null {
        return this.abortReason ?? null;
    }

    get paused(): boolean {
        return this.current?.paused === true;
    }

    abort(reason: Error): void {
        this.abortReason ??= reason;
        this.current?.abort(reason);
    }

    pause(): void {
        this.current?.pause();
    }

    resume(): void {
        this.current?.resume();
    }

    /** Sends the request through the next relay. */
    start(): void {
        const { endpoint, relays, maxRelays } = this.relayOptions;
        const relay = this.tried.size < maxRelays ? relays.choose(this.tried) : undefined;
        if (relay === undefined) {
            this.fail(this.wasUnreachable ? "unreachable" : "no-relay", `not sent by ${this.formatTried()}`);
            return;
        }
        this.tried.add(relay);
        const { method, path, headers, body } = this.options;
        relays.connections.dispatch({
            origin: `http://${relay}`,
            method: "POST",
            path: RELAY_PATH,
            headers: encodeRelayedRequest(endpoint, { method, path, headers: headers as string[] }),
            body: body ?? null,
        }, this.createHopHandler(relay));
    }

    private createHopHandler(relay: string): Dispatcher.DispatchHandler {
        const { endpoint, relays, handleRelay } = this.relayOptions;
        let result: RelayResult | undefined;
        let wasWritten = false;
        let silenceTimer: NodeJS.Timeout | undefined;
        const end = (isServed: boolean): void => {
            if (wasWritten) {
                wasWritten = false;
                relays.recordEnd(relay, isServed);
            }
        };
        return {
            onRequestStart: (controller, context) => {
                this.current = controller;
                if (!this.hasStarted) {
                    this.hasStarted = true;
                    this.handler.onRequestStart?.(this, context);
                }
                if (this.abortReason !== undefined) {
                    controller.abort(this.abortReason);
                    return;
                }
                wasWritten = true;
                handleRelay(relay);
                relays.recordStart(relay);
                silenceTimer = startTimer("relay-query", SILENCE_MS, () => {
                    relays.handleSilence(relay, endpoint.upstreamId);
                });
            },
            onResponseStart: (controller, status, headers) => {
                if (isInterim(status)) {
                    return;
                }
                clearTimeout(silenceTimer);
                result = decodeRelayResult(headers, formatRawHeaders(controller.rawHeaders, headers));
                if (result.kind === "answer") {
                    const { head } = result;
                    this.rawHeaders = [...head.rawHeaders];
                    this.handler.onResponseStart?.(this, head.status, { ...head.headers });
                }
                else if (result.kind === "invalid") {
                    this.abort(new RelayError("malformed", result.reason));
                }
            },
            onResponseData: (_controller, chunk) => {
                if (result?.kind === "answer") {
                    this.handler.onResponseData?.(this, chunk);
                }
            },
            onResponseEnd: (_controller, trailers) => {
                end(result?.kind === "answer" && decodeRelayEnd(trailers) === "whole");
                this.handleEnd(relay, result, trailers);
            },
            onResponseError: (_controller, error) => {
                const wasSent = wasWritten;
                clearTimeout(silenceTimer);
                end(false);
                if (!this.aborted) {
                    relays.recordFailure(relay, error.message);
                }
                if (wasSent || this.aborted) {
                    this.fail("relay-lost", `relay ${relay}: ${error.message}`);
                }
                else {
                    this.start();
                }
            },
        };
    }

    private handleEnd(relay: string, result: RelayResult | undefined, trailers: NodeJS.Dict<string | string[]>): void {
        switch (result?.kind) {
            case "answer":
                this.handleAnswerEnd(relay, decodeRelayEnd(trailers));
                return;
            case "broken":
                this.handleAnswerEnd(relay, result.end);
                return;
            case "invalid":
                this.fail("malformed", result.reason);
                return;
            case "withheld":
                this.relayOptions.relays.handleBackoff(this.relayOptions.endpoint.upstreamId, result.backoffMs);
                this.fail("withheld", `withheld by ${relay}`);
                return;
            case "not-sent":
                this.wasUnreachable ||= result.refusal === "unreachable";
                this.relayOptions.relays.recordFailure(relay, result.refusal);
                this.start();
                return;
            case "unsupported":
            case undefined:
                this.relayOptions.relays.recordFailure(relay, "unsupported");
                this.start();
        }
    }

    private handleAnswerEnd(relay: string, end: RelayEnd | undefined): void {
        switch (end) {
            case "whole":
                this.isSettled = true;
                this.handler.onResponseEnd?.(this, {});
                return;
            case "closed":
                this.fail("upstream-closed", "upstream closed its connection");
                return;
            case "malformed":
                this.fail("malformed", "the upstream's response is malformed");
                return;
            case undefined:
                this.relayOptions.relays.recordFailure(relay, "incomplete response");
                this.fail("relay-lost", `relay ${relay} ended the response early`);
        }
    }

    private fail(kind: RelayFailureKind, message: string): void {
        if (!this.isSettled) {
            this.isSettled = true;
            this.handler.onResponseError?.(this, this.abortReason ?? new RelayError(kind, message));
        }
    }

    private formatTried(): string {
        return this.tried.size === 0 ? "any entry: no relay is known" : [...this.tried].join(",");
    }
}
