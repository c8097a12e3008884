/**
 * Time that goes on while the machine is suspended, and the moment at which it woke.
 *
 * The runtime's monotonic clock stands still while a machine is suspended, so that a lease seems to hold that has long run
 * out. Sources that count the time asleep, as Node gives them:
 *
 * - the time of day: 40 ns a reading, to the millisecond; but it steps, forward and back;
 * - `os.uptime()`: the boot clock, but to a hundredth of a second, by reading a file each time, and on some machines of another
 *   clock than the processes'. The boot clock itself can't be read from inside Node.
 *
 * So the time of day tells that the machine may have been asleep, at each reading; whatever was believed before is void then,
 * which after a mere step costs one more round to the quorum. Only where the boot clock agrees is the time added to this clock,
 * since deadlines would run out at a step otherwise. A sleep that a step back hides to the millisecond can't be seen.
 */
import { uptime } from "node:os";

/** Where times come from, in milliseconds. */
export interface ClockSources {
    readonly getMonotonicMs: () => number;
    readonly getUnixMs: () => number;
    /** Since the machine's start, also while it was asleep. */
    readonly getBootMs: () => number;
}

/** The machine may have been asleep. */
export interface ResumeEvent {
    /** How far the time of day ran ahead. */
    readonly wallClockJumpMs: number;
    /** What the boot clock says, which is no sleep where it says none. */
    readonly suspendedMs: number;
    /** Whether both agree, so that the time was added. */
    readonly isConfirmed: boolean;
}

/** Below the margin of the leader's lease, 120 ms; above what the scheduler puts between two readings. */
const LEAST_SLEEP_MS = 50;
/** The time of day is slewed by this part of the time at most. */
const MOST_SLEW = 0.001;
/** Hundredths of a second at both ends of a span by the boot clock, and some for the reading. */
const BOOT_TOLERANCE_MS = 40;

const systemSources: ClockSources = {
    getMonotonicMs: () => performance.now(),
    getUnixMs: () => Date.now(),
    getBootMs: () => uptime() * 1_000,
};

/** A monotonic clock that notices time asleep. */
export class SuspendAwareClock {
    private asleepMs = 0;
    private wokeMs = Number.NEGATIVE_INFINITY;
    /** How far the other clocks were ahead of the monotonic one. */
    private unixAheadMs: number;
    private bootAheadMs: number;
    private checkedMs: number;

    /**
     * @param handleWaking - told of each waking
     * @param sources - the runtime's clocks where left out
     */
    constructor(
        private readonly handleWaking: (waking: ResumeEvent) => void,
        private readonly sources: ClockSources = systemSources,
    ) {
        this.checkedMs = sources.getMonotonicMs();
        this.unixAheadMs = sources.getUnixMs() - this.checkedMs;
        this.bootAheadMs = sources.getBootMs() - this.checkedMs;
    }

    /**
     * Reads the clock.
     * @returns milliseconds; never goes back
     */
    getNowMs(): number {
        this.check();
        return this.sources.getMonotonicMs() + this.asleepMs;
    }

    /**
     * Tells when the machine last woke. A time that was taken before says nothing of how long ago it was.
     * @returns milliseconds by this clock; minus infinity where it never slept
     */
    getLastResumeMs(): number {
        this.check();
        return this.wokeMs;
    }

    private check(): void {
        const nowMs = this.sources.getMonotonicMs();
        const aheadMs = this.sources.getUnixMs() - nowMs;
        const followedMs = this.unixAheadMs + (nowMs - this.checkedMs) * MOST_SLEW;
        this.checkedMs = nowMs;
        if (aheadMs - followedMs > LEAST_SLEEP_MS && this.isAheadAgain(followedMs)) {
            const jumpMs = aheadMs - this.unixAheadMs;
            // Before anybody is told: whoever is told reads this clock again, and ended two processes by telling without end.
            this.unixAheadMs = aheadMs;
            this.wake(jumpMs);
        }
        else {
            this.unixAheadMs = Math.min(aheadMs, followedMs);
        }
    }

    /** The process may have waited for the processor between the two readings. */
    private isAheadAgain(followedMs: number): boolean {
        const nowMs = this.sources.getMonotonicMs();
        return this.sources.getUnixMs() - nowMs - followedMs > LEAST_SLEEP_MS;
    }

    private wake(aheadMs: number): void {
        const bootAheadMs = this.sources.getBootMs() - this.sources.getMonotonicMs();
        const asleepMs = bootAheadMs - this.bootAheadMs;
        const isConfirmed = Math.abs(asleepMs - aheadMs) <= BOOT_TOLERANCE_MS;
        this.bootAheadMs = bootAheadMs;
        this.asleepMs += isConfirmed ? aheadMs : 0;
        this.wokeMs = this.sources.getMonotonicMs() + this.asleepMs;
        this.handleWaking({ wallClockJumpMs: aheadMs, suspendedMs: asleepMs, isConfirmed });
    }
}
