/**
 * Collects received bytes. A chunk as received may be a small view of a large buffer, which would be kept as long as the
 * view, so small chunks are copied.
 */

/** Chunks of this size are kept as they are; a socket reads up to 64 KiB at once. */
const MIN_KEPT_BYTES = 32_768;
const MIN_BLOCK_BYTES = 1_024;
const MAX_BLOCK_BYTES = 65_536;

/** Bytes that are appended one after another; each is copied a few times at most. */
export class ByteBuffer {
    private blocks: Buffer[] = [];
    /** The last block while it is being filled, and how much of it is used. */
    private tail: Buffer = Buffer.alloc(0);
    private tailBytes = 0;
    private total = 0;
    private last: number | undefined;

    /** Number of bytes. */
    get length(): number {
        return this.total;
    }

    /** The last byte; undefined if there is none. */
    get lastByte(): number | undefined {
        return this.last;
    }

    /**
     * Appends bytes.
     * @param chunk - the bytes
     */
    append(chunk: Buffer): void {
        if (chunk.length >= MIN_KEPT_BYTES) {
            this.closeTail();
            this.blocks.push(chunk);
        }
        else {
            this.copy(chunk);
        }
        this.total += chunk.length;
        this.last = chunk.at(-1) ?? this.last;
    }

    /**
     * Removes all bytes.
     * @returns them
     */
    take(): Buffer {
        this.closeTail();
        const [first] = this.blocks;
        const bytes = this.blocks.length === 1 && first !== undefined ? first : Buffer.concat(this.blocks);
        this.blocks = [];
        this.total = 0;
        this.last = undefined;
        return bytes;
    }

    private copy(chunk: Buffer): void {
        if (this.tailBytes + chunk.length > MAX_BLOCK_BYTES) {
            this.closeTail();
        }
        const length = this.tailBytes + chunk.length;
        if (length > this.tail.length) {
            const grown = Buffer.allocUnsafeSlow(Math.max(MIN_BLOCK_BYTES, length, 2 * this.tail.length));
            this.tail.copy(grown, 0, 0, this.tailBytes);
            this.tail = grown;
        }
        chunk.copy(this.tail, this.tailBytes);
        this.tailBytes = length;
    }

    private closeTail(): void {
        if (this.tailBytes > 0) {
            this.blocks.push(this.tail.subarray(0, this.tailBytes));
            this.tail = Buffer.alloc(0);
            this.tailBytes = 0;
        }
    }
}
