/**
 * Hands a stream on to the caller over one or more tries: whole events only, each id higher than the one before.
 */
import type { OpenExchange, ResponseHead } from "../connection/upstreamExchange.js";
import { EventSplitter } from "./eventSplitter.js";
import { isSelfDelimited, type RoutedResponse } from "./routedResponse.js";
import type { StreamSink } from "./upstreamAttempt.js";

/** One stream of a caller. */
export class StreamRelay {
    private lastId: string | undefined;
    private lastProgressMs: number;
    private eventTotal = 0;
    private maxPauseMs = 0;
    private lastEventMs = 0;
    private firstEventMs: number | undefined;

    /**
     * @param response - where events go
     * @param lastEventId - event after which the caller resumes
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

    /** Id of the last event that the caller has, for the next try. */
    get lastEventId(): string | undefined {
        return this.lastId;
    }

    /** Events handed on so far. */
    get eventCount(): number {
        return this.eventTotal;
    }

    /** When the first event was handed on, by the monotonic clock; undefined before it. */
    get firstMs(): number | undefined {
        return this.firstEventMs;
    }

    /** Longest time between two events so far, in milliseconds. */
    get longestPauseMs(): number {
        return this.maxPauseMs;
    }

    /** Time since the last event that the caller has; 0 before the first. */
    get sinceEventMs(): number {
        return this.eventTotal === 0 ? 0 : this.getNowMs() - this.lastEventMs;
    }

    /** Time since the last event, or since the present try began. */
    get silentMs(): number {
        return this.getNowMs() - this.lastProgressMs;
    }

    /**
     * Begins a try.
     * @param handleEvent - called when bytes of events come
     * @returns takes what the upstream sends
     */
    createSink(handleEvent: () => void): StreamSink {
        const splitter = new EventSplitter();
        let head: ResponseHead | undefined;
        this.lastProgressMs = this.getNowMs();
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
                    return "the stream ended inside an event";
                }
                this.startResponse(head);
                const isComplete = head === undefined || isSelfDelimited(head) || this.response.isCloseDelimited;
                return isComplete ? undefined : "a part of the stream has no length, so its end can't be told";
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
                return `event ${event.id ?? "without id"} came after ${this.lastId ?? "none"}`;
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

    /** The first upstream's head is kept, also where others go on with the stream. */
    private startResponse(head: ResponseHead | undefined): void {
        if (!this.response.hasStarted && head !== undefined) {
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
