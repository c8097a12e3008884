/**
 * Names a request alike for all of its attempts: who sends it, where to, and what.
 *
 * A large body takes milliseconds, so it is computed only for requests of which a try broke, for those that share organisation, host and target with a request on record, and for short
 * ones that ran to an end. Bodies that come in pieces are one buffer by then.
 */
import { createHash } from "node:crypto";
import type { AdmittedCall } from "./requestContext.js";

/** Digits of a fingerprint: 128 bits, so that nobody finds two bodies that share one. */
const FINGERPRINT_HEX_DIGITS = 32;
/** Parts can't run into each other: none of them holds this. */
const PART_SEPARATOR = "\0";

/**
 * Computes the fingerprint of a request. A caller's id, key, deadline and position in a stream change from one attempt to the
 * next and are left out; its organisation stays. Without organisations all callers of a route are alike.
 * @param admitted - the request
 * @returns hexadecimal digits
 */
export function computeFingerprint(admitted: FingerprintInput): string {
    const cached = fingerprintCache.get(admitted);
    if (cached !== undefined) {
        return cached;
    }
    const fingerprint = hashParts(admitted);
    fingerprintCache.set(admitted, fingerprint);
    return fingerprint;
}

/** A request that is held is asked for its name three times. */
const fingerprintCache = new WeakMap<FingerprintInput, string>();

function hashParts({ call, organisation, body }: FingerprintInput): string {
    const hash = createHash("sha256");
    [organisation?.name ?? "", call.method, call.host, call.target].forEach((part) => {
        hash.update(part).update(PART_SEPARATOR);
    });
    if (body !== undefined) {
        hash.update(body);
    }
    return hash.digest("hex").slice(0, FINGERPRINT_HEX_DIGITS);
}

/** What a fingerprint is computed from. */
export type FingerprintInput = Pick<AdmittedCall, "call" | "organisation" | "body">;
