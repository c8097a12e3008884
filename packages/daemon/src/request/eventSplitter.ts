/**
 * Splits a stream of server-sent events into complete events and reads their ids. A parser library would return the
 * fields and lose the original bytes, which must reach the caller unchanged.
 */

/** A complete event. */
export interface ServerSentEvent {
    readonly bytes: Buffer;
    readonly id: string | undefined;
}

const EVENT_TERMINATOR = "\n\n";
const idPattern = /^id:\s?(.*)$/m;

/** Buffers an incomplete event. */
export class EventSplitter {
    private buffered: Buffer = Buffer.alloc(0);

    /** Whether the last event is incomplete. */
    get hasPartialEvent(): boolean {
        return this.buffered.length > 0;
    }

    /**
     * Adds received bytes.
     * @param chunk - the bytes
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
