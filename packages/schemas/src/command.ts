/**
 * Commands of the replicated state: each is applied in the same order on every voter.
 */
import { z } from "zod";
import { planSchema } from "./plan.js";

/** The answer of a finished request that may not run again. */
export const keptAnswerSchema = z.object({
    status: z.int(),
    content_type: z.string(),
    body: z.string(),
});

const claimNameShape = { organisation: z.string(), key: z.string() };

/** A command; `at_ms` is the wall clock of the leader that proposed it. */
export const commandSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("record-plan"), at_ms: z.number(), plan: planSchema }),
    z.object({ kind: z.literal("confirm-plan"), at_ms: z.number(), plan_id: z.string() }),
    z.object({
        kind: z.literal("open-claim"),
        at_ms: z.number(),
        ...claimNameShape,
        digest: z.string(),
        /** Instance and start of the process that runs the request. */
        owner: z.string(),
        token: z.string(),
    }),
    z.object({
        kind: z.literal("settle-claim"),
        at_ms: z.number(),
        ...claimNameShape,
        token: z.string(),
        answer: keptAnswerSchema,
    }),
    z.object({ kind: z.literal("release-claim"), at_ms: z.number(), ...claimNameShape, token: z.string() }),
]);

/** An answer kept for repeats. */
export type KeptAnswer = z.infer<typeof keptAnswerSchema>;
/** A command. */
export type Command = z.infer<typeof commandSchema>;

/** What came of asking for a claim. */
export type ClaimResult =
    | { readonly kind: "granted"; }
    | { readonly kind: "running"; readonly owner: string; readonly token: string; }
    | { readonly kind: "finished"; readonly answer: KeptAnswer; }
    | { readonly kind: "key-reused"; };
