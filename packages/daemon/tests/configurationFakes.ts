import type { EntryRegistryOptions } from "../src/process/voter/entryRegistry.js";
import type { AdmissionBasis } from "../src/request/admitCall.js";

/** A leader that follows no document. */
export const noRollout: EntryRegistryOptions["rollout"] = {
    ageMs: undefined,
    getBehindMs: () => undefined,
    recordApplied: () => undefined,
};

/** A configuration that has just been confirmed. */
export const confirmedBasis: AdmissionBasis = { version: 1, ageMs: 0 };
