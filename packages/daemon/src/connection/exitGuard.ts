/**
 * Resets connections if this process is killed. The kernel otherwise closes them in order, which is also how a response that is
 * delimited by its connection ends, so that a part of one would look complete.
 */
import type { Socket } from "node:net";
import { startTask } from "../process/startTask.js";

/** Dependencies of {@link ExitGuard}. */
export interface ExitGuardOptions {
    /** Called once if connections cannot be guarded here, with the reason. */
    readonly handleUnavailable: (reason: string) => void;
}

/** Sets whether the kernel resets a connection when it is closed; throws if it cannot. */
type SetResetOnClose = (fileDescriptor: number, isReset: boolean) => void;

/** Values of Linux (socket(7)). */
const SOL_SOCKET = 1;
const SO_LINGER = 13;

/** Guards connections. */
export class ExitGuard {
    private loading: Promise<SetResetOnClose | undefined> | undefined;
    private isReported = false;

    /**
     * @param options - handler of failures
     */
    constructor(private readonly options: ExitGuardOptions) {}

    /**
     * Guards a connection until it is released.
     * @param socket - the connection; it must not be closed in order before it is released
     * @returns releases it
     */
    guard(socket: Socket): () => void {
        let isReleased = false;
        let isSet = false;
        const apply = (set: SetResetOnClose, isReset: boolean): void => {
            const fileDescriptor = getFileDescriptor(socket);
            if (fileDescriptor === undefined) {
                return;
            }
            try {
                set(fileDescriptor, isReset);
                isSet = isReset;
            }
            catch (error) {
                this.reportUnavailable(error);
            }
        };
        let release = (): void => undefined;
        this.loading ??= this.load();
        const { loading } = this;
        startTask("exit-guard", async () => {
            const set = await loading;
            if (set !== undefined && !isReleased) {
                apply(set, true);
                release = () => {
                    apply(set, false);
                };
            }
        });
        return () => {
            isReleased = true;
            if (isSet) {
                release();
            }
        };
    }

    /** Node has no function that sets this option. The library is loaded by the first response that needs it. */
    private async load(): Promise<SetResetOnClose | undefined> {
        try {
            const { default: koffi } = await import("koffi");
            const setSocketOption = koffi.load(null).func(
                "int setsockopt(int socket, int level, int name, const void *value, uint32_t length)",
            );
            return (fileDescriptor, isReset) => {
                // A linger time of 0 discards unsent data and resets the connection.
                const linger = Buffer.from(new Int32Array([isReset ? 1 : 0, 0]).buffer);
                const result: unknown = setSocketOption(fileDescriptor, SOL_SOCKET, SO_LINGER, linger, linger.length);
                if (result !== 0) {
                    throw new Error(`setsockopt returned ${String(result)}`);
                }
            };
        }
        catch (error) {
            this.reportUnavailable(error);
            return undefined;
        }
    }

    private reportUnavailable(error: unknown): void {
        if (!this.isReported) {
            this.isReported = true;
            this.options.handleUnavailable(error instanceof Error ? error.message : String(error));
        }
    }
}

/** Undefined where the connection is closed. */
function getFileDescriptor(socket: Socket): number | undefined {
    const { _handle: handle } = socket as unknown as { readonly _handle?: { readonly fd?: number; } | null; };
    const fileDescriptor = handle?.fd ?? -1;
    return fileDescriptor < 0 ? undefined : fileDescriptor;
}
