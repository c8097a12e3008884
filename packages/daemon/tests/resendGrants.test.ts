import { expect } from "chai";
import { ResendGrants } from "../src/process/voter/resendGrants.js";

describe("the leader grants one attempt of a request at a time", () => {
    const rows: readonly {
        readonly title: string;
        /** What happens after the first grant. */
        readonly apply: (grants: ResendGrants, advance: (ms: number) => void) => void;
        readonly isGranted: boolean;
    }[] = [
        { title: "while the first attempt runs", apply: () => undefined, isGranted: false },
        {
            title: "while one with the same segment runs",
            apply: (grants) => {
                grants.release(["f"]);
                grants.claim(["f", "segment:b"]);
            },
            isGranted: false,
        },
        {
            title: "while the first attempt runs, and another request's has ended",
            apply: (grants) => {
                grants.release(["other"]);
            },
            isGranted: false,
        },
        {
            title: "once its end is reported",
            apply: (grants) => {
                grants.release(["f"]);
            },
            isGranted: true,
        },
        {
            title: "once the first attempt has lasted a second",
            apply: (_grants, advance) => {
                advance(1_000);
            },
            isGranted: true,
        },
    ];
    for (const { title, apply, isGranted } of rows) {
        it(`${title}: ${isGranted ? "granted" : "not granted"}`, () => {
            let nowMs = 0;
            const grants = new ResendGrants(() => nowMs);
            expect([grants.claim(["f", "segment:a"]), grants.claim(["other"])]).to.deep.equal([true, true]);
            apply(grants, (ms) => {
                nowMs += ms;
            });
            expect(grants.claim(["f"])).to.equal(isGranted);
        });
    }
});
