/**
 * Batches the steps of many requests to one engine: steps of one turn of the event loop are sent in one call. Answers
 * are streamed as lines, each as soon as it is ready, and matched to steps by the fields they echo.
 */
import { type Step, type StepResponse, stepResponseSchema } from "@crankfork/schemas";
import type { Dispatcher } from "undici";
import { startTask } from "../process/startTask.js";
import { limitTimerMs } from "../process/waitMs.js";
import { waitMs } from "../process/waitMs.js";
import { ByteBuffer } from "./byteBuffer.js";
import { createExchangeError, ExchangeError, readRetryAfterMs, sendRequest } from "./httpClient.js";

/** Options of a step batcher. */
export interface StepBatcherOptions {
    readonly agent: Dispatcher;
    readonly name: string;
    readonly url: string;
    readonly timeoutMs: number;
    readonly handleStrayAnswer: () => void;
}

interface PendingStep {
    readonly step: Step;
    readonly resolve: (answer: StepResponse) => void;
    readonly reject: (error: ExchangeError) => void;
}

const MAX_STEPS_PER_CALL = 256;

/** Largest answer apart from its outputs: the fields that it echoes, and the text of a token. */
const ANSWER_BYTES = 65_536;
/** Largest output; an answer has as many as its step has inputs. */
const OUTPUT_BYTES = 32;
/** Answers to one step; an engine may repeat one. */
const MAX_ANSWERS_PER_STEP = 2;
const NEWLINE = 0x0A;
/** Body of a failure that is read in order to use the connection again. */
const MAX_FAILURE_BYTES = 65_536;
/** Time-outs of a step after which its call ends; late answers are counted until then. */
const TIMEOUTS_PER_CALL = 2;

/** Size limits of the response to a call. */
interface CallLimits {
    readonly lineBytes: number;
    readonly totalBytes: number;
}

/** Sends steps to one engine. */
export class StepBatcher {
    private queued: PendingStep[] = [];
    /** Calls in flight, with the runs of their steps. */
    private readonly inFlight = new Set<{ readonly runs: ReadonlySet<string>; readonly end: Promise<void>; }>();
    private readonly pending = new Map<string, PendingStep>();
    private callAbort = new AbortController();

    /**
     * @param options - the engine and the connections to it
     */
    constructor(private readonly options: StepBatcherOptions) {}

    /**
     * Runs a step.
     * @param step - the step
     * @param signal - cancels the step; its answer is then a stray one
     * @returns the answer that matches the step
     * @throws ExchangeError
     */
    run(step: Step, signal: AbortSignal): Promise<StepResponse> {
        return new Promise((resolve, reject) => {
            const key = formatStepKey(step);
            const finish = (): void => {
                clearTimeout(timer);
                signal.removeEventListener("abort", cancel);
                this.pending.delete(key);
            };
            const pendingStep: PendingStep = {
                step,
                resolve: (answer) => {
                    finish();
                    resolve(answer);
                },
                reject: (error) => {
                    finish();
                    reject(error);
                },
            };
            const cancel = (): void => {
                pendingStep.reject(new ExchangeError("cancelled", this.options.name, "cancelled"));
            };
            const timer = setTimeout(() => {
                pendingStep.reject(new ExchangeError("silent", this.options.name, "no response within the time-out"));
            }, limitTimerMs(this.options.timeoutMs));
            if (signal.aborted) {
                cancel();
                return;
            }
            signal.addEventListener("abort", cancel, { once: true });
            this.pending.set(key, pendingStep);
            this.enqueue(pendingStep);
        });
    }

    /**
     * Waits for the steps of a run that are in flight, including cancelled ones.
     * @param run - the run
     * @returns resolves once their calls have ended or the step time-out has passed; undefined if there are none
     */
    waitForSteps(run: string): Promise<void> | undefined {
        const ends = [...this.inFlight].filter(({ runs }) => runs.has(run)).map(({ end }) => end);
        return ends.length === 0
            ? undefined
            : Promise.race([Promise.all(ends).then(() => undefined), waitMs(this.options.timeoutMs)]);
    }

    /** Rejects all pending steps. */
    rejectAll(): void {
        this.callAbort.abort();
        this.callAbort = new AbortController();
        [...this.pending.values()].forEach((one) => {
            one.reject(new ExchangeError("lost", this.options.name, "engine is considered lost"));
        });
    }

    private enqueue(step: PendingStep): void {
        this.queued.push(step);
        if (this.queued.length === 1) {
            setImmediate(() => {
                startTask("step-batch", () => {
                    this.flush();
                });
            });
        }
    }

    private flush(): void {
        const steps = this.queued.filter((one) => this.pending.get(formatStepKey(one.step)) === one);
        this.queued = [];
        for (let from = 0; from < steps.length; from += MAX_STEPS_PER_CALL) {
            this.startCall(steps.slice(from, from + MAX_STEPS_PER_CALL));
        }
    }

    private startCall(steps: readonly PendingStep[]): void {
        const call = { runs: new Set(steps.map(({ step }) => step.run)), end: this.sendCall(steps) };
        this.inFlight.add(call);
        startTask("step-batch", () =>
            call.end.finally(() => {
                this.inFlight.delete(call);
            }));
    }

    private async sendCall(steps: readonly PendingStep[]): Promise<void> {
        const { agent, name, url, timeoutMs } = this.options;
        const deadline = AbortSignal.timeout(Math.ceil(TIMEOUTS_PER_CALL * timeoutMs));
        const signal = AbortSignal.any([this.callAbort.signal, deadline]);
        try {
            const body = JSON.stringify({ steps: steps.map((one) => one.step) });
            const headers = { "content-type": "application/json" };
            const response = await sendRequest({ agent, peer: name, url, method: "POST", headers, body, signal });
            if (response.statusCode !== 200) {
                const reason = `status ${String(response.statusCode)}`;
                const failure = new ExchangeError("rubbish", name, reason, false, readRetryAfterMs(response));
                this.rejectUnanswered(steps, () => failure);
                await response.body.dump({ limit: MAX_FAILURE_BYTES, signal });
                return;
            }
            await this.readAnswers(response.body, computeLimits(steps));
            this.rejectUnanswered(
                steps,
                () => new ExchangeError("rubbish", name, "response ended before all steps were answered"),
            );
        }
        catch (error) {
            this.rejectUnanswered(steps, () => createExchangeError(error, name, signal));
        }
    }

    private rejectUnanswered(steps: readonly PendingStep[], createFailure: () => ExchangeError): void {
        steps.filter((one) => this.pending.get(formatStepKey(one.step)) === one).forEach((one) => {
            one.reject(createFailure());
        });
    }

    private async readAnswers(body: AsyncIterable<Buffer>, { lineBytes, totalBytes }: CallLimits): Promise<void> {
        const partialLine = new ByteBuffer();
        const append = (bytes: Buffer): void => {
            this.assertWithinLimit("line", partialLine.length + bytes.length, lineBytes);
            partialLine.append(bytes);
        };
        let receivedBytes = 0;
        for await (const chunk of body) {
            receivedBytes += chunk.length;
            this.assertWithinLimit("response", receivedBytes, totalBytes);
            let from = 0;
            for (let end = chunk.indexOf(NEWLINE); end !== -1; end = chunk.indexOf(NEWLINE, from)) {
                append(chunk.subarray(from, end));
                this.handleLine(partialLine.take().toString("utf8"));
                from = end + 1;
            }
            append(chunk.subarray(from));
        }
    }

    private assertWithinLimit(part: string, foundBytes: number, limitBytes: number): void {
        if (foundBytes > limitBytes) {
            const message = `${part}: found ${String(foundBytes)} bytes, more than the limit of ${String(limitBytes)}`;
            throw new ExchangeError("oversized", this.options.name, message);
        }
    }

    private handleLine(line: string): void {
        const answer = parseAnswer(line, this.options.name);
        const step = this.pending.get(formatStepKey(answer));
        if (step === undefined) {
            this.options.handleStrayAnswer();
            return;
        }
        step.resolve(answer);
    }
}

function computeLimits(steps: readonly PendingStep[]): CallLimits {
    const lineBytes = ANSWER_BYTES + OUTPUT_BYTES * Math.max(...steps.map(({ step }) => step.inputs.length));
    return { lineBytes, totalBytes: MAX_ANSWERS_PER_STEP * steps.length * lineBytes };
}

function parseAnswer(line: string, peer: string): StepResponse {
    try {
        return stepResponseSchema.parse(JSON.parse(line));
    }
    catch {
        throw new ExchangeError(
            "rubbish",
            peer,
            `response contains a line that is not a valid answer: ${line.slice(0, 80)}`,
        );
    }
}

function formatStepKey(step: Pick<Step, "run" | "epoch" | "position" | "first_layer" | "end_layer">): string {
    return `${step.run} ${String(step.epoch)} ${String(step.position)} ${String(step.first_layer)} ${
        String(step.end_layer)
    }`;
}
