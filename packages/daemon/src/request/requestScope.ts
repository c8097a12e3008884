/**
 * Lifecycle of a request, from its headers to its end, for logs and metrics.
 */
import type { PriorityClass } from "@crankfork/schemas";
import { createMachine, interpret, state, transition } from "robot3";
import type { EventFields } from "../process/eventLog.js";
import { getErrorId, getErrorOutcome } from "./callerError.js";

/** States of a request. */
export type RequestState = "received" | "waiting" | "running" | "finished" | "refused" | "failed";
/** Events that change the state. */
export type RequestEvent = "admitted" | "started" | "answered" | "refused" | "broke";

const requestMachine = createMachine("received", {
    received: state(
        transition("admitted", "waiting"),
        transition("answered", "finished"),
        transition("refused", "refused"),
        transition("broke", "failed"),
    ),
    waiting: state(
        transition("started", "running"),
        transition("answered", "finished"),
        transition("refused", "refused"),
        transition("broke", "failed"),
    ),
    running: state(
        transition("answered", "finished"),
        transition("refused", "refused"),
        transition("broke", "failed"),
    ),
    finished: state(),
    refused: state(),
    failed: state(),
});

/** Receivers of log lines and metrics. */
export interface RequestScopeFunctions {
    readonly record: (event: string, fields: EventFields) => void;
    readonly count: (name: string, tags: Readonly<Record<string, string>>) => void;
    readonly recordMs: (name: string, durationMs: number, tags: Readonly<Record<string, string>>) => void;
}

/** Lifecycle of one request. */
export class RequestScope {
    private readonly service = interpret(requestMachine, () => undefined);
    private readonly startedMs = performance.now();
    private target = "";
    private organisation = "";
    private priority: PriorityClass | "" = "";

    /**
     * @param requestId - id of the request
     * @param functions - log and metrics
     */
    constructor(readonly requestId: string, private readonly functions: RequestScopeFunctions) {}

    /** Time since its headers were read, in milliseconds. */
    get ageMs(): number {
        return performance.now() - this.startedMs;
    }

    /** The state of the request. */
    get state(): RequestState {
        return this.service.machine.current as RequestState;
    }

    /**
     * Records that the request was parsed and validated; it now waits for admission.
     * @param target - the model or service
     * @param organisation - the organisation that sent it
     * @param priority - its priority class
     */
    recordAdmission(target: string, organisation: string, priority: PriorityClass): void {
        this.target = target;
        this.organisation = organisation;
        this.priority = priority;
        this.send("admitted");
        this.functions.record("request-received", { request: this.requestId, target, organisation, priority });
    }

    /** Records that the request has started to run. */
    recordStart(): void {
        this.send("started");
        this.functions.recordMs("request.wait", this.ageMs, this.createTags());
        this.functions.record("request-started", { request: this.requestId, wait_ms: Math.round(this.ageMs) });
    }

    /** Records the first token. */
    recordFirstToken(): void {
        this.functions.recordMs("request.first_token", this.ageMs, this.createTags());
        this.functions.record("request-first-token", { request: this.requestId, after_ms: Math.round(this.ageMs) });
    }

    /**
     * Records a complete response.
     * @param status - HTTP status
     * @param fields - additional log fields
     */
    recordAnswer(status: number, fields: EventFields = {}): void {
        this.send("answered");
        this.functions.recordMs("request.duration", this.ageMs, this.createTags());
        this.functions.count("request.finished", this.createTags());
        this.functions.record("request-finished", {
            request: this.requestId,
            status,
            duration_ms: Math.round(this.ageMs),
            ...fields,
        });
    }

    /**
     * Records an error.
     * @param error - any thrown value
     */
    recordError(error: unknown): void {
        const outcome = getErrorOutcome(error);
        const id = getErrorId(error);
        this.send(outcome === "not-run" ? "refused" : "broke");
        this.functions.count("request.failed", { ...this.createTags(), id, outcome });
        this.functions.record(outcome === "not-run" ? "request-refused" : "request-failed", {
            request: this.requestId,
            error: id,
            outcome,
            message: error instanceof Error ? error.message : String(error),
            duration_ms: Math.round(this.ageMs),
        });
    }

    private send(event: RequestEvent): void {
        this.service.send(event);
    }

    private createTags(): Readonly<Record<string, string>> {
        return { target: this.target, organisation: this.organisation, class: this.priority };
    }
}
