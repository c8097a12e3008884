/**
 * Room for each class: running requests of less pressing classes don't stand in the way, since engines pause them for
 * more pressing ones. So urgent never waits behind narrative, and narrative waits while anything more pressing fills
 * the slots. See docs/design/admission.md.
 */
import { type PriorityClass, priorityClasses } from "@crankfork/schemas";

/** Requests that run, by class. */
export class ClassSlots {
    private readonly running = new Map<PriorityClass, number>();

    /** Requests that run, of all classes. */
    get size(): number {
        return this.countUpTo("narrative");
    }

    /**
     * Counts what stands in the way of a class.
     * @param priority - the class
     * @param slots - requests that may run at the same time
     * @returns slots that are free for it; 0 where there are none
     */
    countFree(priority: PriorityClass, slots: number): number {
        return Math.max(0, slots - this.countUpTo(priority));
    }

    /**
     * Marks a request that starts.
     * @param priority - its class
     */
    recordStart(priority: PriorityClass): void {
        this.running.set(priority, (this.running.get(priority) ?? 0) + 1);
    }

    /**
     * Marks a request that ended.
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
