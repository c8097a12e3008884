/**
 * Simulates the network link of an instance: concurrent responses share its bandwidth, and an aborted response is lost.
 */
import { ExchangeError } from "../src/connection/httpClient.js";

interface Transfer {
    readonly bytes: number;
    remaining: number;
    readonly finish: () => void;
}

const MS_PER_SECOND = 1_000;

/** A simulated link on a fake clock. */
export class SharedLink {
    /** Bytes sent, including those of aborted transfers. */
    sentBytes = 0;
    private readonly transfers = new Set<Transfer>();
    private updatedMs = performance.now();
    private timer: NodeJS.Timeout | undefined;

    constructor(private readonly bytesPerSecond: number) {}

    /**
     * Transfers a response, and aborts it like a client that waits for a complete response.
     * @param createResponse - creates the response
     * @param timeoutMs - from the request to the last byte
     * @returns the response as received
     */
    async exchange(createResponse: () => unknown, timeoutMs: number): Promise<unknown> {
        let transfer: Transfer | undefined;
        const timeout = new Promise<never>((_resolve, reject) => {
            setTimeout(() => {
                this.stop(transfer);
                reject(new ExchangeError("silent", "link", "no response within the time-out"));
            }, timeoutMs);
        });
        const made = Promise.resolve(createResponse()).then((value) =>
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
        const transfer = { bytes, remaining: bytes, finish };
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
        const share = this.bytesPerSecond * (nowMs - this.updatedMs) / MS_PER_SECOND / Math.max(1, this.transfers.size);
        this.updatedMs = nowMs;
        for (const transfer of this.transfers) {
            const sent = Math.min(share, transfer.remaining);
            this.sentBytes += sent;
            transfer.remaining -= sent;
        }
        for (const transfer of [...this.transfers].filter((one) => one.remaining < 1)) {
            this.transfers.delete(transfer);
            transfer.finish();
        }
    }

    private schedule(): void {
        clearTimeout(this.timer);
        const least = Math.min(...[...this.transfers].map((one) => one.remaining));
        if (Number.isFinite(least)) {
            const ms = least * this.transfers.size / this.bytesPerSecond * MS_PER_SECOND;
            this.timer = setTimeout(() => {
                this.advance();
                this.schedule();
            }, Math.ceil(ms));
        }
    }
}
