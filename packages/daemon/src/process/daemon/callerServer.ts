/**
 * The HTTP API for callers: completions, services, health and readiness.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import polka from "polka";
import { ulid } from "ulid";
import { createCallerError } from "../../request/callerError.js";
import { CallerResponse, type ResponseLimits } from "../../request/callerResponse.js";
import type { CompletionShape } from "../../request/completionBody.js";
import { handleCompletion, type ModelRequestFunctions } from "../../request/modelRequest.js";
import { RequestScope, type RequestScopeFunctions } from "../../request/requestScope.js";
import { handleServiceCall, type ServiceRequestFunctions } from "../../request/serviceRequest.js";
import type { ConfigurationView } from "../../version/activeConfiguration.js";
import { BodyTooLargeError, readBody, sendJson } from "../httpServer.js";
import type { LifecycleState } from "../lifecycle.js";
import { startTask } from "../startTask.js";

/** Dependencies of the API. */
export interface CallerServerOptions {
    readonly instance: string;
    readonly bodyLimit: number;
    readonly answerLimits: ResponseLimits;
    readonly getState: () => LifecycleState;
    /** Whether new requests are accepted. They still are for a while after the shutdown began. */
    readonly acceptsRequests: () => boolean;
    /** Whether the load balancer should route callers to this instance. */
    readonly isReady: () => boolean;
    readonly getView: () => ConfigurationView;
    readonly scopeFunctions: RequestScopeFunctions;
    readonly createModelFunctions: () => ModelRequestFunctions;
    readonly createServiceFunctions: () => ServiceRequestFunctions;
}

/** The HTTP API for callers. */
export interface CallerServer {
    readonly handle: (request: IncomingMessage, response: ServerResponse) => void;
    /** Number of requests whose whole response the caller's connection has not taken yet. */
    readonly countOpenRequests: () => number;
}

const COMPLETION_PATHS: Readonly<Record<string, CompletionShape>> = {
    "/v1/chat/completions": "chat",
    "/v1/completions": "text",
};

const NOT_READY_RETRY_AFTER_MS = 1_000;

/**
 * Creates the API.
 * @param options - dependencies
 * @returns the request handler, and a count of open requests
 */
export function createCallerServer(options: CallerServerOptions): CallerServer {
    let open = 0;
    const serve = (run: ServeFunction) => (polkaRequest: IncomingMessage, response: ServerResponse): void => {
        const request = polkaRequest as CallerHttpRequest;
        open += 1;
        const closed = new Promise<void>((resolve) => {
            response.once("close", resolve);
        });
        const handle = (): Promise<void> =>
            handleRequest(options, request, response, run).then(() => closed).finally(() => {
                open -= 1;
            });
        startTask("request", handle, () => response.destroy());
    };
    const serveNotFound = serve((context) => {
        const values = { path: context.request.path };
        throw createCallerError("unknown-path", { step: "path", peer: "", values });
    });
    const app = polka({
        onNoMatch: (request, response) => {
            serveNotFound(request, response);
        },
    });
    app.get("/health", (_request, response) => {
        sendJson(response, 200, { instance: options.instance, state: options.getState() });
    });
    app.get("/ready", (_request, response) => {
        sendJson(response, options.isReady() ? 200 : 503, { instance: options.instance, state: options.getState() });
    });
    app.get("/v1/models", (_request, response) => {
        const data = options.getView().configuration.models.map((model) => ({
            id: model.name,
            object: "model",
            created: 0,
            owned_by: "crankfork",
        }));
        sendJson(response, 200, { object: "list", data });
    });
    for (const [path, shape] of Object.entries(COMPLETION_PATHS)) {
        app.post(path, serve((context) => serveCompletion(options, shape, context)));
    }
    app.all("/services/:name/*", serve((context) => serveService(options, context)));
    return {
        handle: (request, response) => {
            app.handler(request as polka.Request, response);
        },
        countOpenRequests: () => open,
    };
}

/** Properties that polka adds to a request, as far as they are used here. */
interface CallerHttpRequest extends IncomingMessage {
    readonly path: string;
    readonly params: Readonly<Record<string, string>>;
}

interface ServeContext {
    readonly request: CallerHttpRequest;
    readonly body: Buffer;
    readonly scope: RequestScope;
    readonly answer: CallerResponse;
}

type ServeFunction = (context: ServeContext) => Promise<void>;

async function handleRequest(
    options: CallerServerOptions,
    request: CallerHttpRequest,
    response: ServerResponse,
    run: ServeFunction,
): Promise<void> {
    const scope = new RequestScope(ulid().toLowerCase(), options.scopeFunctions);
    const answer = new CallerResponse(response, scope.requestId, options.answerLimits);
    try {
        assertAcceptsRequests(options);
        const body = await readCallerBody(request, options.bodyLimit);
        await run({ request, body, scope, answer });
    }
    catch (error) {
        scope.recordError(error);
        answer.sendError(error);
    }
}

function assertAcceptsRequests(options: CallerServerOptions): void {
    if (!options.acceptsRequests()) {
        const values = { state: options.getState() };
        throw createCallerError("not-ready", {
            step: "start",
            peer: options.instance,
            values,
            retryAfterMs: NOT_READY_RETRY_AFTER_MS,
        });
    }
}

async function readCallerBody(request: IncomingMessage, limit: number): Promise<Buffer> {
    try {
        return await readBody(request, limit);
    }
    catch (error) {
        if (error instanceof BodyTooLargeError) {
            throw createCallerError("body-too-large", { step: "body", peer: "caller", values: { limit } });
        }
        throw createCallerError("cancelled", { step: "body", peer: "caller", outcome: "not-run" });
    }
}

async function serveCompletion(
    options: CallerServerOptions,
    shape: CompletionShape,
    context: ServeContext,
): Promise<void> {
    const { request, body, scope, answer } = context;
    await handleCompletion(
        { shape, headers: request.headers, body, scope, response: answer },
        options.createModelFunctions(),
    );
}

async function serveService(options: CallerServerOptions, context: ServeContext): Promise<void> {
    const { request, body, scope, answer } = context;
    const serviceName = request.params.name ?? "";
    await handleServiceCall({
        serviceName,
        method: request.method ?? "GET",
        path: (request.url ?? "").slice(`/services/${serviceName}`.length),
        headers: request.headers,
        body,
        scope,
        response: answer,
    }, options.createServiceFunctions());
}
