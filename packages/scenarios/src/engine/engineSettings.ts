/**
 * Settings and faults of a stand-in engine.
 */
import * as z from "zod";

/** Schema of the settings. */
export const engineSettingsSchema = z.strictObject({
    name: z.string(),
    port: z.int().nonnegative().default(0),
    /** Number of layers of each supported model; the last layer produces tokens. */
    model_layers: z.record(z.string(), z.int().positive()),
    /** Speed relative to the slowest kind of engine. */
    speed: z.number().positive().default(1),
    slots: z.int().positive().default(8),
    /** Runs that may wait for a slot. */
    queue: z.int().nonnegative().default(64),
    /** Time of one batch, at speed 1. */
    batch_ms: z.number().nonnegative().default(2),
    /** Time of one token through one layer in a batch, at speed 1. */
    token_layer_ms: z.number().nonnegative().default(0.01),
    /** One-way latency of the link to the engine. */
    link_ms: z.number().nonnegative().default(0),
    /** Capacity of the prefix cache, in prompt tokens. */
    prefix_tokens: z.int().nonnegative().default(4_096),
    /** Time to load the layers of an order. */
    load_ms: z.number().nonnegative().default(50),
    checks_fence: z.boolean().default(true),
    /** Interval between samples of the load. */
    report_every_ms: z.number().positive().default(100),
    /** Delay before cache events are published. */
    event_delay_ms: z.number().nonnegative().default(200),
    /** Loses one of this many cache events; 0 loses none. */
    event_gap_every: z.int().nonnegative().default(7),
});

/** Schema of the faults that tests inject. */
export const engineFaultsSchema = z.strictObject({
    /** Runs steps without ever answering, and does not answer status requests. */
    silent: z.boolean().default(false),
    /** Answers steps with JSON lines that are not valid answers. */
    rubbish: z.boolean().default(false),
    /** Sends each answer twice. */
    doubled: z.boolean().default(false),
    /** Additional delay of answers. */
    late_ms: z.number().nonnegative().default(0),
    /** Reports that it is leaving, but still accepts new runs: it is up to crankfork to send none. */
    leaving: z.boolean().default(false),
    /** Refuses all steps as leaving, including those of known runs, whose caches can still be exported. */
    evicting: z.boolean().default(false),
});

/** Settings of a stand-in engine. */
export type EngineSettings = z.infer<typeof engineSettingsSchema>;
/** Faults of a stand-in engine. */
export type EngineFaults = z.infer<typeof engineFaultsSchema>;
