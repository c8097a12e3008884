/**
 * Parses the headers common to all caller requests and checks them against the configuration.
 */
import type { Organisation, PriorityClass } from "@crankfork/schemas";
import { priorityClassSchema } from "@crankfork/schemas";
import type { IncomingHttpHeaders } from "node:http";
import { decodeHeaderText } from "../connection/headerText.js";
import { computeSecretDigest, isEqualSecret } from "../process/httpServer.js";
import type { ConfigurationView } from "../version/activeConfiguration.js";
import { createCallerError } from "./callerError.js";

/** The settings of a model or service that headers are checked against. */
export interface ServedResource {
    readonly name: string;
    readonly repeatable: boolean;
    readonly classes: readonly PriorityClass[];
}

/** Parsed headers. */
export interface CallerHeaders {
    readonly organisation: Organisation;
    readonly priority: PriorityClass;
    /** Time until the caller's deadline, in milliseconds; Infinity without a deadline. */
    readonly deadlineMs: number;
    readonly isRepeatable: boolean;
    /** Idempotency key; present for every request that may run only once. */
    readonly key: string | undefined;
}

const STEP = "headers";
const MAX_KEY_LENGTH = 256;

/**
 * Identifies and authenticates the organisation that sends a request.
 * @param headers - the request's headers
 * @param view - the active configuration
 * @returns the organisation
 * @throws a caller error if it is unknown or its secret is wrong
 */
export function authenticate(headers: IncomingHttpHeaders, view: ConfigurationView): Organisation {
    const name = getHeader(headers, "x-organisation") ?? getHeader(headers, "openai-organization");
    if (name === undefined) {
        throw createCallerError("missing-organisation", { step: STEP, peer: "" });
    }
    const organisation = view.organisations.get(name);
    if (organisation === undefined) {
        throw createCallerError("unknown-organisation", { step: STEP, peer: "", values: { organisation: name } });
    }
    const secret = decodeHeaderText((getHeader(headers, "authorization") ?? "").replace(/^Bearer /i, ""));
    if (!isEqualSecret(computeSecretDigest(secret), organisation.secret_sha256)) {
        throw createCallerError("wrong-secret", { step: STEP, peer: "", values: { organisation: name } });
    }
    return organisation;
}

/**
 * Parses the headers of a request to a model or service.
 * @param headers - the request's headers
 * @param organisation - the organisation that sends it
 * @param served - the requested model or service
 * @returns priority class, deadline, repeatability and idempotency key
 * @throws a caller error if a header contradicts the configuration
 */
export function parseCallerHeaders(
    headers: IncomingHttpHeaders,
    organisation: Organisation,
    served: ServedResource,
): CallerHeaders {
    const isRepeatable = parseRepeatable(getHeader(headers, "x-repeatable"), served);
    const key = getHeader(headers, "idempotency-key");
    if (!isRepeatable && (key === undefined || key === "")) {
        throw createCallerError("missing-key", { step: STEP, peer: "", values: { name: served.name } });
    }
    if (key !== undefined && key.length > MAX_KEY_LENGTH) {
        throw createContradictionError("idempotency-key", `${String(key.length)} characters`, "256 are the most");
    }
    return {
        organisation,
        priority: parsePriority(getHeader(headers, "x-priority"), served),
        deadlineMs: parseDeadline(getHeader(headers, "x-deadline-ms")),
        isRepeatable,
        key,
    };
}

/** A caller may declare a repeatable request non-repeatable, but not the other way round. */
function parseRepeatable(text: string | undefined, served: ServedResource): boolean {
    if (text === undefined) {
        return served.repeatable;
    }
    if (text !== "true" && text !== "false") {
        throw createContradictionError("x-repeatable", text, "only true or false are known");
    }
    if (text === "true" && !served.repeatable) {
        throw createContradictionError("x-repeatable", text, `${served.name} is configured as not repeatable`);
    }
    return text === "true";
}

function parsePriority(text: string | undefined, served: ServedResource): PriorityClass {
    if (text === undefined) {
        return served.classes.includes("interactive") ? "interactive" : served.classes[0] ?? "interactive";
    }
    const parsed = priorityClassSchema.safeParse(text);
    if (!parsed.success || !served.classes.includes(parsed.data)) {
        throw createContradictionError("x-priority", text, `${served.name} serves ${served.classes.join(", ")}`);
    }
    return parsed.data;
}

function parseDeadline(text: string | undefined): number {
    if (text === undefined) {
        return Number.POSITIVE_INFINITY;
    }
    const deadlineMs = Number(text);
    if (!Number.isFinite(deadlineMs) || deadlineMs <= 0) {
        throw createContradictionError("x-deadline-ms", text, "milliseconds above 0 are expected");
    }
    return deadlineMs;
}

function createContradictionError(header: string, found: string, expected: string): Error {
    return createCallerError("contradicting-header", { step: STEP, peer: "", values: { header, found, expected } });
}

function getHeader(headers: IncomingHttpHeaders, name: string): string | undefined {
    const value = headers[name];
    return Array.isArray(value) ? value[0] : value;
}
