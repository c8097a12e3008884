import type FakeTimers from "@sinonjs/fake-timers";

/** The paused clock. */
export type InstalledClock = ReturnType<typeof FakeTimers.install>;
