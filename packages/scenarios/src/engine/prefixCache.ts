/**
 * The stand-in's prefix cache: blocks of prompt tokens with LRU eviction.
 */

/** Number of tokens in a block. */
export const BLOCK_TOKENS = 16;

/** A change to the cache. */
export interface CacheEvent {
    readonly sequence: number;
    readonly kind: "stored" | "removed";
    /** The tokens of the block and of all blocks before it, which identify the prefix. */
    readonly block: string;
}

/** LRU cache of prompt prefixes. */
export class PrefixCache {
    private readonly blocks = new Map<string, true>();
    private sequence = 0;

    /**
     * @param capacityTokens - capacity in tokens
     * @param publish - called for each event
     */
    constructor(private readonly capacityTokens: number, private readonly publish: (event: CacheEvent) => void) {}

    /**
     * Looks up the longest cached prefix of a prompt, and stores the prompt.
     * @param inputs - inputs of the first layer that the engine holds, one for each prompt token
     * @returns length of the cached prefix in tokens
     */
    lookUpAndStore(inputs: readonly number[]): number {
        let chain = "";
        let hits = 0;
        for (let offset = 0; offset + BLOCK_TOKENS <= inputs.length; offset += BLOCK_TOKENS) {
            chain = `${chain}/${inputs.slice(offset, offset + BLOCK_TOKENS).join(".")}`;
            if (this.blocks.delete(chain)) {
                hits += hits === offset ? BLOCK_TOKENS : 0;
            }
            else {
                this.emit("stored", chain);
            }
            this.blocks.set(chain, true);
        }
        this.evictLeastRecentlyUsed();
        return hits;
    }

    private evictLeastRecentlyUsed(): void {
        for (const block of this.blocks.keys()) {
            if (this.blocks.size * BLOCK_TOKENS <= this.capacityTokens) {
                return;
            }
            this.blocks.delete(block);
            this.emit("removed", block);
        }
    }

    private emit(kind: CacheEvent["kind"], block: string): void {
        this.sequence += 1;
        this.publish({ sequence: this.sequence, kind, block });
    }
}
