import FakeTimers from "@sinonjs/fake-timers";

/** A paused clock. */
export type InstalledClock = ReturnType<typeof FakeTimers.install>;

/** Installs a fake clock for timers and the monotonic clock; the time of day and the runtime's own timers stay real. */
export function installClock(): InstalledClock {
    return FakeTimers.install({
        toFake: ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "performance"],
    });
}
