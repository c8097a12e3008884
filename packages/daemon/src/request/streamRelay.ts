/**
 * Hands a stream on to the caller over one or more tries: whole events only, each id higher than the one before.
 */
import type { OpenExchange, UpstreamHead } from "../connection/upstreamExchange.js";
import { EventSplitter } from "./eventSplitter.js";
import { isFramed, type RoutedAnswer } from "./routedAnswer.js";
import type { StreamSink } from "./routedTry.js";

/** One stream of a caller. */
export class StreamRelay {
    private lastId: string | undefined;
    private movedMs: number;
    private events = 0;
    private longestPause = 0;
    private eventMs = 0;
    private firstEventMs: number | undefined;

    /**
     * @param answer - where events go
     * @param lastEventId - event after which the caller resumes
     * @param getNowMs - the monotonic clock
     */
    constructor(
        private readonly answer: RoutedAnswer,
        lastEventId: string | undefined,
        private readonly getNowMs: () => number,
    ) {
        this.lastId = lastEventId;
        this.movedMs = getNowMs();
    }

    /** Id of the last event that the caller has, for the next try. */
    get lastEventId(): string | undefined {
        return this.lastId;
    }

    /** Events handed on so far. */
    get count(): number {
        return this.events;
    }

    /** When the first event was handed on, by the monotonic clock; undefined before it. */
    get firstMs(): number | undefined {
        return this.firstEventMs;
    }

    /** Longest time between two events so far, in milliseconds. */
    get longestPauseMs(): number {
        return this.longestPause;
    }

    /** Time since the last event that the caller has; 0 before the first. */
    get sinceEventMs(): number {
        return this.events === 0 ? 0 : this.getNowMs() - this.eventMs;
    }

    /** Time since the last event, or since the present try began. */
    get silentMs(): number {
        return this.getNowMs() - this.movedMs;
    }

    /**
     * Begins a try.
     * @param handleEvent - called when bytes of events come
     * @returns takes what the upstream sends
     */
    createSink(handleEvent: () => void): StreamSink {
        const splitter = new EventSplitter();
        let head: UpstreamHead | undefined;
        this.movedMs = this.getNowMs();
        return {
            handleHead: (begun) => {
                head = begun;
            },
            handleData: (chunk, exchange) => {
                handleEvent();
                return this.handleData(splitter, head, chunk, exchange);
            },
            handleEnd: () => {
                if (splitter.hasPart) {
                    return "the stream ended inside an event";
                }
                this.begin(head);
                const isSure = head === undefined || isFramed(head) || this.answer.isUnframed;
                return isSure ? undefined : "a part of the stream has no length, so its end can't be told";
            },
        };
    }

    private handleData(
        splitter: EventSplitter,
        head: UpstreamHead | undefined,
        chunk: Buffer,
        exchange: OpenExchange,
    ): string | undefined {
        for (const event of splitter.push(chunk)) {
            if (!this.isNext(event.id)) {
                return `event ${event.id ?? "without id"} came after ${this.lastId ?? "none"}`;
            }
            this.begin(head);
            this.answer.sendEvent(event.bytes, exchange);
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
            this.longestPause = Math.max(this.longestPause, nowMs - this.eventMs);
        }
        this.eventMs = nowMs;
        this.movedMs = nowMs;
        this.events += 1;
    }

    /** The first upstream's head is kept, also where others go on with the stream. */
    private begin(head: UpstreamHead | undefined): void {
        if (!this.answer.isBegun && head !== undefined) {
            this.answer.beginStream(head);
        }
    }

    private isNext(id: string | undefined): boolean {
        if (id === undefined || this.lastId === undefined) {
            return true;
        }
        const next = Number(id);
        const last = Number(this.lastId);
        return Number.isNaN(next) || Number.isNaN(last) || next > last;
    }
}
