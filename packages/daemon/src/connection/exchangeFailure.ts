/**
 * Failures of an exchange with an upstream that went through another entry.
 */

/** What a failure says about the exchange. */
export type RelayFailureKind =
    /** Nothing reached the upstream, and no relay could connect to it. */
    | "unreachable"
    /** Nothing reached the upstream, because no relay took the request. */
    | "no-relay"
    /** Nothing reached the upstream, because it asked for a backoff. */
    | "withheld"
    /** The relay or the connection to it failed; the upstream may have received the request. */
    | "relay-lost"
    /** The upstream closed its connection to the relay. */
    | "upstream-closed"
    /** The upstream sent bytes that are no response. */
    | "malformed";

/** An exchange through another entry failed. */
export class RelayError extends Error {
    override readonly name = "RelayError";

    /**
     * @param kind - what the failure says
     * @param message - details
     */
    constructor(readonly kind: RelayFailureKind, message: string) {
        super(message);
    }
}

/** A failed exchange. */
export interface ExchangeFailure {
    readonly reason: string;
    /** Whether any byte may have reached the upstream. */
    readonly wasSent: boolean;
    /** Whether the upstream closed or reset its connection after the request was sent. */
    readonly isUpstreamClosed: boolean;
    /** Whether the cause is the way to the upstream, so that nothing is known about the upstream itself. */
    readonly isLinkFault: boolean;
}

/** Names of errors for bytes that are no response; the connection was closed here. */
const SPOILED_ERROR_NAMES: ReadonlySet<string> = new Set([
    "HTTPParserError",
    "HeadersOverflowError",
    "EndlessResponseError",
    "InvalidHeadError",
]);

/**
 * Describes a failed exchange.
 * @param error - the error
 * @param wasStarted - whether the request was written to a connection
 * @returns the failure; undefined if the request was withheld
 */
export function describeFailure(error: unknown, wasStarted: boolean): ExchangeFailure | undefined {
    const { message, name } = error instanceof Error ? error : { message: String(error), name: "" };
    if (!(error instanceof RelayError)) {
        const isUpstreamClosed = wasStarted && !SPOILED_ERROR_NAMES.has(name);
        return { reason: message, wasSent: wasStarted, isUpstreamClosed, isLinkFault: false };
    }
    const failure = { reason: message, wasSent: false, isUpstreamClosed: false, isLinkFault: false };
    switch (error.kind) {
        case "unreachable":
            return failure;
        case "no-relay":
            return { ...failure, isLinkFault: true };
        case "withheld":
            return undefined;
        case "relay-lost":
            return { ...failure, wasSent: true, isLinkFault: true };
        case "upstream-closed":
            return { ...failure, wasSent: true, isUpstreamClosed: true };
        case "malformed":
            return { ...failure, wasSent: true };
    }
}
