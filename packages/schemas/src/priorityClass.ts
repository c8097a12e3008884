/**
 * Priority classes of requests, the most pressing first.
 */
import * as z from "zod";

/** Classes in the order in which they are served. */
export const priorityClasses = ["urgent", "interactive", "narrative"] as const;

/** Schema of a class name. */
export const priorityClassSchema = z.enum(priorityClasses);

/** The name of a class. */
export type PriorityClass = z.infer<typeof priorityClassSchema>;
