/**
 * Converts an upstream to the form that path selection uses.
 */
import type { HoldingEngine } from "@crankfork/decisions";
import type { RegisteredUpstream } from "@crankfork/schemas";

/**
 * Creates the input of path selection for an upstream.
 * @param upstream - the upstream
 * @returns the engine, or an empty list if it holds no layers
 */
export function createHoldingEngine(upstream: RegisteredUpstream): readonly HoldingEngine[] {
    const { id, address, failure_domain, accelerator = "", held, slowness = 1 } = upstream;
    return held === undefined
        ? []
        : [{ id, address, failureDomain: failure_domain, accelerator, span: held, slowness }];
}
