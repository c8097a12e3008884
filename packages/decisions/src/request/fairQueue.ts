/**
 * A queue of waiting requests: strict priority between classes with a minimum for the lowest, weighted fair queuing
 * between the organisations of a class.
 *
 * Inside a class each organisation has a virtual time of tokens served over weight, and the lowest is served first
 * (start-time fair queuing, Goyal, Vin and Cheng 1996; by tokens as in VTC, Sheng et al. 2024).
 */
import { type PriorityClass, priorityClasses } from "@crankfork/schemas";
import { Heap } from "heap-js";

/** A waiting request. */
export interface QueuedRequest<Class = PriorityClass> {
    readonly organisation: string;
    readonly weight: number;
    readonly priority: Class;
    /** Tokens that it is expected to cost. */
    readonly tokens: number;
}

interface OrganisationQueue<Request> {
    readonly organisation: string;
    readonly requests: Request[];
    readonly weight: number;
    /** Virtual time at which its next request starts. */
    startTag: number;
    /** Virtual time at which its last request ends. */
    finishTag: number;
}

/** One in this many dispatches goes to the lowest waiting class, so that it is not starved. */
const LOWEST_CLASS_INTERVAL = 20;

class ClassQueue<Request extends QueuedRequest<unknown>> {
    private readonly byOrganisation = new Map<string, OrganisationQueue<Request>>();
    private readonly heap = new Heap<OrganisationQueue<Request>>((left, right) => left.startTag - right.startTag);
    /** Virtual times from which organisations without waiting requests continue; cleared once the queue is empty. */
    private readonly finishTags = new Map<string, number>();
    private virtualTime = 0;
    private weight = 0;
    tokens = 0;
    length = 0;

    push(request: Request): void {
        const queue = this.byOrganisation.get(request.organisation) ?? this.createQueue(request);
        queue.requests.push(request);
        queue.finishTag += request.tokens / queue.weight;
        this.tokens += request.tokens;
        this.length += 1;
    }

    pop(): Request | undefined {
        const queue = this.heap.pop();
        const request = queue?.requests.shift();
        if (queue === undefined || request === undefined) {
            return undefined;
        }
        this.virtualTime = queue.startTag;
        queue.startTag += request.tokens / queue.weight;
        this.recordRemoval(request);
        if (queue.requests.length > 0) {
            this.heap.push(queue);
        }
        else {
            this.removeQueue(queue);
        }
        return request;
    }

    /** Removes the first request in the order of service that is accepted; the others keep their places. */
    popAccepted(accepts: (request: Request) => boolean): Request | undefined {
        const queues = [...this.byOrganisation.values()].sort((left, right) => left.startTag - right.startTag);
        for (const queue of queues) {
            const at = queue.requests.findIndex(accepts);
            const request = queue.requests[at];
            if (request !== undefined) {
                queue.requests.splice(at, 1);
                // Organisations that were passed over have lower tags; virtual time does not go back to them.
                this.virtualTime = Math.max(this.virtualTime, queue.startTag);
                queue.startTag += request.tokens / queue.weight;
                this.recordRemoval(request);
                this.heap.remove(queue, (left, right) => left === right);
                if (queue.requests.length > 0) {
                    this.heap.push(queue);
                }
                else {
                    this.removeQueue(queue);
                }
                return request;
            }
        }
        return undefined;
    }

    list(): readonly Request[] {
        return [...this.byOrganisation.values()].flatMap((queue) => queue.requests);
    }

    remove(request: Request): boolean {
        const queue = this.byOrganisation.get(request.organisation);
        const at = queue?.requests.indexOf(request) ?? -1;
        if (queue === undefined || at === -1) {
            return false;
        }
        queue.requests.splice(at, 1);
        queue.finishTag -= request.tokens / queue.weight;
        this.recordRemoval(request);
        if (queue.requests.length === 0) {
            this.heap.remove(queue, (left, right) => left === right);
            this.removeQueue(queue);
        }
        return true;
    }

    /** Until its turn, every waiting organisation is served up to the tag of this request's organisation. */
    countTokensAhead(request: QueuedRequest<unknown>): number {
        const queue = this.byOrganisation.get(request.organisation);
        const tag = queue?.finishTag ?? this.getIdleTag(request.organisation);
        const weight = this.weight + (queue === undefined ? request.weight : 0);
        return Math.min(this.tokens, (tag - this.virtualTime) * weight);
    }

    private createQueue(request: Request): OrganisationQueue<Request> {
        const { organisation, weight } = request;
        const tag = this.getIdleTag(organisation);
        const queue = { organisation, weight, requests: [], startTag: tag, finishTag: tag };
        this.byOrganisation.set(organisation, queue);
        this.heap.push(queue);
        this.weight += weight;
        return queue;
    }

    /** An organisation that was idle starts at the current virtual time, so that it saves up no share. */
    private getIdleTag(organisation: string): number {
        return Math.max(this.virtualTime, this.finishTags.get(organisation) ?? 0);
    }

    private removeQueue(queue: OrganisationQueue<Request>): void {
        this.byOrganisation.delete(queue.organisation);
        this.weight -= queue.weight;
        this.finishTags.set(queue.organisation, queue.startTag);
        if (this.length === 0) {
            // Once the queue is empty no organisation is owed service.
            this.finishTags.clear();
            this.weight = 0;
        }
    }

    private recordRemoval(request: Request): void {
        this.tokens -= request.tokens;
        this.length -= 1;
    }
}

/** Waiting requests of any set of classes. */
export class MultiClassQueue<Request extends QueuedRequest<Class>, Class> {
    private readonly queues: ReadonlyMap<Class, ClassQueue<Request>>;
    private dispatches = 0;

    /**
     * @param classes - all classes, the most urgent first
     */
    constructor(private readonly classes: readonly Class[]) {
        this.queues = new Map(classes.map((name) => [name, new ClassQueue<Request>()]));
    }

    /** Number of waiting requests. */
    get length(): number {
        return this.classes.reduce((sum, name) => sum + this.getClass(name).length, 0);
    }

    /**
     * Adds a request.
     * @param request - the request
     */
    push(request: Request): void {
        this.getClass(request.priority).push(request);
    }

    /**
     * Removes and returns the next request.
     * @param mayStart - whether a class has capacity now; by default all have
     * @returns the request, or undefined where none may start
     */
    pop(mayStart: (priority: Class) => boolean = () => true): Request | undefined {
        const waiting = this.classes.filter((name) => this.getClass(name).length > 0 && mayStart(name));
        const name = this.isLowestClassTurn(waiting) ? waiting.at(-1) : waiting[0];
        if (name === undefined) {
            return undefined;
        }
        this.dispatches += 1;
        return this.getClass(name).pop();
    }

    /**
     * Removes and returns the first request in the order of service that can start; the others keep their places.
     * @param accepts - whether a request can start; asked in the order of service until one can
     * @returns the request, or undefined where none can start
     */
    popAccepted(accepts: (request: Request) => boolean): Request | undefined {
        const waiting = this.classes.filter((name) => this.getClass(name).length > 0);
        const lowest = this.isLowestClassTurn(waiting) ? waiting.slice(-1) : [];
        for (const name of [...lowest, ...waiting.slice(0, waiting.length - lowest.length)]) {
            const request = this.getClass(name).popAccepted(accepts);
            if (request !== undefined) {
                this.dispatches += 1;
                return request;
            }
        }
        return undefined;
    }

    /**
     * Lists the waiting requests by class; inside a class in no particular order.
     * @returns all waiting requests
     */
    list(): readonly Request[] {
        return this.classes.flatMap((name) => this.getClass(name).list());
    }

    /**
     * Removes a request that no longer waits for its turn.
     * @param request - the request
     * @returns false where it is not in the queue
     */
    remove(request: Request): boolean {
        return this.getClass(request.priority).remove(request);
    }

    /**
     * Counts the waiting requests of a class.
     * @param priority - the class
     * @returns waiting requests
     */
    countWaiting(priority: Class): number {
        return this.getClass(priority).length;
    }

    /**
     * Counts the tokens of its class that would be served before a new request.
     * @param request - the request, not added yet
     * @returns tokens that go before it under fair queuing
     */
    countTokensAhead(request: QueuedRequest<Class>): number {
        return this.getClass(request.priority).countTokensAhead(request);
    }

    private isLowestClassTurn(waiting: readonly Class[]): boolean {
        return waiting.length > 1 && (this.dispatches + 1) % LOWEST_CLASS_INTERVAL === 0;
    }

    private getClass(name: Class): ClassQueue<Request> {
        const found = this.queues.get(name);
        if (found === undefined) {
            throw new Error(`no queue for the class ${String(name)}`);
        }
        return found;
    }
}

/** All waiting requests of one service at one entry, by the priority classes of the product's own interface. */
export class FairQueue<Request extends QueuedRequest> extends MultiClassQueue<Request, PriorityClass> {
    /** Creates an empty queue. */
    constructor() {
        super(priorityClasses);
    }
}
