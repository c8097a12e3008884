/**
 * Commands of the replicated state machine; every voter applies them in the same order.
 */
import * as z from "zod";
import { planSchema } from "./plan.js";

/** A complete response; stored with the claim of a request that must not run again, and returned to repeats. */
export const bufferedResponseSchema = z.object({
    status: z.int(),
    content_type: z.string(),
    body: z.string(),
    /** Encoding of `body`; content that is not valid UTF-8 is stored as base64. */
    encoding: z.enum(["utf8", "base64"]).default("utf8"),
});

const claimIdShape = { organisation: z.string(), key: z.string() };

/** A command as proposed by any instance. */
export const commandSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("record-plan"), plan: planSchema }),
    z.object({ kind: z.literal("confirm-plan"), plan_id: z.string() }),
    z.object({
        kind: z.literal("open-claim"),
        ...claimIdShape,
        digest: z.string(),
        /** Instance that runs the request, with the start of its process. */
        owner: z.string(),
        token: z.string(),
    }),
    z.object({
        kind: z.literal("settle-claim"),
        ...claimIdShape,
        token: z.string(),
        answer: bufferedResponseSchema,
    }),
    z.object({ kind: z.literal("release-claim"), ...claimIdShape, token: z.string() }),
]);

/**
 * A command as stored in the log. The leader adds its wall-clock time and its claim retention, so that every replica
 * expires claims identically, regardless of its own clock and settings.
 */
export const stampedCommandSchema = z.object({
    command: commandSchema,
    at_ms: z.number(),
    claim_retention_ms: z.number(),
});

/** A complete response. */
export type BufferedResponse = z.infer<typeof bufferedResponseSchema>;
/** A command of the replicated state machine. */
export type Command = z.infer<typeof commandSchema>;

/** A command as stored in the log. */
export type StampedCommand = z.infer<typeof stampedCommandSchema>;

/** Result of opening a claim. */
export type ClaimResult =
    | { readonly kind: "granted"; }
    | { readonly kind: "running"; readonly owner: string; readonly token: string; }
    | { readonly kind: "finished"; readonly answer: BufferedResponse; }
    | { readonly kind: "key-reused"; };
