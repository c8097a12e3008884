/** Guards against requests that wait for a leader beyond their route's time-out. */
import { expect } from "chai";
import { waitMs } from "../src/process/waitMs.js";
import { postToEntry } from "./postToEntry.js";
import { type EntryOptions, ScriptedUpstream, TestEntry } from "./routedHarness.js";

const TIMEOUT_MS = 200;
/** The contract allows half a second after the time-out. */
const MAX_ANSWER_MS = TIMEOUT_MS + 500;

function waitForever<Value>(): Promise<Value> {
    return new Promise(() => undefined);
}

describe("a request is answered in time although the leader does not answer", () => {
    const rows: readonly { readonly title: string; readonly crashes: NonNullable<EntryOptions["crashes"]>; }[] = [
        {
            title: "an attempt that needs its agreement",
            crashes: { needsResendGrant: () => true, claimResend: () => waitForever() },
        },
        { title: "a trial", crashes: { isQuarantined: () => true, claimTrial: () => waitForever() } },
        { title: "a crash that is to be stored", crashes: { waitUntilStored: () => waitForever() } },
    ];
    for (const { title, crashes } of rows) {
        it(title, async () => {
            const upstream = await ScriptedUpstream.open("u", (socket) => socket.destroy());
            const route = { timeout_ms: TIMEOUT_MS, most_attempts: 1 };
            const entry = await TestEntry.open({ upstreams: [upstream], route, crashes });
            try {
                const answered = postToEntry(entry.url).then(({ status }) => status);
                const status = await Promise.race([answered, waitMs(MAX_ANSWER_MS).then(() => "none")]);
                expect(status).to.be.oneOf([502, 503, 504]);
            }
            finally {
                await entry.close();
                upstream.close();
            }
        });
    }
});
