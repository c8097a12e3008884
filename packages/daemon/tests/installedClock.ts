import FakeTimers from "@sinonjs/fake-timers";

/** The paused clock. */
export type InstalledClock = ReturnType<typeof FakeTimers.install>;

/** Pauses timers and the monotonic clock; the time of day and what the runtime does by itself go on. */
export function installClock(): InstalledClock {
    return FakeTimers.install({
        toFake: ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "performance"],
    });
}
