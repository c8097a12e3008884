/**
 * Times of one engine's stage of a chain.
 */
import type { EngineProfile, LayerSpan } from "@crankfork/schemas";
import type { HoldingEngine } from "./computeChains.js";

/** What the time of a stage depends on, besides its layers. */
type TimedEngine = Pick<HoldingEngine, "accelerator" | "slowness">;

/** Largest time of a step or a token. Chains without a finite time could not be compared, and would get no requests. */
const MAX_TIME_MS = 1e12;
const MS_PER_SECOND = 1_000;

/**
 * Bounds a time.
 * @param timeMs - the time, in milliseconds, computed from values of the document and of engines
 * @returns the time, or the largest one for what is larger or not a time
 */
export function limitMs(timeMs: number): number {
    return timeMs >= 0 ? Math.min(MAX_TIME_MS, timeMs) : MAX_TIME_MS;
}

/**
 * Gets an engine's accelerator.
 * @param engine - the engine
 * @param profile - the model and the accelerators
 * @returns the accelerator; one with memory for one layer where the profile does not list it
 */
export function getAccelerator(
    engine: Pick<HoldingEngine, "accelerator">,
    profile: EngineProfile,
): EngineProfile["accelerators"][number] {
    const known = profile.accelerators.find((one) => one.name === engine.accelerator);
    return known ?? { name: engine.accelerator, memory_mb: profile.layer_mb, step_factor: 1, read_factor: 1 };
}

/**
 * Computes the time of a decoding step.
 * @param span - layers of the stage
 * @param engine - the engine
 * @param profile - the model and the accelerators
 * @returns milliseconds
 */
export function computeStepMs(span: LayerSpan, engine: TimedEngine, profile: EngineProfile): number {
    return limitMs(computeUnboundedStepMs(span, engine.slowness, getAccelerator(engine, profile).step_factor, profile));
}

/**
 * Computes the time of a decoding step without a bound.
 * @param span - layers of the stage
 * @param slowness - factor by which the engine is slower than its accelerator should be
 * @param stepFactor - that of its accelerator
 * @param profile - the model
 * @returns milliseconds; any number where the document or the engine gives a value that makes no sense
 */
export function computeUnboundedStepMs(
    span: LayerSpan,
    slowness: number,
    stepFactor: number,
    profile: EngineProfile,
): number {
    return computeLayerShare(span, profile) * profile.step_ms * stepFactor * slowness;
}

/**
 * Computes the prefill time of a prompt token.
 * @param span - layers of the stage
 * @param engine - the engine
 * @param profile - the model and the accelerators
 * @returns milliseconds
 */
export function computePrefillMs(span: LayerSpan, engine: TimedEngine, profile: EngineProfile): number {
    const { read_factor } = getAccelerator(engine, profile);
    const msPerToken = read_factor * engine.slowness * MS_PER_SECOND / profile.read_tokens_a_second;
    return limitMs(computeLayerShare(span, profile) * msPerToken);
}

function computeLayerShare(span: LayerSpan, profile: EngineProfile): number {
    return (span.end - span.first) / profile.layers;
}
