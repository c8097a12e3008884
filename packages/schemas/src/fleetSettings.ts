/**
 * Settings of the two roles that share a fleet: entries, which callers reach, and voters, which keep its state.
 * Unknown keys are passed over, so that a newer file can be read by an older process.
 */
import * as z from "zod";
import { addressSchema } from "./address.js";

/** A slow link of today, where the settings name none. */
const DEFAULT_LINK_MBPS = 100;

const durationMsSchema = z.number().nonnegative();

/** Settings of one entry or voter. Times are in milliseconds. */
export const fleetSettingsSchema = z.object({
    instance: z.object({
        id: z.string().min(1),
        /** IP address at which other instances reach this one. */
        host: z.string().min(1),
        failure_domain: z.string().min(1),
        /** Where a voter keeps its log. */
        data_folder: z.string().min(1).optional(),
    }),
    ports: z.object({
        /** Where callers connect to; an entry has it. */
        callers: addressSchema.optional(),
        /** Where the balancer asks for readiness; an entry has it. */
        readiness: addressSchema.optional(),
        /** Where operators and upstreams call; a voter has it. */
        operators: addressSchema.optional(),
        /** First port of those that instances speak to each other on; the same on every instance. */
        peers_port: z.int().positive(),
        /** Where counters are read; none where left out. */
        metrics_port: z.int().positive().optional(),
    }),
    cluster: z.object({
        /** Operators' addresses of some voters; a hint that may be stale. */
        seeds: z.array(addressSchema),
        /** Whether this is the first start of the whole system, so that the seeds found the log. */
        founding: z.boolean().default(false),
        /** Voters that may be lost at once. */
        tolerated_losses: z.int().nonnegative().default(1),
    }),
    limits: z.object({
        /** Rate of this instance's link, in Mbit/s. */
        link: z.number().positive().default(DEFAULT_LINK_MBPS),
    }).default({ link: DEFAULT_LINK_MBPS }),
    contract: z.object({
        /** Between two heartbeats of an upstream. */
        upstream_heartbeat: durationMsSchema,
        /** How soon a confirmed configuration is in force everywhere. */
        apply: durationMsSchema,
        /** How soon a key that was taken away stops to work, also at an instance that is cut off. */
        revocation: durationMsSchema,
        /** How long an upstream serves on after it said that it leaves; nothing goes there any more where left out. */
        drain: durationMsSchema.default(0),
        /** Time between the request to stop and the end of the process. */
        stop: durationMsSchema,
        /** Repeats allowed as a share of requests, over all instances. */
        retry_ratio: z.number().nonnegative(),
        /** Repeats allowed besides, over all instances, in one window. */
        retry_slack: z.number().nonnegative(),
        retry_window: durationMsSchema,
    }),
});

/** Settings of one entry or voter. */
export type FleetSettings = z.infer<typeof fleetSettingsSchema>;
