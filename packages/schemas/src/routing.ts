/**
 * The routing table: which requests go to which service, under which limits. An operator confirms it whole.
 */
import * as z from "zod";

/** A target of a route, and its share of the traffic. */
export const routeTargetSchema = z.object({ service: z.string(), weight: z.number().nonnegative() });

/** One route: requests for a host whose path begins with a prefix. */
export const routeSchema = z.object({
    name: z.string(),
    host: z.string(),
    /** Begins and ends with a slash. */
    prefix: z.string(),
    /** `call`: one whole answer. `stream`: events as they come. */
    kind: z.enum(["call", "stream"]),
    /** Whether a request may run more than once; a stream may where it can be resumed. */
    is_repeatable: z.boolean(),
    /** Longest time that a request may be held. */
    timeout_ms: z.number().positive(),
    /** Time to the answer, or to the first event, that the contract asks for. */
    objective_ms: z.number().positive(),
    /** Longest pause between two events that the contract allows. */
    pause_objective_ms: z.number().positive().optional(),
    /** 0 is the most urgent. */
    priority: z.int(),
    /** Most upstreams that one request may run on. */
    most_attempts: z.int().positive(),
    is_anonymous: z.boolean(),
    targets: z.array(routeTargetSchema),
});

/** What one kind of accelerator can do. */
export const acceleratorSchema = z.object({
    name: z.string(),
    memory_mb: z.number().positive(),
    /** Time of a token step relative to the engine's figure; higher is slower. */
    step_factor: z.number().positive(),
    /** Time of reading a prompt relative to the engine's figure; higher is slower. */
    read_factor: z.number().positive(),
});

/** How engines of a service run a model together. */
export const engineProfileSchema = z.object({
    layers: z.int().positive(),
    layer_mb: z.number().positive(),
    /** Bytes that one token of context takes over all layers. */
    token_bytes: z.number().nonnegative(),
    /** Tokens of context that one engine is meant to hold. */
    capacity_tokens: z.number().positive(),
    /** Requests that run at once at the first engine of a path. */
    slots: z.int().positive(),
    step_ms: z.number().nonnegative(),
    /** Time that each further request adds to a step. */
    step_ms_a_request: z.number().nonnegative(),
    read_tokens_a_second: z.number().positive(),
    /** Time to load all layers. */
    load_ms: z.number().nonnegative(),
    /** Bytes that a stage hands on to the next for each token. */
    activation_bytes: z.number().nonnegative().optional(),
    /** What all that crosses from one failure domain to another shares, in megabits a second. */
    crossing_mbps: z.number().positive().optional(),
    usual_prompt_tokens: z.number().nonnegative(),
    usual_answer_tokens: z.number().nonnegative(),
    accelerators: z.array(acceleratorSchema),
});

/** A service: upstreams that answer the same requests. */
export const routedServiceSchema = z.object({
    name: z.string(),
    engine: engineProfileSchema.optional(),
});

/** An organisation and the keys that its requests carry. */
export const routedOrganisationSchema = z.object({
    name: z.string(),
    keys: z.array(z.string()),
    /** Overrules the route's priority. */
    priority: z.int().optional(),
});

/** The whole table. */
export const routingTableSchema = z.object({
    version: z.int(),
    routes: z.array(routeSchema),
    services: z.array(routedServiceSchema),
    /** Without organisations no key is asked for. */
    organisations: z.array(routedOrganisationSchema).optional(),
    limits: z.object({
        header_bytes: z.int().positive(),
        body_bytes: z.int().positive(),
        header_timeout_ms: z.number().positive(),
        idle_timeout_ms: z.number().positive(),
    }),
});

/** One route. */
export type Route = z.infer<typeof routeSchema>;
/** What one kind of accelerator can do. */
export type Accelerator = z.infer<typeof acceleratorSchema>;
/** How engines of a service run a model together. */
export type EngineProfile = z.infer<typeof engineProfileSchema>;
/** A service. */
export type RoutedService = z.infer<typeof routedServiceSchema>;
/** An organisation. */
export type RoutedOrganisation = z.infer<typeof routedOrganisationSchema>;
/** The whole table. */
export type RoutingTable = z.infer<typeof routingTableSchema>;
