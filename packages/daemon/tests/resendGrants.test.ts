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
                grants.releaseCrashed(["f"]);
                grants.claim("f", ["segment:b"]);
            },
            isGranted: false,
        },
        {
            title: "while the first attempt runs, and another request's has ended",
            apply: (grants) => {
                grants.releaseCrashed(["other"]);
            },
            isGranted: false,
        },
        {
            title: "once its end is reported",
            apply: (grants) => {
                grants.releaseCrashed(["f"]);
            },
            isGranted: true,
        },
        {
            title: "once its completion is reported",
            apply: (grants) => {
                grants.releaseCompleted(["f"]);
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
            expect([grants.claim("f", ["segment:a"]), grants.claim("other", [])]).to.deep.equal([true, true]);
            apply(grants, (ms) => {
                nowMs += ms;
            });
            expect(grants.claim("f", [])).to.equal(isGranted);
        });
    }
});

describe("the leader grants one attempt with a segment at a time", () => {
    const rows: readonly {
        readonly title: string;
        /** What happens after the first grant. */
        readonly apply: (grants: ResendGrants) => void;
        readonly isGranted: boolean;
    }[] = [
        { title: "while the first attempt runs", apply: () => undefined, isGranted: false },
        {
            title: "while it runs, and earlier attempts of other requests with the segment are reported as crashed",
            apply: (grants) => {
                grants.releaseCrashed(["other", "earlier"]);
            },
            isGranted: false,
        },
        {
            title: "once the first attempt has crashed",
            apply: (grants) => {
                grants.releaseCrashed(["f"]);
            },
            isGranted: true,
        },
        {
            title: "once any attempt with the segment has completed",
            apply: (grants) => {
                grants.releaseCompleted(["segment:a"]);
            },
            isGranted: true,
        },
    ];
    for (const { title, apply, isGranted } of rows) {
        it(`${title}: ${isGranted ? "granted" : "not granted"}`, () => {
            const grants = new ResendGrants(() => 0);
            expect(grants.claim("f", ["segment:a"])).to.equal(true);
            apply(grants);
            expect(grants.claim("next", ["segment:a"])).to.equal(isGranted);
        });
    }
});
