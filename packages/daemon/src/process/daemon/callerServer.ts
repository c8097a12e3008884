/**
 * The callers' port.
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

/** What the port needs from the process. */
export interface CallerServerOptions {
    readonly instance: string;
    readonly bodyLimit: number;
    readonly answerLimits: ResponseLimits;
    readonly getState: () => LifecycleState;
    /** Whether new requests are taken, also for a while after the stop was asked for. */
    readonly takesRequests: () => boolean;
    /** Whether the balancer should send callers here. */
    readonly isReady: () => boolean;
    readonly getView: () => ConfigurationView;
    readonly scopeFunctions: RequestScopeFunctions;
    readonly createModelFunctions: () => ModelRequestFunctions;
    readonly createServiceFunctions: () => ServiceRequestFunctions;
}

/** The callers' port. */
export interface CallerServer {
    readonly handle: (request: IncomingMessage, response: ServerResponse) => void;
    /** Requests that are not answered yet. */
    readonly countOpen: () => number;
}

const COMPLETION_PATHS: Readonly<Record<string, CompletionShape>> = {
    "/v1/chat/completions": "chat",
    "/v1/completions": "text",
};

const STARTING_RETRY_MS = 1_000;

/**
 * Creates the port.
 * @param options - what it needs
 * @returns the handler, and a count of what is open
 */
export function createCallerServer(options: CallerServerOptions): CallerServer {
    let open = 0;
    const serve = (run: ServeFunction) => (polkaRequest: IncomingMessage, response: ServerResponse): void => {
        const request = polkaRequest as CallerHttpRequest;
        open += 1;
        void runRequest(options, request, response, run).finally(() => {
            open -= 1;
        });
    };
    const serveNothing = serve((context) => {
        const values = { path: context.request.path };
        throw createCallerError("unknown-path", { step: "path", peer: "", values });
    });
    const app = polka({
        onNoMatch: (request, response) => {
            serveNothing(request, response);
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
        countOpen: () => open,
    };
}

/** The parts of a request that polka adds and this port uses. */
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

async function runRequest(
    options: CallerServerOptions,
    request: CallerHttpRequest,
    response: ServerResponse,
    run: ServeFunction,
): Promise<void> {
    const scope = new RequestScope(ulid().toLowerCase(), options.scopeFunctions);
    const answer = new CallerResponse(response, scope.requestId, options.answerLimits);
    try {
        assertServing(options);
        const body = await readCallerBody(request, options.bodyLimit);
        await run({ request, body, scope, answer });
    }
    catch (error) {
        scope.recordError(error);
        if (!request.complete && !response.headersSent) {
            // What is left of the body would be taken for the next request.
            response.setHeader("connection", "close");
        }
        answer.sendError(error);
    }
}

function assertServing(options: CallerServerOptions): void {
    if (!options.takesRequests()) {
        const values = { state: options.getState() };
        throw createCallerError("not-ready", {
            step: "start",
            peer: options.instance,
            values,
            retryAfterMs: STARTING_RETRY_MS,
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
