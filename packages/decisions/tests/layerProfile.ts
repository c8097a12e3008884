/**
 * A model and accelerators for the test tables of plans and chains.
 */
import type { EngineProfile, LayerSpan } from "@crankfork/schemas";

/** Ten layers; a fast engine holds 4 beside the memory for requests, a slow one 2. */
export const profile: EngineProfile = {
    layers: 10,
    layer_mb: 100,
    token_bytes: 10_000_000,
    capacity_tokens: 80,
    slots: 8,
    step_ms: 1,
    step_ms_a_request: 0,
    read_tokens_a_second: 10_000,
    load_ms: 1_000,
    usual_prompt_tokens: 10,
    usual_answer_tokens: 10,
    accelerators: [
        { name: "fast", memory_mb: 850, step_factor: 1, read_factor: 1 },
        { name: "slow", memory_mb: 450, step_factor: 10, read_factor: 5 },
    ],
};

export const span = (first: number, end: number): LayerSpan => ({ first, end });
export const format = (layers: LayerSpan): string => `${String(layers.first)}-${String(layers.end)}`;
