/**
 * Upstreams that register themselves, as replicated to every voter and entry.
 */
import * as z from "zod";
import { upstreamIncarnationSchema } from "./upstreamIncarnation.js";

/** A range of layers from `first`, inclusive, to `end`, exclusive. */
export const layerSpanSchema = z.object({ first: z.int().nonnegative(), end: z.int().nonnegative() });

/** Properties that an upstream reports about itself. */
export const upstreamFactsSchema = z.object({
    /** Identifies one incarnation of the upstream, by `formatIncarnationId`; it changes with every restart. */
    id: z.string(),
    /** The incarnation; absent if it consists of the id alone. */
    life: upstreamIncarnationSchema.optional(),
    service: z.string(),
    address: z.string(),
    failure_domain: z.string(),
    slots: z.int().nonnegative(),
    /** Kind of its accelerator; absent if it runs no model. */
    accelerator: z.string().optional(),
    /** Layers that it holds; absent if it holds none. */
    held: layerSpanSchema.optional(),
    /** Self-reported slowdown factor relative to the nominal speed of its accelerator; 1 if absent. */
    slowness: z.number().positive().optional(),
    /**
     * Why it is lost: it is `gone`, as when its address refuses connections, or it was only `silent` and may go on; absent
     * unless it is lost, and where a leader of an earlier build marked it.
     */
    loss: z.enum(["gone", "silent"]).optional(),
});

/** `lost`: no heartbeat or report in time; the same incarnation may become `ready` again. */
export const upstreamStatusSchema = z.enum(["ready", "leaving", "lost"]);

/** An upstream in the replicated state. */
export const registeredUpstreamSchema = upstreamFactsSchema.extend({ status: upstreamStatusSchema });

/** A range of layers. */
export type LayerSpan = z.infer<typeof layerSpanSchema>;
/** Properties that an upstream reports about itself. */
export type UpstreamFacts = z.infer<typeof upstreamFactsSchema>;
/** Why an upstream is lost. */
export type UpstreamLoss = NonNullable<UpstreamFacts["loss"]>;
/** Whether requests may be sent to an upstream. */
export type UpstreamStatus = z.infer<typeof upstreamStatusSchema>;
/** An upstream in the replicated state. */
export type RegisteredUpstream = z.infer<typeof registeredUpstreamSchema>;
