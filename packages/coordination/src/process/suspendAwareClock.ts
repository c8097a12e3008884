/**
 * A monotonic clock that accounts for the time in which the machine was suspended, and detects when it resumed.
 *
 * The runtime's monotonic clock stops while the machine is suspended, so an expired lease would appear to be valid. Two
 * sources available in Node include the suspended time:
 *
 * - the wall clock: 40 ns per reading and a resolution of 1 ms, but it may step forward and backward;
 * - `os.uptime()`: the boot clock, but with a resolution of 10 ms, at the cost of reading a file each time, and on some
 *   machines from another clock than the one the processes see. Node cannot read the boot clock directly.
 *
 * Each reading therefore checks the wall clock: a jump means that the machine may have been suspended, and invalidates
 * leases and other assumptions from before. After a mere clock step this costs one more round to the quorum. The jump
 * is added to this clock only if the boot clock confirms it, since a clock step would otherwise expire deadlines. A
 * suspension that is cancelled out by a backward step of the wall clock is not detected.
 */
import { uptime } from "node:os";

/** Clock sources, in milliseconds. */
export interface ClockSources {
    readonly getMonotonicMs: () => number;
    readonly getUnixMs: () => number;
    /** Time since the machine booted, including time suspended. */
    readonly getUptimeMs: () => number;
}

/** The wall clock jumped, so the machine may have been suspended. */
export interface ResumeEvent {
    /** How far the wall clock jumped ahead of the monotonic clock. */
    readonly wallClockJumpMs: number;
    /** Suspended time according to the boot clock; about 0 after a mere clock step. */
    readonly suspendedMs: number;
    /** Whether the boot clock confirms the jump, so that it was added to this clock. */
    readonly isConfirmed: boolean;
}

/** Smallest jump taken for a suspension: below the margin of the leader lease (120 ms), above scheduling delays. */
const MIN_SUSPEND_MS = 50;
/** Maximum rate at which the wall clock is slewed. */
const MAX_SLEW_RATE = 0.001;
/** Allows for the 10 ms resolution of the boot clock at both ends of an interval, and for the time to read it. */
const BOOT_CLOCK_TOLERANCE_MS = 40;

const systemSources: ClockSources = {
    getMonotonicMs: () => performance.now(),
    getUnixMs: () => Date.now(),
    getUptimeMs: () => uptime() * 1_000,
};

/** A monotonic clock that accounts for suspended time. */
export class SuspendAwareClock {
    private totalSuspendedMs = 0;
    private lastResumeMs = Number.NEGATIVE_INFINITY;
    /** Offsets of the other clocks from the monotonic one, as of the last check or jump. */
    private unixOffsetMs: number;
    private bootOffsetMs: number;
    private lastCheckMs: number;

    /**
     * @param handleResume - called after each jump of the wall clock
     * @param sources - default to the runtime's clocks
     */
    constructor(
        private readonly handleResume: (event: ResumeEvent) => void,
        private readonly sources: ClockSources = systemSources,
    ) {
        this.lastCheckMs = sources.getMonotonicMs();
        this.unixOffsetMs = sources.getUnixMs() - this.lastCheckMs;
        this.bootOffsetMs = sources.getUptimeMs() - this.lastCheckMs;
    }

    /**
     * Reads the clock.
     * @returns milliseconds; never goes back
     */
    getNowMs(): number {
        this.check();
        return this.sources.getMonotonicMs() + this.totalSuspendedMs;
    }

    /**
     * Gets when the machine last resumed. Durations measured from an earlier time are not reliable.
     * @returns milliseconds by this clock; minus infinity if it was never suspended
     */
    getLastResumeMs(): number {
        this.check();
        return this.lastResumeMs;
    }

    private check(): void {
        const nowMs = this.sources.getMonotonicMs();
        const offsetMs = this.sources.getUnixMs() - nowMs;
        const slewedOffsetMs = this.unixOffsetMs + (nowMs - this.lastCheckMs) * MAX_SLEW_RATE;
        this.lastCheckMs = nowMs;
        if (offsetMs - slewedOffsetMs > MIN_SUSPEND_MS && this.isStillAhead(slewedOffsetMs)) {
            const jumpMs = offsetMs - this.unixOffsetMs;
            // Must be set before the callback, which may read this clock again: otherwise it would recurse without end,
            // which crashed two processes.
            this.unixOffsetMs = offsetMs;
            this.handleWallClockJump(jumpMs);
        }
        else {
            this.unixOffsetMs = Math.min(offsetMs, slewedOffsetMs);
        }
    }

    /** Reads both clocks again, since the process may have been descheduled between the first two readings. */
    private isStillAhead(slewedOffsetMs: number): boolean {
        const nowMs = this.sources.getMonotonicMs();
        return this.sources.getUnixMs() - nowMs - slewedOffsetMs > MIN_SUSPEND_MS;
    }

    private handleWallClockJump(jumpMs: number): void {
        const bootOffsetMs = this.sources.getUptimeMs() - this.sources.getMonotonicMs();
        const suspendedMs = bootOffsetMs - this.bootOffsetMs;
        const isConfirmed = Math.abs(suspendedMs - jumpMs) <= BOOT_CLOCK_TOLERANCE_MS;
        this.bootOffsetMs = bootOffsetMs;
        this.totalSuspendedMs += isConfirmed ? jumpMs : 0;
        this.lastResumeMs = this.sources.getMonotonicMs() + this.totalSuspendedMs;
        this.handleResume({ wallClockJumpMs: jumpMs, suspendedMs, isConfirmed });
    }
}
