/**
 * The link of an instance: answers that leave together share its rate. What is given up before its last byte was lost.
 */
import { ExchangeError } from "../src/connection/httpClient.js";

interface Transfer {
    readonly bytes: number;
    left: number;
    readonly finish: () => void;
}

const MS_A_SECOND = 1_000;

/** A link on a paused clock. */
export class SharedLink {
    /** Bytes that left, those of transfers that were given up too. */
    sentBytes = 0;
    private readonly transfers = new Set<Transfer>();
    private updatedMs = performance.now();
    private timer: NodeJS.Timeout | undefined;

    constructor(private readonly bytesASecond: number) {}

    /**
     * Sends an answer that a method makes, and gives it up like a client that waits for a whole answer.
     * @param answer - makes it
     * @param timeoutMs - from the question to the last byte
     * @returns the answer as it is read
     */
    async exchange(answer: () => unknown, timeoutMs: number): Promise<unknown> {
        let transfer: Transfer | undefined;
        const timeout = new Promise<never>((_resolve, reject) => {
            setTimeout(() => {
                this.stop(transfer);
                reject(new ExchangeError("silent", "link", "no response within the time-out"));
            }, timeoutMs);
        });
        const made = Promise.resolve(answer()).then((value) =>
            new Promise<unknown>((resolve) => {
                const text = JSON.stringify(value);
                transfer = this.start(text.length, () => {
                    resolve(JSON.parse(text));
                });
            })
        );
        return Promise.race([made, timeout]);
    }

    private start(bytes: number, finish: () => void): Transfer {
        this.advance();
        const transfer = { bytes, left: bytes, finish };
        this.transfers.add(transfer);
        this.schedule();
        return transfer;
    }

    private stop(transfer: Transfer | undefined): void {
        if (transfer !== undefined) {
            this.advance();
            this.transfers.delete(transfer);
            this.schedule();
        }
    }

    private advance(): void {
        const nowMs = performance.now();
        const share = this.bytesASecond * (nowMs - this.updatedMs) / MS_A_SECOND / Math.max(1, this.transfers.size);
        this.updatedMs = nowMs;
        for (const transfer of this.transfers) {
            const sent = Math.min(share, transfer.left);
            this.sentBytes += sent;
            transfer.left -= sent;
        }
        for (const transfer of [...this.transfers].filter((one) => one.left < 1)) {
            this.transfers.delete(transfer);
            transfer.finish();
        }
    }

    private schedule(): void {
        clearTimeout(this.timer);
        const least = Math.min(...[...this.transfers].map((one) => one.left));
        if (Number.isFinite(least)) {
            const ms = least * this.transfers.size / this.bytesASecond * MS_A_SECOND;
            this.timer = setTimeout(() => {
                this.advance();
                this.schedule();
            }, Math.ceil(ms));
        }
    }
}
