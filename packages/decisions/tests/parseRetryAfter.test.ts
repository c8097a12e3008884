import { expect } from "chai";
import { parseRetryAfter, type RetryAfterNotice } from "../src/connection/parseRetryAfter.js";

const createNotice = (backoffMs: number): RetryAfterNotice => ({ kind: "rest", backoffMs });
const none: RetryAfterNotice = { kind: "none" };

describe("a valid Retry-After value is not capped, and an invalid one is ignored", () => {
    const rows: readonly { readonly values: readonly string[]; readonly expected: RetryAfterNotice; }[] = [
        { values: [], expected: none },
        { values: ["3"], expected: createNotice(3_000) },
        { values: [" 3 "], expected: createNotice(3_000) },
        { values: ["0.25"], expected: createNotice(250) },
        { values: [".5"], expected: createNotice(500) },
        { values: ["0"], expected: none },
        { values: ["0.0"], expected: none },
        { values: ["3600"], expected: createNotice(3_600_000) },
        { values: ["1000000000"], expected: createNotice(1e12) },
        { values: ["1e9"], expected: createNotice(1e12) },
        { values: ["9".repeat(400)], expected: createNotice(Number.POSITIVE_INFINITY) },
        { values: ["1", "3"], expected: createNotice(3_000) },
        { values: ["soon", "3"], expected: createNotice(3_000) },
        { values: ["-1"], expected: { kind: "unreadable", text: "-1" } },
        { values: ["soon"], expected: { kind: "unreadable", text: "soon" } },
        { values: ["NaN"], expected: { kind: "unreadable", text: "NaN" } },
        { values: ["Infinity"], expected: { kind: "unreadable", text: "Infinity" } },
        { values: [""], expected: { kind: "unreadable", text: "" } },
        { values: ["3 seconds"], expected: { kind: "unreadable", text: "3 seconds" } },
        {
            values: ["Wed, 21 Oct 2026 07:28:00 GMT"],
            expected: { kind: "unreadable", text: "Wed, 21 Oct 2026 07:28:00 GMT" },
        },
        { values: ["x".repeat(500)], expected: { kind: "unreadable", text: "x".repeat(60) } },
    ];
    for (const { values, expected } of rows) {
        it(`${values.join(" and ").slice(0, 40) || "nothing"}: ${expected.kind}`, () => {
            expect(parseRetryAfter(values)).to.deep.equal(expected);
        });
    }
});
