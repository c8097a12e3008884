/**
 * Relays a stream to the caller from one or more attempts: complete events only, with strictly increasing ids.
 */
import { ByteBuffer } from "../connection/byteBuffer.js";
import type { OpenExchange, ResponseHead } from "../connection/upstreamExchange.js";
import { EventSplitter, MAX_EVENT_BYTES } from "./eventSplitter.js";
import { isSelfDelimited, type RoutedResponse } from "./routedResponse.js";
import { TrickleDetector } from "./trickleDetector.js";
import type { StreamSink } from "./upstreamAttempt.js";

/** Largest amount of comments between two events; those that keep a connection open have some bytes each. */
const MAX_COMMENT_BYTES = 65_536;
const COMMENTS_PROBLEM = `more than ${String(MAX_COMMENT_BYTES)} bytes of comments without an event`;

/** Callbacks of one attempt's part of a stream. */
export interface AttemptStreamHandlers {
    /** Called before a complete event is forwarded; bytes of an incomplete one are no progress, as it may never end. */
    readonly handleEvent: () => void;
    /** Called when the upstream is paused because the caller does not read. */
    readonly handlePause: () => void;
}

/** The stream of one caller. */
export class StreamRelay {
    private lastId: string | undefined;
    private eventTotal = 0;
    private maxPauseMs = 0;
    private lastEventMs = 0;
    private firstEventMs: number | undefined;
    /** Whether the first upstream declared where the stream ends; one that continues it must not declare less. */
    private hasDelimitedStart = false;
    private readonly open = new Set<AttemptStream>();

    /**
     * @param response - the response to the caller
     * @param lastEventId - id of the last event that the caller received, when it resumes a stream
     * @param getNowMs - the monotonic clock
     */
    constructor(
        private readonly response: RoutedResponse,
        lastEventId: string | undefined,
        private readonly getNowMs: () => number,
    ) {
        this.lastId = lastEventId;
        response.watchPauses((isPaused) => {
            this.open.forEach((stream) => {
                stream.applyPause(isPaused);
            });
        });
    }

    /** Id of the last event sent to the caller, for the next attempt. */
    get lastEventId(): string | undefined {
        return this.lastId;
    }

    /** Number of events forwarded so far. */
    get eventCount(): number {
        return this.eventTotal;
    }

    /** When the first event was forwarded, on the monotonic clock; undefined before it. */
    get firstMs(): number | undefined {
        return this.firstEventMs;
    }

    /** Longest time between two events so far, in milliseconds. */
    get longestPauseMs(): number {
        return this.maxPauseMs;
    }

    /** Time since the last forwarded event, in milliseconds; 0 before the first. */
    get sinceEventMs(): number {
        return this.eventTotal === 0 ? 0 : this.getNowMs() - this.lastEventMs;
    }

    /** Whether the caller has received the head of the response. */
    get hasStarted(): boolean {
        return this.response.hasStarted;
    }

    /** Whether the upstream is paused because the caller does not read. */
    get isPaused(): boolean {
        return this.response.isPaused;
    }

    /** How long the caller has not kept up with the upstream, in milliseconds; 0 once it has caught up. */
    get behindMs(): number {
        return this.response.behindMs;
    }

    /** Aborts the response. */
    abort(): void {
        this.response.abort();
    }

    /**
     * Opens the part of the stream that an attempt delivers.
     * @param handlers - callbacks
     * @returns receives the upstream's response; close it at the end of the attempt
     */
    openAttempt(handlers: AttemptStreamHandlers): AttemptStream {
        const stream = new AttemptStream(this, handlers, this.getNowMs);
        this.open.add(stream);
        return stream;
    }

    /**
     * Removes the part of an attempt that has ended.
     * @param stream - the part
     */
    remove(stream: AttemptStream): void {
        this.open.delete(stream);
    }

    /**
     * Forwards an event.
     * @param event - its bytes and id
     * @param head - headers of the response that it came in
     * @param exchange - the exchange that delivered it
     */
    forward(
        event: { readonly id: string | undefined; readonly bytes: Buffer; },
        head: ResponseHead | undefined,
        exchange: OpenExchange,
    ): void {
        this.startResponse(head);
        this.response.sendEvent(event.bytes, exchange);
        this.lastId = event.id ?? this.lastId;
        this.recordEvent();
    }

    /**
     * Forwards comments, which are no event.
     * @param bytes - the comments
     * @param head - headers of the response that they came in
     * @param exchange - the exchange that delivered them
     */
    forwardComments(bytes: Buffer, head: ResponseHead | undefined, exchange: OpenExchange): void {
        this.startResponse(head);
        this.response.sendEvent(bytes, exchange);
    }

    /**
     * Checks whether an event may follow those forwarded so far.
     * @param id - its id
     * @returns why it may not
     */
    findProblem(id: string | undefined): string | undefined {
        return isAfter(id, this.lastId)
            ? undefined
            : `event id out of order: ${id ?? "none"} after ${this.lastId ?? "none"}`;
    }

    /**
     * Completes the stream.
     * @param head - headers of the response that ended
     * @returns why the stream is incomplete, or undefined if it is complete
     */
    complete(head: ResponseHead | undefined): string | undefined {
        this.startResponse(head);
        const isComplete = !this.hasDelimitedStart || head === undefined || isSelfDelimited(head);
        return isComplete ? undefined : "close-delimited part of a stream: its end cannot be verified";
    }

    private recordEvent(): void {
        const nowMs = this.getNowMs();
        if (this.firstEventMs === undefined) {
            this.firstEventMs = nowMs;
        }
        else {
            this.maxPauseMs = Math.max(this.maxPauseMs, nowMs - this.lastEventMs);
        }
        this.lastEventMs = nowMs;
        this.eventTotal += 1;
    }

    /** Sends the headers of the first upstream; they also apply if others continue the stream. */
    private startResponse(head: ResponseHead | undefined): void {
        if (!this.response.hasStarted && head !== undefined) {
            this.hasDelimitedStart = isSelfDelimited(head);
            this.response.beginStream(head);
        }
    }
}

/** The part of a stream that one attempt delivers. */
export class AttemptStream implements StreamSink {
    private readonly splitter = new EventSplitter();
    private head: ResponseHead | undefined;
    private lastEventMs: number;
    /** Like the time of the last event, but moved to the end of each pause. */
    private lastProgressMs: number;
    private eventTotal = 0;
    /** Bytes of comments since the last event. */
    private commentBytes = 0;
    private readonly heldComments = new ByteBuffer();
    /** The exchange that delivered the held comments. */
    private exchange: OpenExchange | undefined;
    private readonly trickle: TrickleDetector;

    /**
     * @param relay - the stream of the caller
     * @param handlers - callbacks
     * @param getNowMs - the monotonic clock
     */
    constructor(
        private readonly relay: StreamRelay,
        private readonly handlers: AttemptStreamHandlers,
        private readonly getNowMs: () => number,
    ) {
        this.lastEventMs = getNowMs();
        this.lastProgressMs = this.lastEventMs;
        this.trickle = new TrickleDetector(getNowMs);
    }

    /** Number of events that this attempt delivered. */
    get eventCount(): number {
        return this.eventTotal;
    }

    /** Time since its last event or its start, in milliseconds; 0 while the caller does not read. */
    get silentMs(): number {
        return this.relay.isPaused ? 0 : this.getNowMs() - this.lastProgressMs;
    }

    /** Time since its last event, in milliseconds; since its start before the first. */
    get sinceEventMs(): number {
        return this.getNowMs() - this.lastEventMs;
    }

    /**
     * Applies a pause of the upstream, or its end.
     * @param isPaused - whether the caller does not read
     */
    applyPause(isPaused: boolean): void {
        // The pause is the caller's, so the upstream's silence is counted from its end.
        this.lastProgressMs = this.getNowMs();
        if (isPaused) {
            this.handlers.handlePause();
        }
    }

    /** Ends the part. */
    close(): void {
        this.relay.remove(this);
    }

    handleHead(head: ResponseHead): void {
        this.head = head;
    }

    handleData(chunk: Buffer, exchange: OpenExchange): string | undefined {
        for (const event of this.splitter.push(chunk)) {
            if (!event.hasFields) {
                this.commentBytes += event.bytes.length;
                if (this.commentBytes > MAX_COMMENT_BYTES) {
                    return COMMENTS_PROBLEM;
                }
                this.handleComments(event.bytes, exchange);
                continue;
            }
            const problem = this.relay.findProblem(event.id);
            if (problem !== undefined) {
                return problem;
            }
            this.handlers.handleEvent();
            this.forwardHeldComments(exchange);
            this.relay.forward(event, this.head, exchange);
            this.lastEventMs = this.getNowMs();
            this.lastProgressMs = this.lastEventMs;
            this.eventTotal += 1;
            this.commentBytes = 0;
            this.trickle.reset();
        }
        if (this.commentBytes + this.splitter.partialCommentBytes > MAX_COMMENT_BYTES) {
            return COMMENTS_PROBLEM;
        }
        if (this.splitter.isOversized) {
            return `event larger than ${String(MAX_EVENT_BYTES)} bytes`;
        }
        return this.trickle.isTrickling(chunk.length) ? "event comes in small pieces without end" : undefined;
    }

    /** Until the response has begun, comments are held, so that a stream without events can still be replaced by another one. */
    private handleComments(bytes: Buffer, exchange: OpenExchange): void {
        this.exchange = exchange;
        if (this.relay.hasStarted) {
            this.relay.forwardComments(bytes, this.head, exchange);
        }
        else {
            this.heldComments.append(bytes);
        }
    }

    private forwardHeldComments(exchange: OpenExchange): void {
        if (this.heldComments.length > 0) {
            this.relay.forwardComments(this.heldComments.take(), this.head, exchange);
        }
    }

    handleEnd(): string | undefined {
        if (this.exchange !== undefined && !this.splitter.hasPartialEvent) {
            this.forwardHeldComments(this.exchange);
        }
        return this.splitter.hasPartialEvent ? "stream ended within an event" : this.relay.complete(this.head);
    }
}

function isAfter(id: string | undefined, lastId: string | undefined): boolean {
    if (id === undefined || lastId === undefined) {
        return true;
    }
    const next = Number(id);
    const last = Number(lastId);
    return Number.isNaN(next) || Number.isNaN(last) || next > last;
}
