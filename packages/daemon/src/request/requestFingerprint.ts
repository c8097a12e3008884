/**
 * Computes a fingerprint that identifies all attempts of the same request by sender, target and content.
 *
 * Hashing a large body takes milliseconds, so it is done only for requests of which an attempt broke off or went
 * unanswered, for requests that share organisation, host and target with a recorded request, and for short ones that
 * completed. The body is a single buffer by then.
 */
import { createHash } from "node:crypto";
import type { AdmittedCall } from "./requestContext.js";

/** Length of a fingerprint: 128 bits, so that finding two bodies with the same fingerprint is infeasible. */
const FINGERPRINT_HEX_DIGITS = 32;
/** Separates the hashed parts; none of them contains it. */
const PART_SEPARATOR = "\0";

/**
 * Computes the fingerprint of a request. The caller's request id, key, deadline and stream position differ between
 * attempts and are left out; the organisation is included. Without organisations, all callers of a route are treated as
 * one.
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

/** The fingerprint of a quarantined request is needed three times. */
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

/** The parts of a request that a fingerprint is computed from. */
export type FingerprintInput = Pick<AdmittedCall, "call" | "organisation" | "body">;
