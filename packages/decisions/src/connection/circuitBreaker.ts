/**
 * The circuit breaker of one upstream: closed while it answers, open after consecutive failures, then half-open
 * ("trial") with one request at a time.
 */
import { createMachine, guard, interpret, state, transition } from "robot3";

/** State of a circuit breaker; `trial` is the half-open state. */
export type CircuitState = "closed" | "open" | "trial";

/** When a circuit breaker opens and for how long. */
export interface CircuitBreakerOptions {
    /** Consecutive failures that open it. */
    readonly failureThreshold: number;
    /** How long it stays open the first time, in milliseconds; doubled after each failed trial. */
    readonly openMs: number;
    readonly maxOpenMs: number;
}

/** Default settings. */
export const defaultCircuitBreakerOptions: CircuitBreakerOptions = {
    failureThreshold: 3,
    openMs: 250,
    maxOpenMs: 4_000,
};

interface CircuitContext {
    consecutiveFailures: number;
    threshold: number;
}

const circuitMachine = createMachine(
    "closed",
    {
        closed: state(
            transition(
                "failed",
                "open",
                guard((context: CircuitContext) => context.consecutiveFailures >= context.threshold),
            ),
        ),
        open: state(transition("waited", "trial"), transition("succeeded", "closed")),
        trial: state(transition("failed", "open"), transition("succeeded", "closed")),
    },
    (context: CircuitContext) => context,
);

/** The circuit breaker of one upstream. */
export class CircuitBreaker {
    private readonly context: CircuitContext;
    private readonly service;
    private openedMs = 0;
    private openMs: number;
    private isTrialInFlight = false;

    /**
     * @param options - when it opens and for how long
     */
    constructor(private readonly options: CircuitBreakerOptions = defaultCircuitBreakerOptions) {
        this.context = { consecutiveFailures: 0, threshold: options.failureThreshold };
        this.openMs = options.openMs;
        this.service = interpret(circuitMachine, () => undefined, this.context);
    }

    /** State as of the last call. */
    get state(): CircuitState {
        return this.service.machine.current as CircuitState;
    }

    /**
     * Tells whether a request may be sent now. Moves to the half-open state once the open time has passed.
     * @param nowMs - the monotonic clock
     * @returns true while closed; while half-open, true if no trial is in flight
     */
    isUsable(nowMs: number): boolean {
        if (this.state === "open" && nowMs - this.openedMs >= this.openMs) {
            this.service.send("waited");
            this.isTrialInFlight = false;
        }
        return this.state === "closed" || (this.state === "trial" && !this.isTrialInFlight);
    }

    /** Records that a request was sent; while half-open, no second one follows until it has ended. */
    recordStart(): void {
        this.isTrialInFlight = this.state === "trial";
    }

    /** Records an answered request. */
    recordSuccess(): void {
        this.context.consecutiveFailures = 0;
        this.openMs = this.options.openMs;
        this.service.send("succeeded");
    }

    /**
     * Records a failed request.
     * @param nowMs - the monotonic clock
     */
    recordFailure(nowMs: number): void {
        const before = this.state;
        this.context.consecutiveFailures += 1;
        this.service.send("failed");
        if (this.state === "open" && before !== "open") {
            this.openMs = before === "trial" ? Math.min(this.openMs * 2, this.options.maxOpenMs) : this.options.openMs;
            this.openedMs = nowMs;
        }
    }
}
