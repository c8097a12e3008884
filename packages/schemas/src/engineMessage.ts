/**
 * What crankfork and a model engine say to each other, free of any transport.
 */
import * as z from "zod";
import { priorityClassSchema } from "./priorityClass.js";

/** One pass of a run's next positions through a range of layers. */
export const stepSchema = z.object({
    run: z.string(),
    /** Raised each time the run gets a new route; older epochs are refused. */
    epoch: z.int().nonnegative(),
    /** The first position of the step. */
    position: z.int().nonnegative(),
    model: z.string(),
    version: z.string(),
    first_layer: z.int().nonnegative(),
    end_layer: z.int().positive(),
    priority: priorityClassSchema,
    /** One number a position: token ids for layer 0, activations after it. */
    inputs: z.array(z.number()).min(1),
});

/** Why an engine does not take a step. */
export const stepRefusalSchema = z.enum(["full", "not-held", "wrong-position", "old-epoch", "unknown-run", "leaving"]);

/** The answer to a step; it echoes what it answers. */
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

/** Layers that an engine holds now. */
export const modelLayerRangeSchema = z.object({
    model: z.string(),
    version: z.string(),
    first_layer: z.int(),
    end_layer: z.int(),
});

/** Load as an engine reports it, some time after the fact. */
export const loadReportSchema = z.object({
    running: z.int().nonnegative(),
    waiting: z.int().nonnegative(),
    kv_used: z.number().nonnegative(),
    kv_total: z.number().nonnegative(),
    /** Milliseconds between the sample and this answer. */
    age_ms: z.number().nonnegative(),
});

/** The state of an engine. */
export const engineStatusSchema = z.object({
    holds: z.array(modelLayerRangeSchema),
    load: loadReportSchema,
    is_leaving: z.boolean(),
});

/** Orders rank by term, then by index of the log. */
export const fencingTokenSchema = z.object({ term: z.int(), index: z.int() });

/** An order to an engine: hold just these layers. */
export const orderSchema = z.object({
    fence: fencingTokenSchema,
    /** The order is void this long after it was sent. */
    life_ms: z.number().positive(),
    holds: z.array(modelLayerRangeSchema),
});

/** What an engine answers to an order. */
export const orderResponseSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("accepted") }),
    z.object({ kind: z.literal("fenced"), newest: fencingTokenSchema }),
]);

/** The KV cache of one run over one range of layers, on its way to another engine. */
export const exportedCacheSchema = z.object({
    run: z.string(),
    epoch: z.int(),
    /** Positions the cache covers, counted from 0. */
    position: z.int(),
    model: z.string(),
    version: z.string(),
    first_layer: z.int(),
    end_layer: z.int(),
    layers: z.array(z.number()),
});

/** One pass through layers. */
export type Step = z.infer<typeof stepSchema>;
/** Why a step was not taken. */
export type StepRefusal = z.infer<typeof stepRefusalSchema>;
/** The answer to a step. */
export type StepResponse = z.infer<typeof stepResponseSchema>;
/** Layers held. */
export type ModelLayerRange = z.infer<typeof modelLayerRangeSchema>;
/** Reported load. */
export type LoadReport = z.infer<typeof loadReportSchema>;
/** State of an engine. */
export type EngineStatus = z.infer<typeof engineStatusSchema>;
/** Rank of an order. */
export type FencingToken = z.infer<typeof fencingTokenSchema>;
/** An order. */
export type Order = z.infer<typeof orderSchema>;
/** The answer to an order. */
export type OrderResponse = z.infer<typeof orderResponseSchema>;
/** A run's cache. */
export type ExportedCache = z.infer<typeof exportedCacheSchema>;
