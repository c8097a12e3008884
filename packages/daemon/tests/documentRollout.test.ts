import { expect } from "chai";
import { DocumentRollout } from "../src/process/voter/documentRollout.js";

const APPLY_MS = 2_000;

/** An event at a leader: it applies a version, an entry reports one, or time passes. */
type Step =
    | { readonly kind: "apply"; readonly version: number; }
    | { readonly kind: "report"; readonly instance: string; readonly version: number | undefined; }
    | { readonly kind: "pass"; readonly ms: number; };

const apply = (version: number): Step => ({ kind: "apply", version });
const report = (instance: string, version: number | undefined): Step => ({ kind: "report", instance, version });
const pass = (ms: number): Step => ({ kind: "pass", ms });

describe("a leader logs the rollout of each version once", () => {
    const rows: readonly {
        readonly title: string;
        readonly activeEntries: readonly string[];
        readonly steps: readonly Step[];
        readonly lines: readonly string[];
    }[] = [
        {
            title: "active at all entries",
            activeEntries: ["a", "b"],
            steps: [apply(3), pass(40), report("a", 3), pass(20), report("b", 3), pass(3_000)],
            lines: ["config-rolled-out version=3 ms=60 behind=0"],
        },
        {
            title: "overdue at one entry",
            activeEntries: ["a", "b"],
            steps: [apply(3), report("a", 3), report("b", 2), pass(2_100), report("b", 3)],
            lines: ["config-overdue version=3 ms=2100 behind=1 at=b:2"],
        },
        {
            title: "overdue at an entry that has reported no version",
            activeEntries: ["a"],
            steps: [apply(3), report("a", undefined), pass(2_100)],
            lines: ["config-overdue version=3 ms=2100 behind=1 at=a:none"],
        },
        {
            title: "superseded by a newer version",
            activeEntries: ["a"],
            steps: [apply(3), pass(100), apply(4), report("a", 4), pass(3_000)],
            lines: ["config-rolled-out version=4 ms=0 behind=0"],
        },
        {
            title: "overdue at an entry that has reported a version that was never committed",
            activeEntries: ["a"],
            steps: [apply(3), report("a", Number.MAX_SAFE_INTEGER), pass(2_100)],
            lines: ["config-overdue version=3 ms=2100 behind=1 at=a:none"],
        },
        { title: "no active entries", activeEntries: [], steps: [apply(3), pass(3_000)], lines: [] },
    ];
    for (const { title, activeEntries, steps, lines } of rows) {
        it(title, () => {
            let nowMs = 0;
            let version: number | undefined;
            const written: string[] = [];
            const rollout = new DocumentRollout({
                getVersion: () => version,
                getNowMs: () => nowMs,
                applyMs: APPLY_MS,
                listActiveEntries: () => activeEntries,
                log: {
                    record: (_level, event, { version: ofVersion, ms, behind = 0, at } = {}) => {
                        const where = at === undefined ? "" : ` at=${String(at)}`;
                        written.push(
                            `${event} version=${String(ofVersion)} ms=${String(ms)} behind=${String(behind)}${where}`,
                        );
                    },
                },
            });
            for (const step of steps) {
                switch (step.kind) {
                    case "apply":
                        ({ version } = step);
                        rollout.handleStateChange();
                        break;
                    case "report":
                        rollout.recordApplied(step.instance, step.version);
                        break;
                    case "pass":
                        nowMs += step.ms;
                        rollout.checkOverdue();
                }
            }
            expect(written).to.deep.equal(lines);
        });
    }
});
