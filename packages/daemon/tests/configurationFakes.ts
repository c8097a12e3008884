import type { EntryRegistryOptions } from "../src/process/voter/entryRegistry.js";
import type { AdmissionBasis } from "../src/request/admitCall.js";

/** A leader without a document. */
export const noRollout: EntryRegistryOptions["rollout"] = {
    ageMs: undefined,
    getBehindMs: () => undefined,
    recordApplied: () => undefined,
};

/** A configuration confirmed just now. */
export const confirmedBasis: AdmissionBasis = { version: 1, ageMs: 0 };
