/**
 * The answer to an intent: what would change, before anything does.
 */
import * as z from "zod";
import { configurationSchema } from "./configuration.js";

/** A plan, kept until it is confirmed or forgotten. */
export const planSchema = z.object({
    id: z.string(),
    intent_id: z.string(),
    /** Digest of the intent, so that another intent under the same id is noticed. */
    digest: z.string(),
    base_version: z.int().nonnegative(),
    configuration: configurationSchema,
    differences: z.array(z.string()),
});

/** A plan. */
export type Plan = z.infer<typeof planSchema>;

/** What came of confirming a plan. */
export type ConfirmResult =
    | { readonly kind: "confirmed"; readonly version: number; readonly isRepeat: boolean; }
    | { readonly kind: "moved"; readonly currentVersion: number; readonly differences: readonly string[]; }
    | { readonly kind: "unknown-plan"; };

/** What came of recording a plan. */
export type PlanResult =
    | { readonly kind: "planned"; readonly plan: Plan; readonly confirmedVersion: number | undefined; }
    | { readonly kind: "intent-reused"; readonly intentId: string; };
