/**
 * Splits a stream of server-sent events into whole events, byte for byte, and reads their ids. A library would give
 * the fields and lose the bytes, which have to reach the caller unchanged.
 */

/** A whole event. */
export interface WholeEvent {
    readonly bytes: Buffer;
    readonly id: string | undefined;
}

const END_OF_EVENT = "\n\n";
const idPattern = /^id:\s?(.*)$/m;

/** Holds the part of an event that has come so far. */
export class EventSplitter {
    private rest: Buffer = Buffer.alloc(0);

    /** Whether an event has begun and not ended. */
    get hasPart(): boolean {
        return this.rest.length > 0;
    }

    /**
     * Takes bytes.
     * @param chunk - as they came
     * @returns the events that they complete
     */
    push(chunk: Buffer): readonly WholeEvent[] {
        const bytes = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
        const events: WholeEvent[] = [];
        let start = 0;
        for (let end = bytes.indexOf(END_OF_EVENT); end !== -1; end = bytes.indexOf(END_OF_EVENT, start)) {
            const next = end + END_OF_EVENT.length;
            events.push(createEvent(bytes.subarray(start, next)));
            start = next;
        }
        this.rest = bytes.subarray(start);
        return events;
    }
}

function createEvent(bytes: Buffer): WholeEvent {
    return { bytes, id: idPattern.exec(bytes.toString("latin1"))?.[1]?.trimEnd() };
}
