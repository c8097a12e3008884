/**
 * Settings of the JavaScript engine.
 */
import { setFlagsFromString } from "node:v8";

/**
 * Stops V8 from optimising WebAssembly, which only the HTTP parser of undici uses. That parser is one large function, whose
 * optimisation would take each process as long as its start, and does not make it faster. Must be called before the first request
 * is sent.
 */
export function stopWasmOptimisation(): void {
    setFlagsFromString("--no-wasm-tier-up");
    setFlagsFromString("--no-wasm-dynamic-tiering");
}
