/**
 * Relays a stream to the caller across one or more attempts: complete events only, with strictly increasing ids.
 */
import type { OpenExchange, ResponseHead } from "../connection/upstreamExchange.js";
import { EventSplitter } from "./eventSplitter.js";
import { isSelfDelimited, type RoutedResponse } from "./routedResponse.js";
import type { StreamSink } from "./upstreamAttempt.js";

/** The stream of one caller. */
export class StreamRelay {
    private lastId: string | undefined;
    private lastProgressMs: number;
    private eventTotal = 0;
    private maxPauseMs = 0;
    private lastEventMs = 0;
    private firstEventMs: number | undefined;
    /** Whether the first upstream declared where the stream ends; one that continues it must not declare less. */
    private hasDelimitedStart = false;

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
        this.lastProgressMs = getNowMs();
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

    /** Time since the last event or the start of the current attempt, in milliseconds; 0 while its caller does not read. */
    get silentMs(): number {
        return this.response.isPaused ? 0 : this.getNowMs() - this.lastProgressMs;
    }

    /** Whether the upstream is paused because the caller does not read. */
    get isPaused(): boolean {
        return this.response.isPaused;
    }

    /** Longest time for which the upstream was paused because the caller did not read, in milliseconds. */
    get longestPausedMs(): number {
        return this.response.longestPausedMs;
    }

    /** Aborts the response. */
    abort(): void {
        this.response.abort();
    }

    /**
     * Starts an attempt.
     * @param handleEvent - called when bytes are received
     * @param handlePause - called when the upstream is paused because the caller does not read
     * @returns the sink for the upstream's response
     */
    createSink(handleEvent: () => void, handlePause: () => void): StreamSink {
        const splitter = new EventSplitter();
        let head: ResponseHead | undefined;
        this.lastProgressMs = this.getNowMs();
        this.response.watchPauses((isPaused) => {
            // The pause is the caller's, so the upstream's silence is counted from its end.
            this.lastProgressMs = this.getNowMs();
            if (isPaused) {
                handlePause();
            }
        });
        return {
            handleHead: (started) => {
                head = started;
            },
            handleData: (chunk, exchange) => {
                handleEvent();
                return this.handleData(splitter, head, chunk, exchange);
            },
            handleEnd: () => {
                if (splitter.hasPartialEvent) {
                    return "stream ended within an event";
                }
                this.startResponse(head);
                const isComplete = !this.hasDelimitedStart || head === undefined || isSelfDelimited(head);
                return isComplete ? undefined : "close-delimited part of a stream: its end cannot be verified";
            },
        };
    }

    private handleData(
        splitter: EventSplitter,
        head: ResponseHead | undefined,
        chunk: Buffer,
        exchange: OpenExchange,
    ): string | undefined {
        for (const event of splitter.push(chunk)) {
            if (!this.isInOrder(event.id)) {
                return `event id out of order: ${event.id ?? "none"} after ${this.lastId ?? "none"}`;
            }
            this.startResponse(head);
            this.response.sendEvent(event.bytes, exchange);
            this.lastId = event.id ?? this.lastId;
            this.recordEvent();
        }
        return undefined;
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
        this.lastProgressMs = nowMs;
        this.eventTotal += 1;
    }

    /** Sends the headers of the first upstream; they also apply if others continue the stream. */
    private startResponse(head: ResponseHead | undefined): void {
        if (!this.response.hasStarted && head !== undefined) {
            this.hasDelimitedStart = isSelfDelimited(head);
            this.response.beginStream(head);
        }
    }

    private isInOrder(id: string | undefined): boolean {
        if (id === undefined || this.lastId === undefined) {
            return true;
        }
        const next = Number(id);
        const last = Number(this.lastId);
        return Number.isNaN(next) || Number.isNaN(last) || next > last;
    }
}
