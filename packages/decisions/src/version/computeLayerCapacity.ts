/**
 * How many layers an engine holds beside the memory that its requests need.
 */
import type { Accelerator, EngineProfile } from "@crankfork/schemas";

/**
 * Part of the profile's tokens of context for which an engine keeps memory free beside its layers. More than all of it:
 * after a loss the others take its requests, and the fastest engines, which hold the most layers, run out of memory
 * first.
 */
const CONTEXT_SHARE = 1.25;

/**
 * The same for an engine that fills a gap which can't be closed otherwise. A path with room for half as many requests is
 * better than none where the fastest engine of a failure domain is lost and the others can't reach over all of its layers.
 */
export const TIGHT_CONTEXT_SHARE = 0.5;

const BYTES_A_MB = 1_000_000;

/**
 * Computes how many layers an accelerator holds beside the memory for requests.
 * @param accelerator - its memory
 * @param profile - sizes of layers and tokens
 * @param contextShare - part of the profile's tokens that it keeps memory for
 * @returns whole layers; 0 where not one fits
 */
export function computeLayerCapacity(
    accelerator: Accelerator,
    profile: EngineProfile,
    contextShare: number = CONTEXT_SHARE,
): number {
    const contextMb = profile.capacity_tokens * contextShare * profile.token_bytes / profile.layers / BYTES_A_MB;
    return Math.min(profile.layers, Math.floor(accelerator.memory_mb / (profile.layer_mb + contextMb)));
}
