/**
 * Size limits of what other processes send outside the requests of callers. Each is derived from the largest message that a
 * correct sender produces; see docs/design/reply-limits.md.
 */

const KIB = 1_024;
const MIB = 1_024 * KIB;

/** Largest head of a response, all its headers and trailers together. */
export const HEAD_LIMIT_BYTES = 16 * KIB;

/** Largest head of an upstream's response to a request of a caller. */
export const UPSTREAM_HEAD_LIMIT_BYTES = 32 * KIB;

/** Largest head of a relayed response: that of the upstream, and headers of the relay. */
export const RELAYED_HEAD_LIMIT_BYTES = UPSTREAM_HEAD_LIMIT_BYTES + KIB;

/** Largest operator's document. */
export const DOCUMENT_LIMIT_BYTES = 32 * MIB;

/** Largest heartbeat or deregistration of an upstream: some twenty fields, and a list of spans of layers. */
export const HEARTBEAT_LIMIT_BYTES = 256 * KIB;

/** Largest report of an engine: 4,096 stalled requests, with 256 bytes for the id and the address of each. */
export const REPORT_LIMIT_BYTES = MIB;

/** Largest response to an order; only its status is used, and the start of its text is logged. */
export const ORDER_RESPONSE_LIMIT_BYTES = 64 * KIB;

/** Largest message between instances: a snapshot of the whole state, with several documents. */
export const PEER_MESSAGE_LIMIT_BYTES = 256 * MIB;

/** Largest result with one document: compressed, in base64, which makes it longer by a third. */
const DOCUMENT_RESULT_LIMIT_BYTES = 48 * MIB;

/** Largest result without a document: 4,096 upstreams and 10,000 quarantined requests, with 1 KiB for each. */
const STATE_RESULT_LIMIT_BYTES = 16 * MIB;

/** Methods between instances whose results hold more than the state of the fleet. */
const RESULT_LIMITS_BYTES: ReadonlyMap<string, number> = new Map([
    ["replica", PEER_MESSAGE_LIMIT_BYTES],
    ["getHistory", PEER_MESSAGE_LIMIT_BYTES],
    ["document", DOCUMENT_RESULT_LIMIT_BYTES],
    ["getConfiguration", DOCUMENT_RESULT_LIMIT_BYTES],
    ["getNewest", DOCUMENT_RESULT_LIMIT_BYTES],
]);

/**
 * Gets the size limit of a peer's response.
 * @param method - the JSON-RPC method
 * @returns the limit, in bytes
 */
export function getResultLimitBytes(method: string): number {
    return RESULT_LIMITS_BYTES.get(method) ?? STATE_RESULT_LIMIT_BYTES;
}

/** Largest list of instances from the platform: 10,000 instances, with 400 bytes for each. */
export const INSTANCE_LIST_LIMIT_BYTES = 4 * MIB;

/** Lowest rate at which a large message is still received, in bytes a second. */
const LOWEST_RATE_BYTES_PER_S = 256 * KIB;

/** Time-outs of silence after which a message has to come at {@link LOWEST_RATE_BYTES_PER_S}. */
const TIMEOUTS_UNTIL_TRICKLE = 4;

/**
 * Computes how long a message may take that is never silent for its time-out. Without this limit one byte at a time would
 * keep a connection open for good.
 * @param silenceTimeoutMs - time-out of silence, in milliseconds
 * @param receivedBytes - bytes received so far
 * @returns the time since the start of the exchange, in milliseconds
 */
export function computeTrickleLimitMs(silenceTimeoutMs: number, receivedBytes: number): number {
    return TIMEOUTS_UNTIL_TRICKLE * silenceTimeoutMs + receivedBytes * 1_000 / LOWEST_RATE_BYTES_PER_S;
}
