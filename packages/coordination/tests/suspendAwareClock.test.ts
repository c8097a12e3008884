import { expect } from "chai";
import { type ResumeEvent, SuspendAwareClock } from "../src/index.js";

/** What happens to the clocks between two readings, in milliseconds. */
interface Span {
    readonly monotonic: number;
    readonly unix: number;
    readonly boot: number;
}

const awake: Span = { monotonic: 1_000, unix: 1_000, boot: 1_000 };

describe("a steady clock notices time asleep by the time of day, and adds it where the boot clock agrees", () => {
    const rows: readonly {
        readonly title: string;
        readonly spans: readonly Span[];
        readonly wakings: readonly Partial<ResumeEvent>[];
        readonly nowMs: number;
    }[] = [
        { title: "time awake", spans: [awake, awake], wakings: [], nowMs: 2_000 },
        {
            title: "three seconds asleep",
            spans: [awake, { monotonic: 10, unix: 3_010, boot: 3_010 }, awake],
            wakings: [{ wallClockJumpMs: 3_000, isConfirmed: true }],
            nowMs: 5_010,
        },
        {
            title: "asleep twice",
            spans: [
                { monotonic: 10, unix: 510, boot: 510 },
                awake,
                { monotonic: 10, unix: 2_010, boot: 2_010 },
            ],
            wakings: [{ wallClockJumpMs: 500, isConfirmed: true }, { wallClockJumpMs: 2_000, isConfirmed: true }],
            nowMs: 3_520,
        },
        {
            title: "a step of the time of day forward: leases are void, no time is added",
            spans: [awake, { monotonic: 10, unix: 5_010, boot: 10 }],
            wakings: [{ wallClockJumpMs: 5_000, isConfirmed: false }],
            nowMs: 1_010,
        },
        {
            title: "a step back, and a later sleep",
            spans: [
                { monotonic: 10, unix: -4_990, boot: 10 },
                { monotonic: 10, unix: 810, boot: 810 },
            ],
            wakings: [{ wallClockJumpMs: 800, isConfirmed: true }],
            nowMs: 820,
        },
        {
            title: "a boot clock of another machine: leases are void, no time is added",
            spans: [awake, { monotonic: 10, unix: 3_010, boot: 900 }],
            wakings: [{ wallClockJumpMs: 3_000, isConfirmed: false }],
            nowMs: 1_010,
        },
        {
            title: "a time of day that is slewed",
            spans: Array.from({ length: 100 }, () => ({ monotonic: 1_000, unix: 1_000.5, boot: 1_000 })),
            wakings: [],
            nowMs: 100_000,
        },
        {
            title: "many short sleeps that add up",
            spans: Array.from({ length: 4 }, () => ({ monotonic: 5, unix: 25, boot: 25 })),
            wakings: [{ isConfirmed: true }],
            nowMs: 80,
        },
    ];
    for (const { title, spans, wakings, nowMs } of rows) {
        it(title, () => {
            const at = { monotonic: 0, unix: 1_700_000_000_000, boot: 50_000 };
            const seen: ResumeEvent[] = [];
            const clock: SuspendAwareClock = new SuspendAwareClock((waking) => {
                seen.push(waking);
                // A log that counts its lines by this clock reads it while it is told.
                clock.getNowMs();
            }, {
                getMonotonicMs: () => at.monotonic,
                getUnixMs: () => at.unix,
                getUptimeMs: () => at.boot,
            });
            let lastMs = clock.getNowMs();
            spans.forEach((span) => {
                at.monotonic += span.monotonic;
                at.unix += span.unix;
                at.boot += span.boot;
                const read = clock.getNowMs();
                expect(read).to.be.at.least(lastMs);
                lastMs = read;
            });
            expect(seen).to.have.length(wakings.length);
            seen.forEach((waking, number) => {
                expect(waking).to.deep.include(wakings[number]);
            });
            expect(Math.abs(clock.getNowMs() - nowMs)).to.be.below(25);
            expect(clock.getLastResumeMs()).to.satisfy((wokeMs: number) => wakings.length > 0 || wokeMs < 0);
        });
    }
});
