/**
 * Commands of the replicated state: each is applied in the same order on every voter.
 */
import * as z from "zod";
import { planSchema } from "./plan.js";

/** The answer of a finished request that may not run again. */
export const bufferedResponseSchema = z.object({
    status: z.int(),
    content_type: z.string(),
    body: z.string(),
    /** How the body stands in the text above; anything that is no UTF-8 is kept as base64. */
    encoding: z.enum(["utf8", "base64"]).default("utf8"),
});

const claimNameShape = { organisation: z.string(), key: z.string() };

/** A command, as any instance may ask for it. */
export const commandSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("record-plan"), plan: planSchema }),
    z.object({ kind: z.literal("confirm-plan"), plan_id: z.string() }),
    z.object({
        kind: z.literal("open-claim"),
        ...claimNameShape,
        digest: z.string(),
        /** Instance and start of the process that runs the request. */
        owner: z.string(),
        token: z.string(),
    }),
    z.object({
        kind: z.literal("settle-claim"),
        ...claimNameShape,
        token: z.string(),
        answer: bufferedResponseSchema,
    }),
    z.object({ kind: z.literal("release-claim"), ...claimNameShape, token: z.string() }),
]);

/**
 * A command as it stands in the log. The leader adds what must be the same on all replicas: its wall clock and its
 * retention, so that no other instance's clock or settings can make a claim expire.
 */
export const stampedCommandSchema = z.object({
    command: commandSchema,
    at_ms: z.number(),
    claim_retention_ms: z.number(),
});

/** An answer kept for repeats. */
export type BufferedResponse = z.infer<typeof bufferedResponseSchema>;
/** A command. */
export type Command = z.infer<typeof commandSchema>;

/** A command in the log. */
export type StampedCommand = z.infer<typeof stampedCommandSchema>;

/** What came of asking for a claim. */
export type ClaimResult =
    | { readonly kind: "granted"; }
    | { readonly kind: "running"; readonly owner: string; readonly token: string; }
    | { readonly kind: "finished"; readonly answer: BufferedResponse; }
    | { readonly kind: "key-reused"; };
