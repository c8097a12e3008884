/**
 * The stand-in's prefix cache: blocks of prompt tokens in limited memory, oldest use dropped first.
 */

/** Tokens of one block. */
export const BLOCK_TOKENS = 16;

/** Something that happened to a block. */
export interface CacheEvent {
    readonly sequence: number;
    readonly kind: "stored" | "removed";
    /** The block's tokens and all before them, as a chain. */
    readonly block: string;
}

/** Blocks of prompts. */
export class PrefixCache {
    private readonly blocks = new Map<string, true>();
    private sequence = 0;

    /**
     * @param capacityTokens - memory in tokens
     * @param publish - called for each event
     */
    constructor(private readonly capacityTokens: number, private readonly publish: (event: CacheEvent) => void) {}

    /**
     * Uses the cache for a prompt, and stores it.
     * @param inputs - what the first layer held here gets for the prompt
     * @returns tokens that need no computing
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
