/**
 * Messages between crankfork and a model engine, independent of the transport.
 */
import * as z from "zod";
import { priorityClassSchema } from "./priorityClass.js";

/** One forward pass of a run's next token positions through a range of layers. */
export const stepSchema = z.object({
    run: z.string(),
    /** Incremented whenever the run is rerouted; engines reject steps with an older epoch. */
    epoch: z.int().nonnegative(),
    /** First token position of the step. */
    position: z.int().nonnegative(),
    model: z.string(),
    version: z.string(),
    first_layer: z.int().nonnegative(),
    end_layer: z.int().positive(),
    priority: priorityClassSchema,
    /** One number per position: token ids for layer 0, activations for later layers. */
    inputs: z.array(z.number()).min(1),
});

/** Reason for which an engine rejects a step. */
export const stepRefusalSchema = z.enum(["full", "not-held", "wrong-position", "old-epoch", "unknown-run", "leaving"]);

/** Response to a step; it echoes the fields that identify the step. */
export const stepResponseSchema = z.object({
    run: z.string(),
    epoch: z.int(),
    position: z.int(),
    first_layer: z.int(),
    end_layer: z.int(),
    result: z.discriminatedUnion("kind", [
        z.object({ kind: z.literal("activations"), outputs: z.array(z.number()) }),
        z.object({ kind: z.literal("token"), token: z.int(), text: z.string(), is_end: z.boolean() }),
        z.object({ kind: z.literal("refused"), reason: stepRefusalSchema }),
    ]),
});

/** A range of layers of one model version; `end_layer` is exclusive. */
export const modelLayerRangeSchema = z.object({
    model: z.string(),
    version: z.string(),
    first_layer: z.int(),
    end_layer: z.int(),
});

/** Load sample of an engine; it is `age_ms` old when reported. */
export const loadReportSchema = z.object({
    running: z.int().nonnegative(),
    waiting: z.int().nonnegative(),
    kv_used: z.number().nonnegative(),
    kv_total: z.number().nonnegative(),
    /** Milliseconds between the sample and this response. */
    age_ms: z.number().nonnegative(),
});

/** Status of an engine. */
export const engineStatusSchema = z.object({
    holds: z.array(modelLayerRangeSchema),
    load: loadReportSchema,
    is_leaving: z.boolean(),
});

/** Fencing token of an order, compared by term first and by log index second. */
export const fencingTokenSchema = z.object({ term: z.int(), index: z.int() });

/** Orders an engine to hold exactly these layers. */
export const orderSchema = z.object({
    fence: fencingTokenSchema,
    /** Time to live, counted from the time of sending. */
    life_ms: z.number().positive(),
    holds: z.array(modelLayerRangeSchema),
});

/** Response to an order. */
export const orderResponseSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("accepted") }),
    z.object({ kind: z.literal("fenced"), newest: fencingTokenSchema }),
]);

/** KV cache of one run for one range of layers, in transfer to another engine. */
export const exportedCacheSchema = z.object({
    run: z.string(),
    epoch: z.int(),
    /** Number of token positions that the cache covers, from position 0 on. */
    position: z.int(),
    model: z.string(),
    version: z.string(),
    first_layer: z.int(),
    end_layer: z.int(),
    layers: z.array(z.number()),
});

/** One forward pass through a range of layers. */
export type Step = z.infer<typeof stepSchema>;
/** Reason for which an engine rejects a step. */
export type StepRefusal = z.infer<typeof stepRefusalSchema>;
/** Response to a step. */
export type StepResponse = z.infer<typeof stepResponseSchema>;
/** A range of layers of one model version. */
export type ModelLayerRange = z.infer<typeof modelLayerRangeSchema>;
/** Load sample of an engine. */
export type LoadReport = z.infer<typeof loadReportSchema>;
/** Status of an engine. */
export type EngineStatus = z.infer<typeof engineStatusSchema>;
/** Fencing token of an order. */
export type FencingToken = z.infer<typeof fencingTokenSchema>;
/** Orders an engine to hold exactly these layers. */
export type Order = z.infer<typeof orderSchema>;
/** Response to an order. */
export type OrderResponse = z.infer<typeof orderResponseSchema>;
/** KV cache of one run for one range of layers. */
export type ExportedCache = z.infer<typeof exportedCacheSchema>;
