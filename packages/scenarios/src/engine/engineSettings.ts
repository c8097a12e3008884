/**
 * Settings of one stand-in for a model engine.
 */
import * as z from "zod";

/** What the stand-in is like, and what is wrong with it. */
export const engineSettingsSchema = z.strictObject({
    name: z.string(),
    port: z.int().nonnegative().default(0),
    /** Layers of the models it may be asked to hold; the last layer gives tokens. */
    model_layers: z.record(z.string(), z.int().positive()),
    /** Speed against the slowest kind. */
    speed: z.number().positive().default(1),
    slots: z.int().positive().default(8),
    /** Runs that may wait for a slot. */
    queue: z.int().nonnegative().default(64),
    /** Time of one batch, at speed 1. */
    batch_ms: z.number().nonnegative().default(2),
    /** Time of one token through one layer in a batch, at speed 1. */
    token_layer_ms: z.number().nonnegative().default(0.01),
    /** One way of the link to it. */
    link_ms: z.number().nonnegative().default(0),
    /** Tokens of prompts that the prefix cache holds. */
    prefix_tokens: z.int().nonnegative().default(4_096),
    /** Time to load layers. */
    load_ms: z.number().nonnegative().default(50),
    checks_fence: z.boolean().default(true),
    /** Between two samples of its load. */
    report_every_ms: z.number().positive().default(100),
    /** How late cache events are published. */
    event_delay_ms: z.number().nonnegative().default(200),
    /** One in this many cache events is lost; 0 for none. */
    event_gap_every: z.int().nonnegative().default(7),
});

/** Faults that tests switch on. */
export const engineFaultsSchema = z.strictObject({
    /** Takes steps and never answers. */
    silent: z.boolean().default(false),
    /** Answers steps with lines that are no answers. */
    rubbish: z.boolean().default(false),
    /** Sends each answer twice. */
    doubled: z.boolean().default(false),
    /** Sends answers this much later. */
    late_ms: z.number().nonnegative().default(0),
    /** Says that it leaves; it would still take new runs, so that keeping away is left to crankfork. */
    leaving: z.boolean().default(false),
    /** Refuses all steps as leaving, also of runs it has; their caches can still be exported. */
    evicting: z.boolean().default(false),
});

/** Settings of a stand-in. */
export type EngineSettings = z.infer<typeof engineSettingsSchema>;
/** Faults of a stand-in. */
export type EngineFaults = z.infer<typeof engineFaultsSchema>;
