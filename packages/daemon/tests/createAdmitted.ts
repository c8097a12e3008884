import type { AdmittedCall } from "../src/request/requestContext.js";
import { confirmedBasis } from "./configurationFakes.js";

/** What tells requests apart; those of one default otherwise. */
export interface RequestParts {
    readonly organisation?: string;
    readonly method?: string;
    readonly target?: string;
    readonly body?: string;
    readonly requestId?: string;
}

/** Creates an admitted call without a deadline of its caller. */
export function createAdmitted({ organisation, method, target, body, requestId }: RequestParts = {}): AdmittedCall {
    return {
        call: {
            requestId: requestId ?? "one",
            method: method ?? "POST",
            host: "h",
            target: target ?? "/t",
            path: target ?? "/t",
            key: "k",
            deadlineMs: undefined,
            size: undefined,
            lastEventId: undefined,
            rawHeaders: [],
        },
        route: {
            name: "r",
            host: "h",
            prefix: "/",
            kind: "call",
            is_repeatable: true,
            timeout_ms: 1_000,
            objective_ms: 100,
            priority: 1,
            most_attempts: 2,
            is_anonymous: false,
            targets: [{ service: "s", weight: 1 }],
        },
        service: { name: "s" },
        organisation: { name: organisation ?? "one", keys: ["k"] },
        body: Buffer.from(body ?? "crashing"),
        basis: confirmedBasis,
        arrivedMs: 0,
    };
}
