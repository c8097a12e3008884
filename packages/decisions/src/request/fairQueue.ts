/**
 * Waiting requests: classes in strict order with a floor for the lowest, organisations by weighted fair shares.
 *
 * Inside a class each organisation has a virtual time of tokens served over weight, and the least is served first
 * (start-time fair queuing, Goyal, Vin and Cheng 1996; by tokens as in VTC, Sheng et al. 2024).
 */
import { type PriorityClass, priorityClasses } from "@crankfork/schemas";
import { Heap } from "heap-js";

/** A request that waits. */
export interface QueuedRequest {
    readonly organisation: string;
    readonly weight: number;
    readonly priority: PriorityClass;
    /** Tokens that it is expected to cost. */
    readonly tokens: number;
}

interface OrganisationQueue<Request> {
    readonly organisation: string;
    readonly requests: Request[];
    readonly weight: number;
    /** Virtual time at which its next request starts. */
    startTag: number;
    /** Virtual time at which its last request will have ended. */
    finishTag: number;
}

/** One in this many dispatches goes to the lowest class that waits, whatever else waits. */
const FLOOR_EVERY = 20;

class ClassQueue<Request extends QueuedRequest> {
    private readonly byOrganisation = new Map<string, OrganisationQueue<Request>>();
    private readonly heap = new Heap<OrganisationQueue<Request>>((left, right) => left.startTag - right.startTag);
    /** Where organisations that wait no more would go on; forgotten once nobody waits. */
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
        this.count(request);
        if (queue.requests.length > 0) {
            this.heap.push(queue);
        }
        else {
            this.removeQueue(queue);
        }
        return request;
    }

    remove(request: Request): boolean {
        const queue = this.byOrganisation.get(request.organisation);
        const at = queue?.requests.indexOf(request) ?? -1;
        if (queue === undefined || at === -1) {
            return false;
        }
        queue.requests.splice(at, 1);
        queue.finishTag -= request.tokens / queue.weight;
        this.count(request);
        if (queue.requests.length === 0) {
            this.heap.remove(queue, (left, right) => left === right);
            this.removeQueue(queue);
        }
        return true;
    }

    /** Until its turn comes, every organisation that waits is served as far as its own last request's tag. */
    countTokensAhead(request: QueuedRequest): number {
        const queue = this.byOrganisation.get(request.organisation);
        const tag = queue?.finishTag ?? this.getRestingTag(request.organisation);
        const weight = this.weight + (queue === undefined ? request.weight : 0);
        return Math.min(this.tokens, (tag - this.virtualTime) * weight);
    }

    private createQueue(request: Request): OrganisationQueue<Request> {
        const { organisation, weight } = request;
        const tag = this.getRestingTag(organisation);
        const queue = { organisation, weight, requests: [], startTag: tag, finishTag: tag };
        this.byOrganisation.set(organisation, queue);
        this.heap.push(queue);
        this.weight += weight;
        return queue;
    }

    /** An organisation that was idle starts at the present time: it saves up no share. */
    private getRestingTag(organisation: string): number {
        return Math.max(this.virtualTime, this.finishTags.get(organisation) ?? 0);
    }

    private removeQueue(queue: OrganisationQueue<Request>): void {
        this.byOrganisation.delete(queue.organisation);
        this.weight -= queue.weight;
        this.finishTags.set(queue.organisation, queue.startTag);
        if (this.length === 0) {
            // Nobody waits any more, so nobody is owed anything.
            this.finishTags.clear();
            this.weight = 0;
        }
    }

    private count(request: Request): void {
        this.tokens -= request.tokens;
        this.length -= 1;
    }
}

/** All waiting requests of one service at one entry. */
export class FairQueue<Request extends QueuedRequest> {
    private readonly classes = new Map(priorityClasses.map((name) => [name, new ClassQueue<Request>()]));
    private dispatches = 0;

    /** How many requests wait. */
    get length(): number {
        return priorityClasses.reduce((sum, name) => sum + this.getClass(name).length, 0);
    }

    /**
     * Adds a request.
     * @param request - the request
     */
    push(request: Request): void {
        this.getClass(request.priority).push(request);
    }

    /**
     * Takes the request that is served next.
     * @param mayStart - whether a class has room now; all have where left out
     * @returns the request, or undefined where none waits that may start
     */
    pop(mayStart: (priority: PriorityClass) => boolean = () => true): Request | undefined {
        const waiting = priorityClasses.filter((name) => this.getClass(name).length > 0 && mayStart(name));
        const isFloorTurn = waiting.length > 1 && (this.dispatches + 1) % FLOOR_EVERY === 0;
        const name = isFloorTurn ? waiting.at(-1) : waiting[0];
        if (name === undefined) {
            return undefined;
        }
        this.dispatches += 1;
        return this.getClass(name).pop();
    }

    /**
     * Takes a request out that no longer waits for its turn.
     * @param request - the request
     * @returns false where it does not wait here
     */
    remove(request: Request): boolean {
        return this.getClass(request.priority).remove(request);
    }

    /**
     * Counts the requests of a class.
     * @param priority - the class
     * @returns requests that wait
     */
    countWaiting(priority: PriorityClass): number {
        return this.getClass(priority).length;
    }

    /**
     * Counts the tokens of its class that would be served before a new request.
     * @param request - the request, not added yet
     * @returns tokens that go before it by fair shares
     */
    countTokensAhead(request: QueuedRequest): number {
        return this.getClass(request.priority).countTokensAhead(request);
    }

    private getClass(name: PriorityClass): ClassQueue<Request> {
        const found = this.classes.get(name);
        if (found === undefined) {
            throw new Error(`no queue for the class ${name}`);
        }
        return found;
    }
}
