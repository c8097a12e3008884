/**
 * Settings of the two roles in a fleet: entries, which accept requests from callers, and voters, which replicate the
 * fleet's state. Unknown keys are ignored, so that an older process can read a newer file.
 */
import * as z from "zod";
import { addressSchema } from "./address.js";

/** A conservative link rate, used if the settings do not specify one. */
const DEFAULT_LINK_MBPS = 100;

const durationMsSchema = z.number().nonnegative();

/** Settings of one entry or voter. Times are in milliseconds. */
export const fleetSettingsSchema = z.object({
    instance: z.object({
        id: z.string().min(1),
        /** IP address at which other instances reach this one. */
        host: z.string().min(1),
        failure_domain: z.string().min(1),
        /** Directory of a voter's log. */
        data_folder: z.string().min(1).optional(),
    }),
    ports: z.object({
        /** Address for callers; entries only. */
        callers: addressSchema.optional(),
        /** Address of the readiness check for load balancers; entries only. */
        readiness: addressSchema.optional(),
        /** Address for operators and upstreams; voters only. */
        operators: addressSchema.optional(),
        /** First port of the range for traffic between instances; the same on every instance. */
        peers_port: z.int().positive(),
        /** Port that serves metrics; metrics are not served if absent. */
        metrics_port: z.int().positive().optional(),
    }),
    cluster: z.object({
        /** Operator addresses of some voters; may be outdated. */
        seeds: z.array(addressSchema),
        /** Whether this is the first start of the cluster, in which the seeds create the log. */
        founding: z.boolean().default(false),
        /** Number of simultaneous voter failures that the cluster tolerates. */
        tolerated_losses: z.int().nonnegative().default(1),
    }),
    limits: z.object({
        /** Link rate of this instance, in Mbit/s. */
        link: z.number().positive().default(DEFAULT_LINK_MBPS),
        /** Memory of this instance, in MB. */
        memory: z.number().positive().optional(),
    }).default({ link: DEFAULT_LINK_MBPS }),
    admission: z.object({
        /** Whether demand is also reported for services whose routes all have the same priority. */
        report_demand: z.boolean().default(false),
        /** Whether the memory of engines is checked in tokens for ranked services; see docs/design/declines.md. */
        check_memory: z.boolean().default(false),
    }).default({ report_demand: false, check_memory: false }),
    contract: z.object({
        /** Interval between heartbeats of an upstream. */
        upstream_heartbeat: durationMsSchema,
        /** Maximum time until a confirmed configuration is applied on all instances. */
        apply: durationMsSchema,
        /** Maximum time until a revoked key is rejected, including on a partitioned instance. */
        revocation: durationMsSchema,
        /** How long an upstream keeps serving after it announces its shutdown; by default it gets no further requests. */
        drain: durationMsSchema.default(0),
        /** Maximum time from the stop request to the exit of the process. */
        stop: durationMsSchema,
        /** Retries allowed as a fraction of requests, over all instances. */
        retry_ratio: z.number().nonnegative(),
        /** Additional retries allowed per window, over all instances. */
        retry_slack: z.number().nonnegative(),
        retry_window: durationMsSchema,
    }),
});

/** Settings of one entry or voter. */
export type FleetSettings = z.infer<typeof fleetSettingsSchema>;
