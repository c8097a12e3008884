/**
 * Splits a stream of server-sent events into complete events and reads their ids. A parser library would return the
 * fields and lose the original bytes, which must reach the caller unchanged.
 */
import { ByteBuffer } from "../connection/byteBuffer.js";

/** Lines up to a blank line. */
export interface ServerSentEvent {
    readonly bytes: Buffer;
    readonly id: string | undefined;
    /** False for comments and blank lines, which are no event. */
    readonly hasFields: boolean;
}

const EVENT_TERMINATOR = "\n\n";
const LINE_FEED = 0x0a;
const COLON = 0x3a;
const idPattern = /^id:\s?(.*)$/m;

/** Maximum size of an event; events of models hold some hundred bytes. */
export const MAX_EVENT_BYTES = 1_024 * 1_024;

/** Buffers an incomplete event, in which each byte is searched once. */
export class EventSplitter {
    private readonly partial = new ByteBuffer();
    /** Whether a line since the last event is a field. */
    private hasFields = false;
    private isAtLineStart = true;

    /** Whether the last event is incomplete. */
    get hasPartialEvent(): boolean {
        return this.partial.length > 0;
    }

    /** Bytes of comments since the last event or blank line; 0 if a field has followed. */
    get partialCommentBytes(): number {
        return this.hasFields ? 0 : this.partial.length;
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
            const rest = chunk.subarray(start);
            this.partial.append(rest);
            this.searchField(rest);
        }
        return events;
    }

    private searchField(bytes: Buffer): void {
        for (let at = 0; at < bytes.length && !this.hasFields;) {
            this.hasFields = this.isAtLineStart && bytes[at] !== COLON && bytes[at] !== LINE_FEED;
            const end = bytes.indexOf(LINE_FEED, at);
            this.isAtLineStart = end !== -1;
            at = end === -1 ? bytes.length : end + 1;
        }
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
        this.searchField(end);
        const { hasFields } = this;
        this.hasFields = false;
        this.isAtLineStart = true;
        let bytes = end;
        if (this.hasPartialEvent) {
            this.partial.append(end);
            bytes = this.partial.take();
        }
        return { bytes, id: idPattern.exec(bytes.toString("latin1"))?.[1]?.trimEnd(), hasFields };
    }
}
