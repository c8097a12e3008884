/**
 * Responses of the operator API.
 */
import * as z from "zod";
import { memberSchema } from "./member.js";
import { planSchema } from "./plan.js";
import { replicaAddressSchema, replicaSetSchema } from "./replicaMessage.js";

/** Response of `GET /v1/status`. */
export const statusResponseSchema = z.object({
    instance: z.string(),
    state: z.string(),
    configuration_version: z.int(),
    members: z.array(memberSchema),
    replica: z.object({
        role: z.string(),
        term: z.int(),
        leader: replicaAddressSchema.optional(),
        commit_index: z.int(),
        last_index: z.int(),
        replicas: replicaSetSchema,
    }).optional(),
});

/** One upstream in the response of `GET /v1/upstreams`. */
export const upstreamRowSchema = z.object({
    name: z.string(),
    kind: z.string(),
    address: z.string(),
    failure_domain: z.string(),
    state: z.string(),
    circuit: z.string(),
    holds: z.array(z.string()),
    own_in_flight: z.int(),
    others_in_flight: z.int(),
    reported_running: z.int().optional(),
    reported_waiting: z.int().optional(),
});

/** Response of `GET /v1/upstreams`. */
export const upstreamsResponseSchema = z.object({ upstreams: z.array(upstreamRowSchema) });

/** Response of `POST /v1/plans`. */
export const planResponseSchema = z.object({ plan: planSchema, confirmed_version: z.int().optional() });

/** Response of `POST /v1/plans/ID/confirm`. */
export const confirmResponseSchema = z.object({
    version: z.int(),
    is_repeat: z.boolean(),
    /** Live instances that had applied the version by the time of the response; `not_in_force` lists the others. */
    in_force: z.array(z.string()),
    not_in_force: z.array(z.string()),
});

/** Response of `GET /v1/configuration/history`. */
export const historyResponseSchema = z.object({
    history: z.array(z.object({
        version: z.int(),
        intent_id: z.string(),
        plan_id: z.string(),
        confirmed_ms: z.number(),
        differences: z.array(z.string()),
    })),
});

/** Body of every error response of the operator API. */
export const operatorErrorBodySchema = z.object({
    error: z.object({
        id: z.string(),
        message: z.string(),
        step: z.string(),
        peer: z.string(),
        /** Suggested next action. */
        next: z.string(),
        details: z.array(z.string()),
    }),
});

/** Response of `GET /v1/status`. */
export type StatusResponse = z.infer<typeof statusResponseSchema>;
/** One upstream in the response of `GET /v1/upstreams`. */
export type UpstreamRow = z.infer<typeof upstreamRowSchema>;
/** Body of an error response of the operator API. */
export type OperatorErrorBody = z.infer<typeof operatorErrorBodySchema>;
