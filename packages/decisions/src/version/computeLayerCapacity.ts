/**
 * How many layers fit into an engine beside the memory that its requests need.
 */
import type { Accelerator, EngineProfile } from "@crankfork/schemas";

/**
 * Share of the profile's context tokens for which an engine reserves memory. Above 1, because after a loss the other
 * engines take over its requests, and the fastest engines, which hold the most layers, run out of memory first.
 */
const CONTEXT_SHARE = 1.25;

/**
 * The same for an engine that fills a gap that can't be closed otherwise. A chain with capacity for half as many
 * requests is better than none where the fastest engine of a failure domain is lost and the others can't hold all of
 * its layers.
 */
export const TIGHT_CONTEXT_SHARE = 0.5;

const BYTES_PER_MB = 1_000_000;

/**
 * Computes how many layers fit into an accelerator beside the memory for requests.
 * @param accelerator - its memory
 * @param profile - sizes of layers and tokens
 * @param contextShare - share of the profile's context tokens to reserve memory for
 * @returns whole layers; 0 where none fits
 */
export function computeLayerCapacity(
    accelerator: Accelerator,
    profile: EngineProfile,
    contextShare: number = CONTEXT_SHARE,
): number {
    const contextMb = profile.capacity_tokens * contextShare * profile.token_bytes / profile.layers / BYTES_PER_MB;
    const capacity = Math.floor(accelerator.memory_mb / (profile.layer_mb + contextMb));
    return Number.isNaN(capacity) ? 0 : Math.max(0, Math.min(profile.layers, capacity));
}
