import { expect } from "chai";
import { type ResumeEvent, SuspendAwareClock } from "../src/index.js";

/** How far each clock advances between two readings, in milliseconds. */
interface Interval {
    readonly monotonic: number;
    readonly unix: number;
    readonly boot: number;
}

const running: Interval = { monotonic: 1_000, unix: 1_000, boot: 1_000 };

describe("the clock detects suspension by a jump of the wall clock, and adds it if the boot clock confirms it", () => {
    const rows: readonly {
        readonly title: string;
        readonly intervals: readonly Interval[];
        readonly resumeEvents: readonly Partial<ResumeEvent>[];
        readonly nowMs: number;
    }[] = [
        { title: "no suspension", intervals: [running, running], resumeEvents: [], nowMs: 2_000 },
        {
            title: "suspended for 3 s",
            intervals: [running, { monotonic: 10, unix: 3_010, boot: 3_010 }, running],
            resumeEvents: [{ wallClockJumpMs: 3_000, isConfirmed: true }],
            nowMs: 5_010,
        },
        {
            title: "suspended twice",
            intervals: [
                { monotonic: 10, unix: 510, boot: 510 },
                running,
                { monotonic: 10, unix: 2_010, boot: 2_010 },
            ],
            resumeEvents: [{ wallClockJumpMs: 500, isConfirmed: true }, { wallClockJumpMs: 2_000, isConfirmed: true }],
            nowMs: 3_520,
        },
        {
            title: "a forward step of the wall clock: leases are invalidated, no time is added",
            intervals: [running, { monotonic: 10, unix: 5_010, boot: 10 }],
            resumeEvents: [{ wallClockJumpMs: 5_000, isConfirmed: false }],
            nowMs: 1_010,
        },
        {
            title: "a backward step of the wall clock, then a suspension",
            intervals: [
                { monotonic: 10, unix: -4_990, boot: 10 },
                { monotonic: 10, unix: 810, boot: 810 },
            ],
            resumeEvents: [{ wallClockJumpMs: 800, isConfirmed: true }],
            nowMs: 820,
        },
        {
            title: "a boot clock that differs: leases are invalidated, no time is added",
            intervals: [running, { monotonic: 10, unix: 3_010, boot: 900 }],
            resumeEvents: [{ wallClockJumpMs: 3_000, isConfirmed: false }],
            nowMs: 1_010,
        },
        {
            title: "a wall clock that is slewed",
            intervals: Array.from({ length: 100 }, () => ({ monotonic: 1_000, unix: 1_000.5, boot: 1_000 })),
            resumeEvents: [],
            nowMs: 100_000,
        },
        {
            title: "several short suspensions that add up",
            intervals: Array.from({ length: 4 }, () => ({ monotonic: 5, unix: 25, boot: 25 })),
            resumeEvents: [{ isConfirmed: true }],
            nowMs: 80,
        },
    ];
    for (const { title, intervals, resumeEvents, nowMs } of rows) {
        it(title, () => {
            const at = { monotonic: 0, unix: 1_700_000_000_000, boot: 50_000 };
            const received: ResumeEvent[] = [];
            const clock: SuspendAwareClock = new SuspendAwareClock((event) => {
                received.push(event);
                // A callback may read the clock again, as a log does that stamps its lines with it.
                clock.getNowMs();
            }, {
                getMonotonicMs: () => at.monotonic,
                getUnixMs: () => at.unix,
                getUptimeMs: () => at.boot,
            });
            let lastMs = clock.getNowMs();
            intervals.forEach((interval) => {
                at.monotonic += interval.monotonic;
                at.unix += interval.unix;
                at.boot += interval.boot;
                const nextMs = clock.getNowMs();
                expect(nextMs).to.be.at.least(lastMs);
                lastMs = nextMs;
            });
            expect(received).to.have.length(resumeEvents.length);
            received.forEach((event, number) => {
                expect(event).to.deep.include(resumeEvents[number]);
            });
            expect(Math.abs(clock.getNowMs() - nowMs)).to.be.below(25);
            expect(clock.getLastResumeMs()).to.satisfy((resumeMs: number) => resumeEvents.length > 0 || resumeMs < 0);
        });
    }
});
