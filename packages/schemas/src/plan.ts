/**
 * Plans: the configuration computed from an intent, and its differences from the current one, before any is applied.
 */
import * as z from "zod";
import { configurationSchema } from "./configuration.js";

/** A plan, stored until it is confirmed or evicted. */
export const planSchema = z.object({
    id: z.string(),
    intent_id: z.string(),
    /** Digest of the intent, to detect a different intent under the same id. */
    digest: z.string(),
    base_version: z.int().nonnegative(),
    configuration: configurationSchema,
    differences: z.array(z.string()),
});

/** The configuration computed from an intent, and its differences from the current one. */
export type Plan = z.infer<typeof planSchema>;

/** Result of confirming a plan. */
export type ConfirmResult =
    | { readonly kind: "confirmed"; readonly version: number; readonly isRepeat: boolean; }
    | { readonly kind: "moved"; readonly currentVersion: number; readonly differences: readonly string[]; }
    | { readonly kind: "unknown-plan"; };

/** Result of recording a plan. */
export type PlanResult =
    | { readonly kind: "planned"; readonly plan: Plan; readonly confirmedVersion: number | undefined; }
    | { readonly kind: "intent-reused"; readonly intentId: string; };
