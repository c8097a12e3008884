/**
 * Result of the JSON-RPC method `status` of entries and voters: who asks for what, and who is being refused and why.
 */
import * as z from "zod";
import { classDemandSchema } from "./demandMessage.js";

/** One class of a service. */
export const classStatusSchema = classDemandSchema.extend({
    rank: z.int().nonnegative(),
    /** Average of the arrivals with a time constant of 10 s; entries only. */
    slow_arrivals_per_s: z.number().optional(),
    /** Share of the room of its service that the class may take; absent where it is not limited. */
    room: z.number().optional(),
    /** Time since that share was computed, in milliseconds. */
    room_age_ms: z.number().nonnegative().optional(),
    /** Refusals here by reason in the last 10 s; entries only. */
    refusals: z.record(z.string(), z.int().nonnegative()).default({}),
});

/** Result of `status`. */
export const fleetStatusSchema = z.object({
    instance: z.string(),
    role: z.enum(["entry", "leader", "voter"]),
    /** Number of entries known to this instance. */
    entries: z.int().nonnegative(),
    /** Number of entries in the last sum of the demand. */
    reporters: z.int().nonnegative(),
    services: z.array(z.object({
        /** Empty for requests that were refused before their route was known. */
        service: z.string(),
        /** Whether the demand is this entry's own, times the number of entries. */
        is_estimated: z.boolean(),
        /** Time since the demand was received, or summed; absent where no sum has been received. */
        demand_age_ms: z.number().nonnegative().optional(),
        classes: z.array(classStatusSchema),
    })),
});

/** Result of `status`. */
export type FleetStatus = z.infer<typeof fleetStatusSchema>;
/** One class of a service. */
export type ClassStatus = z.infer<typeof classStatusSchema>;
