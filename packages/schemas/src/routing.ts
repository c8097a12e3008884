/**
 * The routing table: which requests are routed to which service, and under which limits. Operators confirm it as a whole.
 */
import * as z from "zod";

/** A target of a route and its traffic weight. */
export const routeTargetSchema = z.object({ service: z.string(), weight: z.number().nonnegative() });

/** A route for requests to a host whose path starts with a prefix. */
export const routeSchema = z.object({
    name: z.string(),
    host: z.string(),
    /** Path prefix; starts and ends with a slash. */
    prefix: z.string(),
    /** `call`: one complete response. `stream`: events, forwarded as they arrive. */
    kind: z.enum(["call", "stream"]),
    /** Whether a request may run more than once; a stream may if it is resumable. */
    is_repeatable: z.boolean(),
    /** Maximum duration of a request, including its waiting time. */
    timeout_ms: z.number().positive(),
    /** Contracted time to the response or, for a stream, to the first event. */
    objective_ms: z.number().positive(),
    /** Contracted maximum pause between two events. */
    pause_objective_ms: z.number().positive().optional(),
    /** Priority; 0 is the highest. */
    priority: z.int(),
    /** Maximum number of upstreams on which one request may run. */
    most_attempts: z.int().positive(),
    is_anonymous: z.boolean(),
    targets: z.array(routeTargetSchema),
});

/** Capabilities of one kind of accelerator. */
export const acceleratorSchema = z.object({
    name: z.string(),
    memory_mb: z.number().positive(),
    /** Decode time per token relative to `step_ms` of the engine profile; higher is slower. */
    step_factor: z.number().positive(),
    /** Prefill time relative to `read_tokens_a_second` of the engine profile; higher is slower. */
    read_factor: z.number().positive(),
});

/** Parameters of a model that the engines of a service run as a pipeline. */
export const engineProfileSchema = z.object({
    layers: z.int().positive(),
    layer_mb: z.number().positive(),
    /** KV cache size of one token of context, summed over all layers, in bytes. */
    token_bytes: z.number().nonnegative(),
    /** Tokens of context for which an engine is sized. */
    capacity_tokens: z.number().positive(),
    /** Maximum number of concurrent requests at the first engine of a path. */
    slots: z.int().positive(),
    step_ms: z.number().nonnegative(),
    /** Time that each additional concurrent request adds to a step. */
    step_ms_a_request: z.number().nonnegative(),
    read_tokens_a_second: z.number().positive(),
    /** Time to load all layers, in milliseconds. */
    load_ms: z.number().nonnegative(),
    /** Size of the activations that a stage sends to the next one per token. */
    activation_bytes: z.number().nonnegative().optional(),
    /** Bandwidth shared by all traffic from one failure domain to another, in Mbit/s. */
    crossing_mbps: z.number().positive().optional(),
    usual_prompt_tokens: z.number().nonnegative(),
    usual_answer_tokens: z.number().nonnegative(),
    accelerators: z.array(acceleratorSchema),
});

/** A service: a group of upstreams that serve the same requests. */
export const routedServiceSchema = z.object({
    name: z.string(),
    engine: engineProfileSchema.optional(),
});

/** An organisation and its API keys. */
export const routedOrganisationSchema = z.object({
    name: z.string(),
    keys: z.array(z.string()),
    /** Overrides the priority of the route. */
    priority: z.int().optional(),
});

/** The routing table. */
export const routingTableSchema = z.object({
    version: z.int(),
    routes: z.array(routeSchema),
    services: z.array(routedServiceSchema),
    /** If absent, requests need no API key. */
    organisations: z.array(routedOrganisationSchema).optional(),
    limits: z.object({
        header_bytes: z.int().positive(),
        body_bytes: z.int().positive(),
        header_timeout_ms: z.number().positive(),
        idle_timeout_ms: z.number().positive(),
    }),
});

/** A route for requests to a host whose path starts with a prefix. */
export type Route = z.infer<typeof routeSchema>;
/** Capabilities of one kind of accelerator. */
export type Accelerator = z.infer<typeof acceleratorSchema>;
/** Parameters of a model that the engines of a service run as a pipeline. */
export type EngineProfile = z.infer<typeof engineProfileSchema>;
/** A group of upstreams that serve the same requests. */
export type RoutedService = z.infer<typeof routedServiceSchema>;
/** An organisation and its API keys. */
export type RoutedOrganisation = z.infer<typeof routedOrganisationSchema>;
/** The routing table. */
export type RoutingTable = z.infer<typeof routingTableSchema>;
