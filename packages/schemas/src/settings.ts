/**
 * Settings of a `crankforkd` process in TOML.
 */
import * as z from "zod";
import { addressSchema, isLoopbackAddress, parseAddress } from "./address.js";

const idSchema = z.string().regex(/^[a-z0-9][a-z0-9-]*$/, "expected lower-case letters, digits and dashes");

const durationUnitsMs: Readonly<Record<string, number>> = { ms: 1, s: 1_000, min: 60_000, h: 3_600_000 };

/** A duration such as `"250ms"`, `"2s"` or `"5min"`, converted to milliseconds. */
export const durationSchema = z.string()
    .regex(/^\d+(\.\d+)?(ms|s|min|h)$/, "expected a duration with a unit: ms, s, min or h, such as 250ms")
    .transform(parseDurationMs);

const sizeUnitsBytes: Readonly<Record<string, number>> = { B: 1, KiB: 1_024, MiB: 1_048_576 };

/** A size such as `"512KiB"`, converted to bytes. */
export const sizeSchema = z.string()
    .regex(/^\d+(B|KiB|MiB)$/, "expected a size with a unit: B, KiB or MiB, such as 512KiB")
    .transform((text) => Number.parseInt(text, 10) * (sizeUnitsBytes[text.replace(/^\d+/, "")] ?? 1));

const instanceSchema = z.strictObject({
    id: idSchema,
    region: idSchema.default("local"),
    failure_domain: idSchema.default("local"),
    data_folder: z.string().min(1).optional(),
    /** Single-node mode: the instance creates its cluster at the first start and applies `initial_intent` as confirmed. */
    alone: z.boolean().default(false),
    initial_intent: z.string().min(1).optional(),
});

const portsSchema = z.strictObject({
    callers: addressSchema,
    operators: addressSchema,
    peers: addressSchema,
});

const secretsSchema = z.strictObject({
    operators: z.string().min(16, "expected at least 16 characters").optional(),
    peers: z.string().min(16, "expected at least 16 characters").optional(),
});

const timingSchema = z.strictObject({
    heartbeat: durationSchema.prefault("200ms"),
    election: durationSchema.prefault("700ms"),
    probe: durationSchema.prefault("500ms"),
    probe_timeout: durationSchema.prefault("200ms"),
    suspicion: durationSchema.prefault("1500ms"),
    upstream_poll: durationSchema.prefault("250ms"),
    upstream_timeout: durationSchema.prefault("5s"),
    drain_notice: durationSchema.prefault("1s"),
});

const limitsSchema = z.strictObject({
    body: sizeSchema.prefault("1MiB"),
    /** Maximum size of a response from a plain service. */
    answer: sizeSchema.prefault("8MiB"),
    stream_buffer: sizeSchema.prefault("64KiB"),
    queue_requests: z.int().positive().default(1_000),
    claim_retention: durationSchema.prefault("24h"),
    drain: durationSchema.prefault("30s"),
    /** Time for which a caller may leave its response unread before the request is cancelled. */
    caller_stall: durationSchema.prefault("10s"),
});

const platformSchema = z.strictObject({
    /** URL of the platform's list of live and leaving instances; the list may be outdated. */
    instances: z.url({ protocol: /^http$/, error: "expected an http URL" }).optional(),
    poll: durationSchema.prefault("1s"),
});

const metricsSchema = z.strictObject({
    statsd: addressSchema.optional(),
    prefix: z.string().default("crankfork."),
});

const logSchema = z.strictObject({
    level: z.enum(["debug", "info", "warn", "error"]).default("info"),
    file: z.string().optional(),
});

/** All settings of a process; validated key by key and for conflicts between keys. */
export const settingsSchema = z.strictObject({
    instance: instanceSchema,
    ports: portsSchema,
    secrets: secretsSchema.prefault({}),
    peers: z.strictObject({ addresses: z.array(addressSchema).default([]) }).prefault({}),
    timing: timingSchema.prefault({}),
    limits: limitsSchema.prefault({}),
    platform: platformSchema.prefault({}),
    metrics: metricsSchema.prefault({}),
    log: logSchema.prefault({}),
}).superRefine((settings, context) => {
    checkPortConflicts(settings.ports, context);
    checkSecrets(settings, context);
    checkTiming(settings.timing, context);
    if (settings.instance.alone && settings.peers.addresses.length > 0) {
        context.addIssue({
            code: "custom",
            path: ["instance", "alone"],
            message: "expected false where peers.addresses names other instances",
            input: true,
        });
    }
});

/** Validated settings; durations in milliseconds, sizes in bytes. */
export type Settings = z.infer<typeof settingsSchema>;

function parseDurationMs(text: string): number {
    const unit = text.replace(/^[\d.]+/, "");
    return Number.parseFloat(text) * (durationUnitsMs[unit] ?? 1);
}

function checkPortConflicts(ports: z.infer<typeof portsSchema>, context: z.RefinementCtx): void {
    const seen = new Map<string, string>();
    for (const [key, address] of Object.entries(ports)) {
        const earlier = seen.get(address);
        if (earlier !== undefined && parseAddress(address).port !== 0) {
            context.addIssue({
                code: "custom",
                path: ["ports", key],
                message: `expected an address other than that of ports.${earlier}`,
                input: address,
            });
        }
        seen.set(address, key);
    }
}

function checkSecrets(
    settings: { ports: z.infer<typeof portsSchema>; secrets: z.infer<typeof secretsSchema>; },
    context: z.RefinementCtx,
): void {
    for (const key of ["operators", "peers"] as const) {
        if (settings.secrets[key] === undefined && !isLoopbackAddress(settings.ports[key])) {
            context.addIssue({
                code: "custom",
                path: ["secrets", key],
                message: `expected a secret, since ports.${key} can be reached from other machines`,
                input: undefined,
            });
        }
    }
}

function checkTiming(timing: z.infer<typeof timingSchema>, context: z.RefinementCtx): void {
    if (timing.election < timing.heartbeat * 3) {
        context.addIssue({
            code: "custom",
            path: ["timing", "election"],
            message: "expected at least three times timing.heartbeat",
            input: `${String(timing.election)}ms`,
        });
    }
}
