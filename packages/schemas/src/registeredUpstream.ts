/**
 * Upstreams that register themselves, as every voter and entry knows them.
 */
import * as z from "zod";
import { upstreamIncarnationSchema } from "./upstreamIncarnation.js";

/** Layers from `first` up to, but without, `end`. */
export const layerSpanSchema = z.object({ first: z.int().nonnegative(), end: z.int().nonnegative() });

/** What an upstream says of itself. */
export const upstreamFactsSchema = z.object({
    /** Names one life of the upstream, by `formatLifeId`; a restart has another. */
    id: z.string(),
    /** The life itself; left out where the id is the whole of it. */
    life: upstreamIncarnationSchema.optional(),
    service: z.string(),
    address: z.string(),
    failure_domain: z.string(),
    slots: z.int().nonnegative(),
    /** Kind of its accelerator; undefined where it runs no model. */
    accelerator: z.string().optional(),
    /** Layers that it holds; undefined where it holds none. */
    held: layerSpanSchema.optional(),
    /** How many times slower it is than its accelerator should be, by its own report; 1 where left out. */
    slowness: z.number().positive().optional(),
});

/** `lost`: not heard for too long; the same life may be heard again. */
export const upstreamStatusSchema = z.enum(["ready", "leaving", "lost"]);

/** An upstream as the voters agreed on it. */
export const registeredUpstreamSchema = upstreamFactsSchema.extend({ status: upstreamStatusSchema });

/** Layers. */
export type LayerSpan = z.infer<typeof layerSpanSchema>;
/** What an upstream says of itself. */
export type UpstreamFacts = z.infer<typeof upstreamFactsSchema>;
/** Whether work may go there. */
export type UpstreamStatus = z.infer<typeof upstreamStatusSchema>;
/** An upstream as the voters agreed on it. */
export type RegisteredUpstream = z.infer<typeof registeredUpstreamSchema>;
