/**
 * Buffer of a body whose chunks arrive one by one.
 */

const MIN_CAPACITY_BYTES = 16_384;

/**
 * Copies chunks into one buffer. A list of chunks takes some hundred bytes for each, which may hold one byte, and keeps the
 * memory into which it was received.
 */
export class BodyBuffer {
    private buffer: Buffer = Buffer.alloc(0);
    private length = 0;

    /**
     * Appends a chunk.
     * @param chunk - the bytes
     */
    append(chunk: Buffer): void {
        const length = this.length + chunk.length;
        if (this.length === 0) {
            this.buffer = chunk;
        }
        else if (length > this.buffer.length) {
            const grown = Buffer.allocUnsafeSlow(Math.max(length, 2 * this.buffer.length, MIN_CAPACITY_BYTES));
            this.buffer.copy(grown, 0, 0, this.length);
            chunk.copy(grown, this.length);
            this.buffer = grown;
        }
        else {
            chunk.copy(this.buffer, this.length);
        }
        this.length = length;
    }

    /**
     * Copies the body.
     * @returns all bytes so far
     */
    copy(): Buffer {
        return Buffer.from(this.buffer.subarray(0, this.length));
    }
}
