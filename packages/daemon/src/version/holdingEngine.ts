/**
 * An upstream as the choice of paths sees it.
 */
import type { HoldingEngine } from "@crankfork/decisions";
import type { RegisteredUpstream } from "@crankfork/schemas";

/**
 * Creates what the choice of paths needs of an upstream.
 * @param upstream - the upstream
 * @returns the engine, or nothing where it holds no layers
 */
export function createHoldingEngine(upstream: RegisteredUpstream): readonly HoldingEngine[] {
    const { id, address, failure_domain, accelerator = "", held, slowness = 1 } = upstream;
    return held === undefined
        ? []
        : [{ id, address, failureDomain: failure_domain, accelerator, span: held, slowness }];
}
