/**
 * Requests between instances, as parameters of JSON-RPC 2.0 methods.
 */
import * as z from "zod";
import { addressSchema } from "./address.js";
import { bufferedResponseSchema, commandSchema } from "./command.js";
import { configurationSchema } from "./configuration.js";
import { membershipMessageSchema } from "./member.js";
import { replicaAddressSchema, replicaEnvelopeSchema, replicaSetSchema } from "./replicaMessage.js";

/** Parameters of `member`. */
export const memberParametersSchema = z.object({ from: addressSchema, message: membershipMessageSchema });
/** Result of `member`: messages that answer at once; others come by themselves. */
export const memberResultSchema = z.object({ answers: z.array(membershipMessageSchema) });
/** Parameters of `replica`. */
export const replicaParametersSchema = replicaEnvelopeSchema;
/** Result of `replica`: messages that answer at once; others come by themselves. */
export const replicaResultSchema = z.object({ answers: z.array(replicaEnvelopeSchema) });
/** Parameters of `propose`. */
export const proposeParametersSchema = z.object({ command: commandSchema });

/** Result of `propose`. */
export const proposeResultSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("applied"), result: z.unknown(), index: z.int() }),
    z.object({ kind: z.literal("not-leader"), leader: replicaAddressSchema.optional() }),
    z.object({ kind: z.literal("unknown") }),
]);

/** Result of `getNewest`: the newest confirmed configuration, from a leader inside its lease. */
export const newestResultSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("newest"), configuration: configurationSchema }),
    z.object({ kind: z.literal("not-leader"), leader: replicaAddressSchema.optional() }),
]);

/** Result of `getConfiguration`: what is in force at the instance that was asked. */
export const configurationResultSchema = z.object({ configuration: configurationSchema });

/** Parameters of `awaitAnswer`, asked of the owner of a claim. */
export const awaitAnswerParametersSchema = z.object({ token: z.string(), owner: z.string() });

/** Result of `awaitAnswer`. */
export const awaitAnswerResultSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("finished"), answer: bufferedResponseSchema }),
    z.object({ kind: z.literal("running") }),
    /** The owner is there and did not run it, nor will it. */
    z.object({ kind: z.literal("not-run") }),
    z.object({ kind: z.literal("lost") }),
]);

/** Parameters of `changeVoters`. */
export const changeVotersParametersSchema = z.object({
    action: z.enum(["add", "remove"]),
    /** Instance to add, or replica to remove. */
    name: z.string(),
});

/** Result of `changeVoters`. */
export const changeVotersResultSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("changed"), replicas: replicaSetSchema }),
    z.object({ kind: z.literal("not-leader"), leader: replicaAddressSchema.optional() }),
    z.object({ kind: z.literal("refused"), reason: z.string() }),
]);

/** Result of `describeReplica`. */
export const describeReplicaResultSchema = z.object({
    instance: z.string(),
    replica: replicaAddressSchema.optional(),
    cluster: z.string().optional(),
});

/** Parameters of `changeVoters`. */
export type VoterChange = z.infer<typeof changeVotersParametersSchema>;
/** Result of `changeVoters`. */
export type ChangeVotersResult = z.infer<typeof changeVotersResultSchema>;
/** Result of `propose`. */
export type ProposeResult = z.infer<typeof proposeResultSchema>;
/** Result of `getNewest`. */
export type NewestResult = z.infer<typeof newestResultSchema>;
/** Result of `awaitAnswer`. */
export type AwaitAnswerResult = z.infer<typeof awaitAnswerResultSchema>;
/** Result of `describeReplica`. */
export type DescribeReplicaResult = z.infer<typeof describeReplicaResultSchema>;
