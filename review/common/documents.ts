/**
 * Configurations of the cases, written like the example in PROTOCOL.md.
 */

/** The key that all clients of a case carry. */
export const KEY = "n2ctnfzs989anu6wsjnb";
/** The host of all routes. */
export const HOST = "ficu95.example";

/** A route of a case. */
export interface RouteOptions {
    readonly name: string;
    readonly prefix: string;
    readonly kind: "safe" | "unsafe" | "streaming";
    readonly service: string;
    readonly timeoutMs: number;
    readonly aimMs: number;
    readonly attempts: number;
}

/** Creates a route. Streams can't be resumed, so that they count as unsafe. */
export function createRoute({ name, prefix, kind, service, timeoutMs, aimMs, attempts }: RouteOptions): object {
    return {
        name,
        host: HOST,
        path_prefix: prefix,
        route_kind: kind,
        timeout_ms: timeoutMs,
        target_latency_ms: aimMs,
        priority: 1,
        service,
        max_attempts: attempts,
        anonymous: false,
        ...(kind === "streaming" ? { session_affinity: true, stream_resumption: false, gap_aim_ms: 200 } : {}),
    };
}

/** Creates a model service whose workers have cards of one kind. */
export function createModelService(
    name: string,
    model: string,
    { kind, mb, layers, layerMb }: {
        readonly kind: string;
        readonly mb: number;
        readonly layers: number;
        readonly layerMb: number;
    },
): object {
    return {
        name,
        health_check_path: "/health",
        max_connections: 100,
        protocol: "h1",
        tls: false,
        engine: {
            slots: 8,
            kv_capacity_tokens: 20_000,
            kv_token_bytes: 100_000,
            link_mbps: 480_000,
            stride: 2,
            models: [{ name: model, pace: 1, load_s: 0.5, warm_s: 0.1 }],
            step_ms: 0.85,
            per_seq_ms: 0.004,
            context_per_k: 0.005,
            read_per_s: 252_000,
            pairs_per_m: 0.129,
            chunk: 512,
            report_lag_ms: 200,
            loads_per_s: 0,
            loads_at_once: 6,
            delays: [],
            usual: { prompt: 700, answer: 150 },
            layers,
            layer_mb: layerMb,
            act_bytes: 32_811,
            pipe_mbps: 7_900,
            kinds: [{ name: kind, mb, pace: 1, read_x: 1 }],
        },
    };
}

/** Creates a plain service. */
export function createPlainService(name: string): object {
    return { name, health_check_path: "/health", max_connections: 100, protocol: "h1", tls: false };
}

/** Creates a configuration with one tenant. */
export function createDocument(
    version: number,
    routes: readonly object[],
    services: readonly object[],
): { readonly version: number; } {
    const document = {
        version,
        routes,
        services,
        limits: {
            max_header_bytes: 16_384,
            max_body_bytes: 4_194_304,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
        tenants: [{ name: "hule930", api_keys: [KEY], priority: 1 }],
    };
    return document;
}
