/**
 * The configuration that operators confirm and every instance applies.
 */
import * as z from "zod";
import { addressSchema } from "./address.js";
import { priorityClasses, priorityClassSchema } from "./priorityClass.js";

const nameSchema = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]*$/, "expected letters, digits, dots and dashes");

/** An organisation that may send requests. */
export const organisationSchema = z.strictObject({
    name: nameSchema,
    /** Fair-share weight relative to other organisations. */
    weight: z.number().positive().default(1),
    /** SHA-256 of the organisation's secret in hexadecimal. */
    secret_sha256: z.string().regex(/^[0-9a-f]{64}$/, "expected 64 hexadecimal digits"),
});

/** Contracted latency of one priority class. */
export const latencyBoundSchema = z.strictObject({
    class: priorityClassSchema,
    first_token_ms: z.number().positive(),
    between_tokens_ms: z.number().positive(),
});

/** A model served by a pipeline of engines. */
export const modelSchema = z.strictObject({
    name: nameSchema,
    version: nameSchema.default("v1"),
    layers: z.int().positive(),
    repeatable: z.boolean().default(true),
    classes: z.array(priorityClassSchema).min(1).default([...priorityClasses]),
    max_tokens: z.int().positive().default(512),
});

/** A service without a model; each request is forwarded to one of its upstreams. */
export const serviceSchema = z.strictObject({
    name: nameSchema,
    repeatable: z.boolean().default(true),
    classes: z.array(priorityClassSchema).min(1).default([...priorityClasses]),
    upstreams: z.array(nameSchema).min(1),
});

/** A back end: a model engine or a server of a plain service. */
export const upstreamSchema = z.strictObject({
    name: nameSchema,
    kind: z.enum(["engine", "service"]),
    address: addressSchema,
    failure_domain: nameSchema.default("local"),
    /** Number of layers that fit into accelerator memory. */
    memory_layers: z.int().positive().default(1),
    /** Speed relative to the slowest kind of accelerator. */
    speed: z.number().positive().default(1),
    /** One-way network latency to the entries, in milliseconds. */
    link_ms: z.number().nonnegative().default(0.25),
    /** Maximum number of concurrent requests. */
    slots: z.int().positive().default(8),
    /** Whether the upstream rejects orders with an older fencing token. */
    checks_fence: z.boolean().default(true),
});

/** The configuration that an operator requests; the planner decides on the placement of layers. */
export const intentSchema = z.strictObject({
    /** Idempotency key: an intent submitted again under the same id is recognised as a repeat. */
    id: nameSchema,
    organisations: z.array(organisationSchema).default([]),
    classes: z.array(latencyBoundSchema).default([]),
    models: z.array(modelSchema).default([]),
    services: z.array(serviceSchema).default([]),
    upstreams: z.array(upstreamSchema).default([]),
}).superRefine(checkReferences);

/** A range of layers of one model version, assigned to an upstream. */
export const placementSchema = z.strictObject({
    upstream: nameSchema,
    model: nameSchema,
    version: nameSchema,
    first_layer: z.int().nonnegative(),
    /** Exclusive end of the range. */
    end_layer: z.int().positive(),
});

/** A confirmed configuration. */
export const configurationSchema = z.object({
    version: z.int().nonnegative(),
    intent_id: z.string(),
    organisations: z.array(organisationSchema),
    classes: z.array(latencyBoundSchema),
    models: z.array(modelSchema),
    services: z.array(serviceSchema),
    upstreams: z.array(upstreamSchema),
    placements: z.array(placementSchema),
});

/** An organisation that may send requests. */
export type Organisation = z.infer<typeof organisationSchema>;
/** Contracted latency of one priority class. */
export type LatencyBound = z.infer<typeof latencyBoundSchema>;
/** A model served by a pipeline of engines. */
export type Model = z.infer<typeof modelSchema>;
/** A service without a model. */
export type Service = z.infer<typeof serviceSchema>;
/** A back end: a model engine or a server of a plain service. */
export type Upstream = z.infer<typeof upstreamSchema>;
/** The configuration that an operator requests. */
export type Intent = z.infer<typeof intentSchema>;
/** A range of layers assigned to an upstream. */
export type Placement = z.infer<typeof placementSchema>;
/** A confirmed configuration. */
export type Configuration = z.infer<typeof configurationSchema>;

/** The configuration until the first plan is confirmed. */
export const emptyConfiguration: Configuration = {
    version: 0,
    intent_id: "",
    organisations: [],
    classes: [],
    models: [],
    services: [],
    upstreams: [],
    placements: [],
};

/** Latency bounds of classes that the configuration does not list. */
export const defaultLatencyBounds: Readonly<Record<(typeof priorityClasses)[number], LatencyBound>> = {
    urgent: { class: "urgent", first_token_ms: 600, between_tokens_ms: 34 },
    interactive: { class: "interactive", first_token_ms: 1_200, between_tokens_ms: 34 },
    narrative: { class: "narrative", first_token_ms: 6_000, between_tokens_ms: 100 },
};

interface NamedResources {
    readonly organisations: readonly { name: string; }[];
    readonly models: readonly { name: string; }[];
    readonly services: readonly { name: string; upstreams: readonly string[]; }[];
    readonly upstreams: readonly { name: string; kind: string; }[];
}

function checkReferences(intent: NamedResources, context: z.RefinementCtx): void {
    for (const list of ["organisations", "models", "services", "upstreams"] as const) {
        checkUniqueNames(list, intent[list], context);
    }
    const plainServices = new Set(
        intent.upstreams.filter((upstream) => upstream.kind === "service").map((upstream) => upstream.name),
    );
    intent.services.forEach((service, index) => {
        for (const upstream of service.upstreams.filter((name) => !plainServices.has(name))) {
            context.addIssue({
                code: "custom",
                path: ["services", index, "upstreams"],
                message: 'expected the name of an upstream of kind "service"',
                input: upstream,
            });
        }
    });
}

function checkUniqueNames(list: string, items: readonly { name: string; }[], context: z.RefinementCtx): void {
    const seen = new Set<string>();
    items.forEach(({ name }, index) => {
        if (seen.has(name)) {
            context.addIssue({
                code: "custom",
                path: [list, index, "name"],
                message: "expected a name that is used once",
                input: name,
            });
        }
        seen.add(name);
    });
}
