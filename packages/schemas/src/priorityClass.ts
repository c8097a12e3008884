/**
 * Priority classes of requests, the highest priority first.
 */
import * as z from "zod";

/** All classes, the highest priority first. */
export const priorityClasses = ["urgent", "interactive", "narrative"] as const;

/** Accepts the name of a priority class. */
export const priorityClassSchema = z.enum(priorityClasses);

/** Name of a priority class. */
export type PriorityClass = z.infer<typeof priorityClassSchema>;
