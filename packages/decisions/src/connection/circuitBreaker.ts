/**
 * The circuit of one upstream: closed while it answers, open after failures in a row, then one trial at a time.
 */
import { createMachine, guard, interpret, state, transition } from "robot3";

/** Whether an upstream is used. */
export type CircuitState = "closed" | "open" | "trial";

/** When a circuit opens and for how long. */
export interface CircuitBreakerOptions {
    /** Failures in a row that open it. */
    readonly failureThreshold: number;
    /** How long it stays open the first time, in milliseconds; doubled after each failed trial. */
    readonly openMs: number;
    readonly maxOpenMs: number;
}

/** The usual circuit. */
export const defaultCircuitBreakerOptions: CircuitBreakerOptions = {
    failureThreshold: 3,
    openMs: 250,
    maxOpenMs: 4_000,
};

interface CircuitContext {
    failuresInRow: number;
    limit: number;
}

const circuitMachine = createMachine(
    "closed",
    {
        closed: state(
            transition("failed", "open", guard((context: CircuitContext) => context.failuresInRow >= context.limit)),
        ),
        open: state(transition("waited", "trial"), transition("succeeded", "closed")),
        trial: state(transition("failed", "open"), transition("succeeded", "closed")),
    },
    (context: CircuitContext) => context,
);

/** The circuit of one upstream. */
export class CircuitBreaker {
    private readonly context: CircuitContext;
    private readonly service;
    private openedMs = 0;
    private openMs: number;
    private isTrialOut = false;

    /**
     * @param options - when it opens and for how long
     */
    constructor(private readonly options: CircuitBreakerOptions = defaultCircuitBreakerOptions) {
        this.context = { failuresInRow: 0, limit: options.failureThreshold };
        this.openMs = options.openMs;
        this.service = interpret(circuitMachine, () => undefined, this.context);
    }

    /** Whether the upstream is used. */
    get state(): CircuitState {
        return this.service.machine.current as CircuitState;
    }

    /**
     * Tells whether a request may be sent now.
     * @param nowMs - the monotonic clock
     * @returns true while closed, and for one request at a time after the wait
     */
    isUsable(nowMs: number): boolean {
        if (this.state === "open" && nowMs - this.openedMs >= this.openMs) {
            this.service.send("waited");
            this.isTrialOut = false;
        }
        return this.state === "closed" || (this.state === "trial" && !this.isTrialOut);
    }

    /** Marks that a request goes out; in a trial no second one follows. */
    recordStart(): void {
        this.isTrialOut = this.state === "trial";
    }

    /** Marks an answer. */
    recordSuccess(): void {
        this.context.failuresInRow = 0;
        this.openMs = this.options.openMs;
        this.service.send("succeeded");
    }

    /**
     * Marks a failure.
     * @param nowMs - the monotonic clock
     */
    recordFailure(nowMs: number): void {
        const before = this.state;
        this.context.failuresInRow += 1;
        this.service.send("failed");
        if (this.state === "open" && before !== "open") {
            this.openMs = before === "trial" ? Math.min(this.openMs * 2, this.options.maxOpenMs) : this.options.openMs;
            this.openedMs = nowMs;
        }
    }
}
