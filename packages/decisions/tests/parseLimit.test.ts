import { expect } from "chai";
import { type LimitNotice, parseLimit } from "../src/connection/parseLimit.js";

const limit = (requestsPerSecond: number): LimitNotice => ({ kind: "limit", requestsPerSecond });
const unreadable = (text: string): LimitNotice => ({ kind: "unreadable", text });

describe("a limit is a plain decimal number; an invalid value is distinguished from an absent one", () => {
    const rows: readonly { readonly values: readonly string[]; readonly expected: LimitNotice; }[] = [
        { values: [], expected: { kind: "none" } },
        { values: ["2.1"], expected: limit(2.1) },
        { values: [" 40 "], expected: limit(40) },
        { values: [".5"], expected: limit(0.5) },
        { values: ["3."], expected: limit(3) },
        { values: ["0"], expected: limit(0) },
        { values: ["12", "2.1"], expected: limit(2.1) },
        { values: ["12, 2.1"], expected: limit(2.1) },
        { values: ["soon", "4"], expected: limit(4) },
        { values: [""], expected: unreadable("") },
        { values: ["-1"], expected: unreadable("-1") },
        { values: ["+1"], expected: unreadable("+1") },
        { values: ["two"], expected: unreadable("two") },
        { values: ["NaN"], expected: unreadable("NaN") },
        { values: ["Infinity"], expected: unreadable("Infinity") },
        { values: ["1e400"], expected: unreadable("1e400") },
        { values: ["9".repeat(400)], expected: unreadable("9".repeat(60)) },
        { values: ["Thu, 03 Dec 2026 07:00:00 GMT"], expected: unreadable("Thu,03 Dec 2026 07:00:00 GMT") },
    ];
    for (const { values, expected } of rows) {
        it(JSON.stringify(values).slice(0, 60), () => {
            expect(parseLimit(values)).to.deep.equal(expected);
        });
    }
});
