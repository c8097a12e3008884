/**
 * What operators confirm: the configuration that is in force on every instance.
 */
import * as z from "zod";
import { addressSchema } from "./address.js";
import { priorityClasses, priorityClassSchema } from "./priorityClass.js";

const nameSchema = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]*$/, "expected letters, digits, dots and dashes");

/** An organisation whose requests are served. */
export const organisationSchema = z.strictObject({
    name: nameSchema,
    /** Share of the service against other organisations. */
    weight: z.number().positive().default(1),
    /** SHA-256 of the organisation's secret, in hexadecimal. */
    secret_sha256: z.string().regex(/^[0-9a-f]{64}$/, "expected 64 hexadecimal digits"),
});

/** The latency that is contracted for one priority class. */
export const latencyBoundSchema = z.strictObject({
    class: priorityClassSchema,
    first_token_ms: z.number().positive(),
    between_tokens_ms: z.number().positive(),
});

/** A model that is served by a pipeline of engines. */
export const modelSchema = z.strictObject({
    name: nameSchema,
    version: nameSchema.default("v1"),
    layers: z.int().positive(),
    repeatable: z.boolean().default(true),
    classes: z.array(priorityClassSchema).min(1).default([...priorityClasses]),
    max_tokens: z.int().positive().default(512),
});

/** A plain service that is routed to as it is. */
export const serviceSchema = z.strictObject({
    name: nameSchema,
    repeatable: z.boolean().default(true),
    classes: z.array(priorityClassSchema).min(1).default([...priorityClasses]),
    upstreams: z.array(nameSchema).min(1),
});

/** A back end: a model engine or an instance of a plain service. */
export const upstreamSchema = z.strictObject({
    name: nameSchema,
    kind: z.enum(["engine", "service"]),
    address: addressSchema,
    failure_domain: nameSchema.default("local"),
    /** Layers that fit into the accelerators' memory. */
    memory_layers: z.int().positive().default(1),
    /** Speed against the slowest kind of accelerator. */
    speed: z.number().positive().default(1),
    /** One way to the entries, in milliseconds. */
    link_ms: z.number().nonnegative().default(0.25),
    /** Requests that may run there at the same time. */
    slots: z.int().positive().default(8),
    /** Whether the upstream refuses orders with an older fence. */
    checks_fence: z.boolean().default(true),
});

/** What an operator asks for; where the layers go is left to the plan. */
export const intentSchema = z.strictObject({
    /** Names the intent, so that sending it again is known as a repeat. */
    id: nameSchema,
    organisations: z.array(organisationSchema).default([]),
    classes: z.array(latencyBoundSchema).default([]),
    models: z.array(modelSchema).default([]),
    services: z.array(serviceSchema).default([]),
    upstreams: z.array(upstreamSchema).default([]),
}).superRefine(checkReferences);

/** A range of layers of one model version that an upstream is to hold. */
export const placementSchema = z.strictObject({
    upstream: nameSchema,
    model: nameSchema,
    version: nameSchema,
    first_layer: z.int().nonnegative(),
    /** One past the last layer. */
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

/** An organisation whose requests are served. */
export type Organisation = z.infer<typeof organisationSchema>;
/** The latency contracted for a class. */
export type LatencyBound = z.infer<typeof latencyBoundSchema>;
/** A model served by a pipeline. */
export type Model = z.infer<typeof modelSchema>;
/** A plain service. */
export type Service = z.infer<typeof serviceSchema>;
/** A back end. */
export type Upstream = z.infer<typeof upstreamSchema>;
/** An operator's wish. */
export type Intent = z.infer<typeof intentSchema>;
/** Layers held by an upstream. */
export type Placement = z.infer<typeof placementSchema>;
/** What is in force. */
export type Configuration = z.infer<typeof configurationSchema>;

/** The configuration before the first confirmed plan. */
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

/** Bounds of a class for which the configuration gives none. */
export const defaultLatencyBounds: Readonly<Record<(typeof priorityClasses)[number], LatencyBound>> = {
    urgent: { class: "urgent", first_token_ms: 600, between_tokens_ms: 34 },
    interactive: { class: "interactive", first_token_ms: 1_200, between_tokens_ms: 34 },
    narrative: { class: "narrative", first_token_ms: 6_000, between_tokens_ms: 100 },
};

interface NamedLists {
    readonly organisations: readonly { name: string; }[];
    readonly models: readonly { name: string; }[];
    readonly services: readonly { name: string; upstreams: readonly string[]; }[];
    readonly upstreams: readonly { name: string; kind: string; }[];
}

function checkReferences(intent: NamedLists, context: z.RefinementCtx): void {
    for (const list of ["organisations", "models", "services", "upstreams"] as const) {
        checkUniqueNames(list, intent[list], context);
    }
    const plainServices = new Set(intent.upstreams.filter((one) => one.kind === "service").map((one) => one.name));
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
