/**
 * Splits a stream of server-sent events into complete events and reads their ids. A parser library would return the
 * fields and lose the original bytes, which must reach the caller unchanged.
 */
import { ByteBuffer } from "../connection/byteBuffer.js";

/** A complete event. */
export interface ServerSentEvent {
    readonly bytes: Buffer;
    readonly id: string | undefined;
}

const EVENT_TERMINATOR = "\n\n";
const LINE_FEED = 0x0a;
const idPattern = /^id:\s?(.*)$/m;

/** Maximum size of an event; events of models hold some hundred bytes. */
export const MAX_EVENT_BYTES = 1_024 * 1_024;

/** Buffers an incomplete event, in which each byte is searched once. */
export class EventSplitter {
    private readonly partial = new ByteBuffer();

    /** Whether the last event is incomplete. */
    get hasPartialEvent(): boolean {
        return this.partial.length > 0;
    }

    /** Whether the last event is larger than {@link MAX_EVENT_BYTES}. */
    get isOversized(): boolean {
        return this.partial.length > MAX_EVENT_BYTES;
    }

    /**
     * Adds received bytes.
     * @param chunk - the bytes
     * @returns the events that they complete
     */
    push(chunk: Buffer): readonly ServerSentEvent[] {
        const events: ServerSentEvent[] = [];
        let start = 0;
        for (let end = this.findEnd(chunk, 0); end !== -1; end = this.findEnd(chunk, start)) {
            events.push(this.createEvent(chunk.subarray(start, end)));
            start = end;
        }
        if (start < chunk.length) {
            this.partial.append(chunk.subarray(start));
        }
        return events;
    }

    /** Returns where the current event ends in a chunk; its terminator may have begun in an earlier one. */
    private findEnd(chunk: Buffer, start: number): number {
        if (this.partial.lastByte === LINE_FEED && chunk[0] === LINE_FEED) {
            return 1;
        }
        const at = chunk.indexOf(EVENT_TERMINATOR, start);
        return at === -1 ? -1 : at + EVENT_TERMINATOR.length;
    }

    private createEvent(end: Buffer): ServerSentEvent {
        if (!this.hasPartialEvent) {
            return createEvent(end);
        }
        this.partial.append(end);
        return createEvent(this.partial.take());
    }
}

function createEvent(bytes: Buffer): ServerSentEvent {
    return { bytes, id: idPattern.exec(bytes.toString("latin1"))?.[1]?.trimEnd() };
}
