/**
 * Concurrency slots by priority class. Running requests of less urgent classes don't count against a class, since
 * engines preempt them. So `urgent` never waits behind `narrative`, and `narrative` waits while more urgent requests
 * fill the slots. See docs/design/admission.md.
 */
import { type PriorityClass, priorityClasses } from "@crankfork/schemas";

/** Running requests by class. */
export class ClassSlots {
    private readonly running = new Map<PriorityClass, number>();

    /** Running requests of all classes. */
    get size(): number {
        return this.countUpTo("narrative");
    }

    /**
     * Counts the free slots of a class.
     * @param priority - the class
     * @param slots - requests that may run at the same time
     * @returns free slots; at least 0
     */
    countFree(priority: PriorityClass, slots: number): number {
        return Math.max(0, slots - this.countUpTo(priority));
    }

    /**
     * Records the start of a request.
     * @param priority - its class
     */
    recordStart(priority: PriorityClass): void {
        this.running.set(priority, (this.running.get(priority) ?? 0) + 1);
    }

    /**
     * Records the end of a request.
     * @param priority - its class
     */
    recordEnd(priority: PriorityClass): void {
        this.running.set(priority, (this.running.get(priority) ?? 0) - 1);
    }

    private countUpTo(priority: PriorityClass): number {
        const classes = priorityClasses.slice(0, priorityClasses.indexOf(priority) + 1);
        return classes.reduce((sum, name) => sum + (this.running.get(name) ?? 0), 0);
    }
}
