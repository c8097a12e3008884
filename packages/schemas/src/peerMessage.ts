/**
 * Parameters and results of the JSON-RPC 2.0 methods between instances.
 */
import * as z from "zod";
import { addressSchema } from "./address.js";
import { bufferedResponseSchema, commandSchema } from "./command.js";
import { configurationSchema } from "./configuration.js";
import { membershipMessageSchema } from "./member.js";
import { replicaAddressSchema, replicaEnvelopeSchema, replicaSetSchema } from "./replicaMessage.js";

/** Parameters of `member`. */
export const memberParametersSchema = z.object({ from: addressSchema, message: membershipMessageSchema });
/** Result of `member`: immediate replies; later replies are sent as separate requests. */
export const memberResultSchema = z.object({ answers: z.array(membershipMessageSchema) });
/** Parameters of `replica`. */
export const replicaParametersSchema = replicaEnvelopeSchema;
/** Result of `replica`: immediate replies; later replies are sent as separate requests. */
export const replicaResultSchema = z.object({ answers: z.array(replicaEnvelopeSchema) });
/** Parameters of `propose`. */
export const proposeParametersSchema = z.object({ command: commandSchema });

/** Result of `propose`. */
export const proposeResultSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("applied"), result: z.unknown(), index: z.int() }),
    z.object({ kind: z.literal("not-leader"), leader: replicaAddressSchema.optional() }),
    z.object({ kind: z.literal("unknown") }),
]);

/** Result of `getNewest`: the newest confirmed configuration, from a leader with a valid lease. */
export const newestResultSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("newest"), configuration: configurationSchema }),
    z.object({ kind: z.literal("not-leader"), leader: replicaAddressSchema.optional() }),
]);

/** Result of `getConfiguration`: the configuration applied on the called instance. */
export const configurationResultSchema = z.object({ configuration: configurationSchema });

/** Parameters of `awaitAnswer`, which is called on the owner of a claim. */
export const awaitAnswerParametersSchema = z.object({ token: z.string(), owner: z.string() });

/** Result of `awaitAnswer`. */
export const awaitAnswerResultSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("finished"), answer: bufferedResponseSchema }),
    z.object({ kind: z.literal("running") }),
    /** The owner is alive, has not run the request and will not run it. */
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
