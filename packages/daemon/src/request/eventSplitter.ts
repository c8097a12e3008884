/**
 * Splits a stream of server-sent events into whole events, byte for byte, and reads their ids. A library would give
 * the fields and lose the bytes, which have to reach the caller unchanged.
 */

/** A whole event. */
export interface ServerSentEvent {
    readonly bytes: Buffer;
    readonly id: string | undefined;
}

const EVENT_TERMINATOR = "\n\n";
const idPattern = /^id:\s?(.*)$/m;

/** Holds the part of an event that has come so far. */
export class EventSplitter {
    private buffered: Buffer = Buffer.alloc(0);

    /** Whether an event has begun and not ended. */
    get hasPartialEvent(): boolean {
        return this.buffered.length > 0;
    }

    /**
     * Takes bytes.
     * @param chunk - as they came
     * @returns the events that they complete
     */
    push(chunk: Buffer): readonly ServerSentEvent[] {
        const bytes = this.buffered.length === 0 ? chunk : Buffer.concat([this.buffered, chunk]);
        const events: ServerSentEvent[] = [];
        let start = 0;
        for (let end = bytes.indexOf(EVENT_TERMINATOR); end !== -1; end = bytes.indexOf(EVENT_TERMINATOR, start)) {
            const next = end + EVENT_TERMINATOR.length;
            events.push(createEvent(bytes.subarray(start, next)));
            start = next;
        }
        this.buffered = bytes.subarray(start);
        return events;
    }
}

function createEvent(bytes: Buffer): ServerSentEvent {
    return { bytes, id: idPattern.exec(bytes.toString("latin1"))?.[1]?.trimEnd() };
}
